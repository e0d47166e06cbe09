package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["drain"] = drainForgotten }

// drainForgotten: an instance leaves, which its sidecar acknowledges; the sidecar restarts, and a heartbeat that the
// instance sent before arrives late.
func drainForgotten() {
	d, nodes := setUp([]string{"orders", "orders", "shops"}, nil)
	d.put("0", config("r1", route("r-orders", "/orders/", "unsafe", "orders", 3, 2), service("orders", false), service("shops", false)))
	d.awaitReady(waitLimit)
	d.awaitServed("/orders/ready")
	for _, node := range nodes {
		node.work = func(*http.Request) time.Duration { return 300 * time.Millisecond }
	}
	leaving, side := nodes[0], d.sidecars[0]
	var group sync.WaitGroup
	var stop atomic.Bool
	var failed sync.Map
	for worker := range 6 {
		group.Go(func() {
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("order-%d-%d", worker, n)
				status, _, _, err := call("POST", "http://"+d.sidecars[2].ports["outbound"]+"/orders/x", map[string]string{"Host": testHost, "Limehold-Request-Id": id, "Limehold-Deadline-Ms": "2500"}, []byte("x"))
				record("answered", "id=%s status=%d %v", id, status, err)
				if err != nil || status != http.StatusOK {
					failed.Store(id, status)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	// The instance leaves with a DELETE; the heartbeat before it is on its way for late.
	const late = 1500 * time.Millisecond
	close(leaving.quit) // no further heartbeats
	time.Sleep(100 * time.Millisecond)
	leaving.mutex.Lock()
	leaving.sequence++
	sequence := leaving.sequence
	leaving.mutex.Unlock()
	sentAt := time.Now()
	status, _, _, err := call("DELETE", "http://"+side.ports["control"]+"/limehold/instances/"+leaving.id, nil, nil)
	if err != nil || status/100 != 2 {
		cannotRun("DELETE: %d %v", status, err)
	}
	acknowledged := time.Now()
	record("deleted", "instance=%s acknowledged with %d", leaving.id, status)
	if withTrouble() {
		side.kill()
		record("killed", "%s, which starts again", side.name)
		if err := side.start(); err != nil {
			cannotRun("%v", err)
		}
	}
	time.Sleep(time.Until(sentAt.Add(late)))
	for try := 0; try < 100; try++ {
		body := fmt.Sprintf(`{"service":"%s","address":"%s","zone":"%s","version":"v1","slots":18,"state":"ready","cold_remaining_s":0,"sequence":%d}`, leaving.service, side.appAddr, side.zone, sequence)
		status, _, _, err := call("PUT", "http://"+side.ports["control"]+"/limehold/instances/"+leaving.id, nil, []byte(body))
		record("late", "heartbeat sequence=%d: %d %v", sequence, status, err)
		if err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	// The instance serves for drain_s and a little more, and ends.
	time.Sleep(time.Until(acknowledged.Add(4500 * time.Millisecond)))
	_ = leaving.server.Close()
	record("ended", "instance=%s", leaving.id)
	time.Sleep(time.Second)
	stop.Store(true)
	group.Wait()
	after, lost := 0, 0
	var last time.Duration
	for _, one := range leaving.allRuns() {
		if since := one.at.Sub(acknowledged); since > 2*time.Second {
			after++
			last = since
			if _, unclear := failed.Load(one.id); unclear {
				lost++
				record("lost", "id=%s reached the instance %.2f s after the acknowledgement and has no answer of it", one.id, since.Seconds())
			}
		}
	}
	if after > 0 {
		end(broken, "DRAIN: %d requests reached the instance later than drain_s (2 s) after its DELETE was acknowledged, the last one %.1f s after; %d of them were lost with it", after, last.Seconds(), lost)
	}
	end(held, "held: none reached the instance later than drain_s after its DELETE was acknowledged")
}
