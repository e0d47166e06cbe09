package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// overlapLimit is the time for which two instances may hold the same keys; see RULES.md, OWNER.
const overlapLimit = 500 * time.Millisecond

// sampleStep is the distance of the keys that are watched. The system hands keys out in ranges of 64.
const sampleStep = 64

// holders watches which instances hold which keys.
type holders struct {
	record    *record
	instances []*instance
	// since is when two running instances began to hold a key together, worst the longest such time.
	since  map[int]time.Time
	pair   map[int]string
	worst  time.Duration
	broken int
	told   map[string]bool
}

func newHolders(r *record, instances ...*instance) *holders {
	return &holders{record: r, instances: instances, since: map[int]time.Time{}, pair: map[int]string{}, told: map[string]bool{}}
}

// look looks at all sampled keys once, and returns how many of them are held.
func (h *holders) look() (held int) {
	for _, i := range h.instances {
		i.mutex.Lock()
		defer i.mutex.Unlock()
	}
	now := time.Now()
	for key := 0; key < keySpace; key += sampleStep {
		count, who := 0, ""
		for _, i := range h.instances {
			if id, fence := i.heldFence(key, now); fence > 0 {
				count++
				who += fmt.Sprintf(" %s (fence %d)", id, fence)
			}
		}
		if count > 0 {
			held++
		}
		if count < 2 {
			delete(h.since, key)
			continue
		}
		if _, begun := h.since[key]; !begun || h.pair[key] != who {
			h.since[key], h.pair[key] = now, who
			continue
		}
		length := now.Sub(h.since[key])
		h.worst = max(h.worst, length)
		if length > overlapLimit {
			h.broken++
			if !h.told[who] {
				h.told[who] = true
				h.record.say("OWNER: key %d has been held for %.2f s by%s", key, length.Seconds(), who)
			}
		}
	}
	return held
}

// watch looks until the stop channel is closed.
func (h *holders) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
			h.look()
		}
	}
}

// folhaConfig is a configuration of the kind that PROTOCOL.md shows, with a service that is divided by key.
const folhaConfig = `{"version":"r1","resources":[
{"entry_type":"routes","metadata":{"name":"r-read"},"spec":{"host":"jepu9.example","path_prefix":"/read/","kind":"safe","timeout_s":1.5,"target_latency_s":0.6,"priority":2,"service":"reader","max_attempts":2}},
{"entry_type":"routes","metadata":{"name":"r-publish"},"spec":{"host":"hulo84.example","path_prefix":"/publish/","kind":"unsafe","timeout_s":2,"target_latency_s":0.8,"priority":1,"service":"publisher","max_attempts":2}},
{"entry_type":"services","metadata":{"name":"reader"},"spec":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"sharded":true,"warmup_s":3.0,"grants":"heartbeat"}},
{"entry_type":"services","metadata":{"name":"publisher"},"spec":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},
{"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`

const (
	// cutLength is how long the cut holds the beat back: those of the site's days last up to 10 s.
	cutLength = 8 * time.Second
	// heldBy is how long the deployment may take until all keys are held.
	heldBy = 40 * time.Second
)

