package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// arbokConfig is a configuration of the kind that PROTOCOL.md shows, without keys.
const arbokConfig = `{"version":"r1","resources":[
{"entry_type":"routes","metadata":{"name":"r-approve"},"spec":{"host":"jepu9.example","path_prefix":"/approve/","kind":"unsafe","timeout_s":3,"target_latency_s":0.8,"priority":1,"service":"press","max_attempts":2}},
{"entry_type":"routes","metadata":{"name":"r-pay"},"spec":{"host":"hulo84.example","path_prefix":"/pay/","kind":"unsafe","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"orders","max_attempts":2}},
{"entry_type":"services","metadata":{"name":"press"},"spec":{"health_path":"/health","max_connections":120,"protocol":"h1","tls":false}},
{"entry_type":"services","metadata":{"name":"orders"},"spec":{"health_path":"/health","max_connections":120,"protocol":"h1","tls":false}},
{"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`

const (
	// beatDelay is how late the beat is: heartbeats can arrive seconds late.
	beatDelay = 2500 * time.Millisecond
	// servesOn is how long the leaving instance keeps serving after its DELETE was acknowledged.
	servesOn = 9 * time.Second
)

// approval is one request of a client.
type approval struct {
	sent, answered time.Time
	status         int
	err            error
}

// approvals are the requests of the clients on one machine.
type approvals struct {
	mutex sync.Mutex
	byID  map[string]*approval
}

// send sends 40 requests a second until the stop channel is closed.
func (a *approvals) send(d *deployment, r *record, from *machine, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		group.Go(func() {
			id, sent := fmt.Sprintf("%016x", rand.Uint64()), &approval{sent: time.Now()}
			a.mutex.Lock()
			a.byID[id] = sent
			a.mutex.Unlock()
			header := map[string]string{"Host": "jepu9.example", "Limehold-Request-Id": id, "Limehold-Deadline-Ms": "3000"}
			status, _, _, err := call(http.MethodPost, "http://"+from.at(d.ports.outbound)+"/approve/book", header, []byte("approved: "+id), 3*time.Second)
			a.mutex.Lock()
			defer a.mutex.Unlock()
			sent.answered, sent.status, sent.err = time.Now(), status, err
			r.note("client: %s: %d %v", id, status, err)
		})
	}
}

// runDrain plays the case of a beat that arrives late at a restarted process, after its sender has said that it is gone.
func runDrain(r *record, trouble bool) int {
	d, err := newDeployment(site{
		grants: "call", heartbeat: 1500 * time.Millisecond, slack: 60, region: "rvk",
		zones: []string{"rvk-a", "rvk-b", "rvk-c"}, instanceOf: []string{"press", "press", "orders"},
	}, r)
	if err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	defer d.stopAll()
	leaving, other, third := newInstance(d.sidecars[0], false, r), newInstance(d.sidecars[1], false, r), newInstance(d.sidecars[2], false, r)
	if err := d.startAll(); err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	for _, i := range []*instance{leaving, other, third} {
		i.slots, i.work = 18, 290*time.Millisecond
		if err := i.start(); err != nil {
			r.say("not run: %v", err)
			return cannotRun
		}
		defer i.crash()
	}
	if status := d.order(http.MethodPut, 0, []byte(arbokConfig), heldBy); status != http.StatusOK || !d.awaitReady(heldBy) {
		r.say("not run: the configuration got %d, or the sidecars aren't ready", status)
		return cannotRun
	}
	time.Sleep(contact + apply)
	sent := &approvals{byID: map[string]*approval{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { sent.send(d, r, d.sidecars[2], stop) })
	time.Sleep(4 * time.Second)
	acknowledged, touch, ended, err := leave(d, r, leaving, trouble)
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	if err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	for _, line := range d.sidecars[0].logLines("event=instance_", "event=session_opened") {
		r.note("log of %s: %s", d.sidecars[0].name, line)
	}
	return judgeDrain(r, leaving, sent, acknowledged, touch, ended)
}

// judgeDrain counts the requests that reached the instance too late, from machines in touch.
func judgeDrain(r *record, leaving *instance, sent *approvals, acknowledged, touch, ended time.Time) int {
	late, lost, before := 0, 0, 0
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	for _, ran := range leaving.runs {
		after := ran.at.Sub(acknowledged)
		if after <= drain {
			before++
			continue
		}
		if ran.at.Before(touch) {
			continue // the machine of the instance is not in touch
		}
		late++
		answer := sent.byID[ran.request]
		if answer != nil && answer.status/100 != 2 {
			lost++
			r.note("accepted and lost: %s reached %s %.2f s after the acknowledgement, its client got %d %v", ran.request, ran.instance, after.Seconds(), answer.status, answer.err)
		}
	}
	r.say("the instance ran %d requests up to %v after its DELETE was acknowledged, and %d later, from machines in touch; it ended %.2f s after it, and %d of those were lost",
		before, drain, late, ended.Sub(acknowledged).Seconds(), lost)
	if late > 0 {
		r.say("DRAIN: %d requests reached an instance later than %v after a machine in touch had acknowledged that it is gone", late, drain)
		return broken
	}
	return held
}

// leave has the instance leave: it sends DELETE, keeps serving, and ends. With trouble, a beat that it sent before
// arrives late, after the process of its machine has been killed and started again.
func leave(d *deployment, r *record, i *instance, trouble bool) (acknowledged, touch, ended time.Time, err error) {
	sidecar := d.sidecars[0]
	type message struct {
		id   string
		body []byte
	}
	caught := make(chan message, 1)
	i.mutex.Lock()
	i.onBeat = func(id string, sequence uint64, body []byte) bool {
		if !trouble {
			body = nil
		}
		select {
		case caught <- message{id, body}:
			r.note("beat %d of %s: %s", sequence, id, body)
			return trouble
		default:
			return false
		}
	}
	i.mutex.Unlock()
	late := <-caught
	beaten := time.Now()
	i.mutex.Lock()
	i.onBeat = nil
	i.mutex.Unlock()
	time.Sleep(200 * time.Millisecond)
	status := i.depart()
	acknowledged = time.Now()
	r.note("DELETE of %s: %d", late.id, status)
	if status/100 != 2 {
		return acknowledged, touch, ended, fmt.Errorf("the DELETE got %d", status)
	}
	touch = acknowledged
	if trouble {
		time.Sleep(100 * time.Millisecond)
		sidecar.kill()
		r.note("the process on %s is killed", sidecar.name)
		time.Sleep(400 * time.Millisecond)
		if err := sidecar.start(); err != nil {
			return acknowledged, touch, ended, err
		}
		touch = time.Now().Add(contact)
		r.note("the process on %s starts again", sidecar.name)
		time.Sleep(beatDelay - time.Since(beaten))
		status, answer, err := sidecar.put(late.id, late.body)
		r.note("the beat of %s arrives %.2f s after it was sent: %d %s %v", late.id, time.Since(beaten).Seconds(), status, answer, err)
	}
	time.Sleep(servesOn - time.Since(acknowledged))
	i.crash()
	return acknowledged, touch, time.Now(), nil
}
