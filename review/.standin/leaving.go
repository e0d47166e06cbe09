package main

import (
	"sync"
	"time"
)

const (
	// leavingRounds is how often the case is tried: the beat has to arrive while keys are being let go.
	leavingRounds = 4
	// afterLeaving is how long after the running instance has said that it is leaving the old beat arrives.
	afterLeaving = 650 * time.Millisecond
	// enoughKeys is how many keys the running instance holds before it leaves.
	enoughKeys = 4000
)

// runLeaving plays the case of a beat that arrives a few seconds late, while the next incarnation of its sender leaves.
func runLeaving(r *record, trouble bool) int {
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
	time.Sleep(4 * time.Second)
	for round := 1; round <= leavingRounds && h.broken == 0; round++ {
		if trouble {
			r.note("round %d", round)
			if err := leaveAtLateBeat(d, r, first); err != nil {
				r.say("not run: %v", err)
				close(stop)
				group.Wait()
				return cannotRun
			}
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	group.Wait()
	for _, line := range d.sidecars[0].logLines("event=instance_started", "event=instance_draining", "event=session_opened", "event=keys_released", "event=drain_reported") {
		r.note("log of %s: %s", d.sidecars[0].name, line)
	}
	r.say("longest time for which two running instances held the same key: %.2f s (allowed: %.1f s)", h.worst.Seconds(), overlapLimit.Seconds())
	if h.broken > 0 {
		return broken
	}
	return held
}

// heldBack is a beat that arrives late.
type heldBack struct {
	id   string
	body []byte
	sent time.Time
}

// holdBack waits for the next beat of an instance, which doesn't arrive.
func holdBack(r *record, i *instance) heldBack {
	caught := make(chan heldBack, 1)
	i.mutex.Lock()
	i.onBeat = func(id string, sequence uint64, body []byte) bool {
		select {
		case caught <- heldBack{id, body, time.Now()}:
			r.note("beat %d of %s is held back: %s", sequence, id, body)
			return true
		default:
			return false
		}
	}
	i.mutex.Unlock()
	late := <-caught
	i.mutex.Lock()
	i.onBeat = nil
	i.mutex.Unlock()
	return late
}

// arrive delivers a beat that was held back.
func (h heldBack) arrive(r *record, at *machine) {
	lateness := time.Since(h.sent)
	r.note("the beat of %s arrives, %.2f s after it was sent", h.id, lateness.Seconds())
	status, answer, err := at.put(h.id, h.body)
	r.note("the answer to the beat of %s: %d %s %v", h.id, status, answer, err)
}

// leaveAtLateBeat holds a beat of an instance back. The instance crashes, the process of its machine is killed, and both
// start again. The new incarnation holds keys, and then says that it is leaving. Just after that the old beat arrives.
func leaveAtLateBeat(d *deployment, r *record, first *instance) error {
	sidecar := d.sidecars[0]
	late := holdBack(r, first)
	time.Sleep(50 * time.Millisecond)
	first.crash()
	sidecar.kill()
	r.note("the process on %s is killed", sidecar.name)
	time.Sleep(200 * time.Millisecond)
	if err := sidecar.start(); err != nil {
		return err
	}
	r.note("the process on %s starts again", sidecar.name)
	time.Sleep(100 * time.Millisecond)
	if err := first.start(); err != nil {
		return err
	}
	for until := time.Now().Add(catchUp); first.keyCount() < enoughKeys && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	said := make(chan struct{}, 1)
	first.mutex.Lock()
	first.draining = true
	first.onBeat = func(id string, sequence uint64, _ []byte) bool {
		r.note("beat %d of %s says that it is leaving", sequence, id)
		select {
		case said <- struct{}{}:
		default:
		}
		return false
	}
	first.mutex.Unlock()
	<-said
	time.Sleep(afterLeaving)
	r.note("%s holds %d keys", sidecar.name, first.keyCount())
	go late.arrive(r, sidecar)
	return nil
}

// keyCount returns how many keys the running incarnation holds.
func (i *instance) keyCount() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	count := 0
	for _, row := range i.rows(time.Now()) {
		count += row.to - row.from + 1
	}
	return count
}