// runOwn plays the case of a beat that a cut has held back.
func runOwn(r *record, trouble bool) int {
	d, instances, err := startFolha(r)
	if err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	defer d.stopAll()
	first, second := instances[0], instances[1]
	for _, i := range instances {
		defer i.crash()
	}
	h := newHolders(r, first, second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { h.watch(stop) })
	group.Go(func() { (&pages{}).read(d, r, stop) })
	time.Sleep(8 * time.Second)
	if trouble {
		if err := lateBeat(d, r, first); err != nil {
			r.say("not run: %v", err)
			close(stop)
			group.Wait()
			return cannotRun
		}
	} else {
		time.Sleep(cutLength)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	group.Wait()
	for _, line := range d.sidecars[0].logLines("event=instance_started", "event=session_opened", "event=backend_restarted") {
		r.note("log of %s: %s", d.sidecars[0].name, line)
	}
	r.say("longest time for which two running instances held the same key: %.2f s (allowed: %.1f s)", h.worst.Seconds(), overlapLimit.Seconds())
	if h.broken > 0 {
		return broken
	}
	return held
}

// lateBeat holds a beat of the first instance back. Meanwhile that instance crashes, the process of its machine is
// killed, both start again, and the new incarnation is registered.
func lateBeat(d *deployment, r *record, first *instance) error {
	sidecar := d.sidecars[0]
	late := holdBack(r, first)
	time.Sleep(100 * time.Millisecond)
	first.crash()
	sidecar.kill()
	r.note("the process on %s is killed", sidecar.name)
	time.Sleep(400 * time.Millisecond)
	if err := sidecar.start(); err != nil {
		return err
	}
	r.note("the process on %s starts again", sidecar.name)
	time.Sleep(200 * time.Millisecond)
	if err := first.start(); err != nil {
		return err
	}
	time.Sleep(cutLength - time.Since(late.sent))
	late.arrive(r, sidecar)
	return nil
}

// startFolha starts a deployment with two instances of a service that is divided by key and one of another service, and
// waits until all keys are held.
func startFolha(r *record) (*deployment, []*instance, error) {
	d, err := newDeployment(site{
		grants: "heartbeat", heartbeat: 870 * time.Millisecond, slack: 58, region: "pt-norte",
		zones: []string{"braga-a", "braga-b", "porto-a", "porto-b"}, instanceOf: []string{"reader", "reader", "publisher"},
	}, r)
	if err != nil {
		return nil, nil, err
	}
	instances := []*instance{newInstance(d.sidecars[0], true, r), newInstance(d.sidecars[1], true, r), newInstance(d.sidecars[2], false, r)}
	fail := func(format string, arguments ...any) (*deployment, []*instance, error) {
		for _, i := range instances {
			i.crash()
		}
		d.stopAll()
		return nil, nil, fmt.Errorf(format, arguments...)
	}
	if err := d.startAll(); err != nil {
		return fail("%w", err)
	}
	for _, i := range instances {
		if err := i.start(); err != nil {
			return fail("%w", err)
		}
	}
	if status := d.order(http.MethodPut, 0, []byte(folhaConfig), heldBy); status != http.StatusOK {
		return fail("the configuration got %d", status)
	}
	h := newHolders(r, instances[0], instances[1])
	for until := time.Now().Add(heldBy); h.look() < keySpace/sampleStep; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return fail("the keys aren't all held")
		}
	}
	if !d.awaitReady(heldBy) {
		return fail("the sidecars aren't ready")
	}
	r.note("all keys are held")
	return d, instances, nil
}

// pages are the requests of the clients on the third machine.
type pages struct {
	mutex sync.Mutex
	sent  []page
}

// page is one request and whether it was served.
type page struct {
	at     time.Time
	served bool
}

// share returns how many requests were sent from a time on, and how many of them were served.
func (p *pages) share(from time.Time) (sent, served int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range p.sent {
		if each.at.Before(from) {
			continue
		}
		sent++
		if each.served {
			served++
		}
	}
	return sent, served
}

// read sends 20 requests a second from the third machine until the stop channel is closed.
func (p *pages) read(d *deployment, r *record, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		group.Go(func() {
			id, key, at := fmt.Sprintf("%016x", rand.Uint64()), rand.IntN(keySpace), time.Now()
			header := map[string]string{"Host": "jepu9.example", "Limehold-Request-Id": id, "Limehold-Deadline-Ms": "1500", "Limehold-Shard-Key": fmt.Sprint(key)}
			status, _, _, err := call(http.MethodGet, "http://"+d.sidecars[2].at(d.ports.outbound)+"/read/page", header, nil, 1500*time.Millisecond)
			r.note("client: %s (key %d): %d %v", id, key, status, err)
			p.mutex.Lock()
			defer p.mutex.Unlock()
			p.sent = append(p.sent, page{at, status == http.StatusOK})
		})
	}
}
