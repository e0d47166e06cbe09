package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["release"] = surplusRelease }

// The largest dose of surplus answers: a share of the answers of an instance, for some seconds.
const (
	surplusShare = 0.03
	// faulty of the old instances send surplus answers; replaced of them are replaced.
	old, faulty, replaced = 5, 3, 2
	troubleTime           = 5 * time.Second
)

// The busy keys, which sit close together.
const (
	hotFrom = 20000
	hotStep = 64
	hotKeys = 60
)

// serveRaw serves an instance in place of its server, and passes each answer's bytes to wrote, which may send more.
func (i *instance) serveRaw(listener net.Listener, wrote func(path string, conn net.Conn, answer []byte)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				recorder := httptest.NewRecorder()
				i.ServeHTTP(recorder, request)
				result := recorder.Result()
				result.ContentLength = int64(recorder.Body.Len())
				var answer bytes.Buffer
				_ = result.Write(&answer)
				if _, err := conn.Write(answer.Bytes()); err != nil {
					return
				}
				if wrote != nil {
					wrote(request.URL.Path, conn, answer.Bytes())
				}
			}
		}()
	}
}

// surplusRelease: two of five instances are replaced. The new ones start first, and keys move to them; the old ones drain
// later. Three of the five send surplus copies of answers to releases, which are no more than surplusShare of their answers
// in troubleTime.
func surplusRelease() {
	d := prepare([]string{"numbers", "numbers", "numbers", "numbers", "numbers", "numbers", "numbers", "shops"})
	newInstance := func(side *machine, id string) *instance {
		return &instance{service: side.service, id: id, side: side, sharded: true, quit: make(chan struct{}), busy: map[int]int{},
			seen: make([]uint64, numberSpace), fence: make([]uint64, numberSpace), until: make([]time.Time, numberSpace),
			leaseEnd: make([]time.Time, numberSpace), granted: make([]time.Time, numberSpace)}
	}
	const late = 5 * time.Millisecond
	var nodes []*instance
	for n, side := range d.sidecars[:7] {
		nodes = append(nodes, newInstance(side, fmt.Sprintf("i-numbers-%d", n+1)))
	}
	var from atomic.Int64
	from.Store(time.Now().Add(time.Hour).UnixNano())
	serve := func(node *instance, isFaulty bool) {
		listener, err := net.Listen("tcp", node.side.appAddr)
		if err != nil {
			cannotRun("%v", err)
		}
		var answers, surpluses atomic.Int64
		go node.serveRaw(listener, func(path string, conn net.Conn, answer []byte) {
			since := time.Since(time.Unix(0, from.Load()))
			if !isFaulty || since < 0 || since >= troubleTime {
				return
			}
			answers.Add(1)
			if path == "/limehold/release" && withTrouble() && float64(surpluses.Load()+1) <= surplusShare*float64(answers.Load()) {
				surpluses.Add(1)
				time.AfterFunc(late, func() {
					_, _ = conn.Write(answer)
					record("surplus", "%s: copy %d of %d answers, one to %s, %v late", node.id, surpluses.Load(), answers.Load(), path, late)
				})
			}
		})
		go node.beat()
	}
	for n, node := range nodes[:old] {
		serve(node, n < faulty)
	}
	startInstance(d.sidecars[7], "i-shops", false)
	work := 2500 * time.Millisecond
	for _, node := range nodes {
		node.work = func(r *http.Request) time.Duration {
			if r.URL.Path == "/numbers/long" {
				return work
			}
			return 2 * time.Millisecond
		}
	}
	d.start()
	d.put("0", config("r1", route("r-numbers", "/numbers/", "safe", "numbers", 4, 2), service("numbers", true), service("shops", false)))
	d.awaitReady(waitLimit)
	for {
		status, _, _, err := call("GET", "http://"+d.sidecars[7].ports["outbound"]+"/numbers/x", map[string]string{"Host": testHost, "Limehold-Request-Id": fmt.Sprint("ready-", rand.Int()), "Limehold-Deadline-Ms": "1000", "Limehold-Shard-Key": strconv.Itoa(rand.IntN(numberSpace))}, nil)
		if err == nil && status == 200 {
			break
		}
		if time.Since(began) > waitLimit {
			cannotRun("not served")
		}
		time.Sleep(50 * time.Millisecond)
	}
	// When an instance gets a key, no other one may be working on it.
	wrong := map[string]int{}
	var mutex sync.Mutex
	check := func(receiver, giver *instance, from, to int, fence uint64) {
		giver.mutex.Lock()
		defer giver.mutex.Unlock()
		now := time.Now()
		for key, count := range giver.busy {
			if count > 0 && key >= from && key <= to && now.Before(giver.leaseEnd[key]) {
				mutex.Lock()
				wrong["handed over"]++
				mutex.Unlock()
				record("owner", "key %d is handed to %s (fence %d) while %s works on it, %.2f s before its lease ends", key, receiver.id, fence, giver.id, giver.leaseEnd[key].Sub(now).Seconds())
			}
		}
	}
	for _, node := range nodes {
		node.onGrant = func(from, to int, fence uint64) {
			for _, other := range nodes {
				if other != node {
					check(node, other, from, to, fence)
				}
			}
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for worker := range 60 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("long-%d-%d", worker, n)
				key := hotFrom + hotStep*rand.IntN(hotKeys)
				status, _, _, err := call("GET", "http://"+d.sidecars[7].ports["outbound"]+"/numbers/long", map[string]string{"Host": testHost, "Limehold-Request-Id": id, "Limehold-Deadline-Ms": "3500", "Limehold-Shard-Key": strconv.Itoa(key)}, nil)
				record("answered", "id=%s key=%d status=%d %v", id, key, status, err)
				if status != 200 {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	for worker := range 12 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				_, _, _, _ = call("GET", "http://"+d.sidecars[7].ports["outbound"]+"/numbers/short", map[string]string{"Host": testHost, "Limehold-Request-Id": fmt.Sprintf("short-%d-%d", worker, n), "Limehold-Deadline-Ms": "900", "Limehold-Shard-Key": strconv.Itoa(rand.IntN(numberSpace))}, nil)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	from.Store(time.Now().UnixNano())
	time.Sleep(time.Second)
	for _, node := range nodes[old:] {
		record("added", "instance=%s", node.id)
		serve(node, false)
		time.Sleep(820 * time.Millisecond)
	}
	time.Sleep(troubleTime)
	for _, node := range nodes[:replaced] {
		node.mutex.Lock()
		node.draining = true
		node.mutex.Unlock()
		if status, err := node.sendBeat(); err != nil || status/100 != 2 {
			cannotRun("the heartbeat that says draining: %d %v", status, err)
		}
		record("draining", "instance=%s", node.id)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	if len(wrong) > 0 {
		end(broken, "OWNER: %d times a key was handed to one instance while the other was still working on it, before its lease would have expired", wrong["handed over"])
	}
	end(held, "held: no key was handed over while the other instance was working on it")
}
