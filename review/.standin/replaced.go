package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// comesAfter is how long after the end of a core machine its successor starts; see replace_core.
	comesAfter = 500 * time.Millisecond
	// settled is how long the deployment has after the last event before anything is judged.
	settled = recovery
)

// runReplaced plays the case of a sidecar machine that is frozen while the machines of the core are replaced in turn.
func runReplaced(r *record, trouble bool) int {
	d, err := newDeployment(site{
		grants: "call", heartbeat: 1500 * time.Millisecond, slack: 60, region: "rvk",
		zones: []string{"rvk-a", "rvk-b", "rvk-c"}, instanceOf: []string{"press", "orders"}, spares: 3,
	}, r)
	if err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	defer d.stopAll()
	press, orders := newInstance(d.sidecars[0], false, r), newInstance(d.sidecars[1], false, r)
	if err := d.startAll(); err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	for _, i := range []*instance{press, orders} {
		i.slots = 18
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
	time.Sleep(contact + catchUp)
	sent := &approvals{byID: map[string]*approval{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { sent.send(d, r, d.sidecars[0], stop) })
	time.Sleep(3 * time.Second)
	if trouble {
		if err := freezeAndReplace(d, r); err != nil {
			r.say("not run: %v", err)
			close(stop)
			group.Wait()
			return cannotRun
		}
	}
	time.Sleep(settled)
	shifted := strings.Replace(strings.Replace(arbokConfig, `"r1"`, `"r2"`, 1), `"service":"press","max_attempts"`, `"service":"orders","max_attempts"`, 1)
	if status := d.order(http.MethodPut, 1, []byte(shifted), ack); status != http.StatusOK {
		r.say("not run: the second configuration got %d", status)
		close(stop)
		group.Wait()
		return cannotRun
	}
	acknowledged := time.Now()
	r.note("r2 is acknowledged: /approve/ goes to orders")
	time.Sleep(settled)
	ready, _, _, err := call(http.MethodGet, "http://"+d.sidecars[0].at(d.ports.ready)+"/limehold/readiness", nil, nil, time.Second)
	r.note("%s says that it is ready: %d %v", d.sidecars[0].name, ready, err)
	close(stop)
	group.Wait()
	for _, line := range d.sidecars[0].logLines("event=control_connected", "event=woke_up", "event=session_opened", "event=session_lost") {
		r.note("log of %s: %s", d.sidecars[0].name, line)
	}
	return judgeReplaced(r, press, orders, sent, acknowledged)
}

// freezeAndReplace freezes the first sidecar machine while the core machines are replaced. Then the settings files name
// the new seeds.
func freezeAndReplace(d *deployment, r *record) error {
	frozen := d.sidecars[0]
	frozen.signal(syscall.SIGSTOP)
	begun := time.Now()
	r.note("%s freezes", frozen.name)
	if err := replaceAll(d, r); err != nil {
		return err
	}
	frozen.signal(syscall.SIGCONT)
	r.note("%s wakes up, after %.1f s", frozen.name, time.Since(begun).Seconds())
	for _, m := range d.sidecars {
		if _, err := m.writeSettings(); err != nil {
			return err
		}
		m.signal(syscall.SIGHUP)
		r.note("the settings of %s name the new seeds; it gets SIGHUP", m.name)
	}
	return nil
}

// replaceAll replaces the machines of the core one after the other. Each successor has catch_up_s before the next one
// goes.
func replaceAll(d *deployment, r *record) error {
	// The first to go is the member that the frozen machine follows, which therefore tells it nothing more.
	order := []int{0, 1, 2}
	if lines := d.sidecars[0].logLines("event=control_connected"); len(lines) > 0 {
		for i, m := range d.controls {
			if strings.Contains(lines[len(lines)-1], "peer="+m.name+" ") {
				order = []int{i, (i + 1) % 3, (i + 2) % 3}
			}
		}
	}
	old := d.controls
	for turn, i := range order {
		gone := old[i]
		gone.kill()
		r.note("%s is gone for good", gone.name)
		if turn == len(order)-1 {
			time.Sleep(comesAfter)
			return d.join(r, i)
		}
		time.Sleep(comesAfter)
		if err := d.join(r, i); err != nil {
			return err
		}
		time.Sleep(catchUp)
	}
	return nil
}

// join starts a spare in place of a core machine. The operator's list, and with it the seeds, name it from then on.
func (d *deployment) join(r *record, place int) error {
	next := d.spares[place]
	if err := next.start(); err != nil {
		return err
	}
	r.note("%s comes in its place, with an empty disk", next.name)
	controls := append([]*machine{}, d.controls...)
	controls[place] = next
	d.controls, d.seeds = controls, controls
	return nil
}

// judgeReplaced counts the requests that were sent long after the second configuration and run by the old service.
func judgeReplaced(r *record, press, orders *instance, sent *approvals, acknowledged time.Time) int {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	count := func(i *instance) int {
		found := 0
		for _, ran := range i.runs {
			if request := sent.byID[ran.request]; request != nil && request.sent.Sub(acknowledged) > apply {
				found++
			}
		}
		return found
	}
	statuses := map[int]int{}
	total := 0
	for _, request := range sent.byID {
		if request.sent.Sub(acknowledged) > apply {
			total++
			statuses[request.status]++
		}
	}
	stale, current := count(press), count(orders)
	r.say("of %d requests sent more than %v after r2 was acknowledged, the old service ran %d and the new one %d; answers: %v", total, apply, stale, current, fmt.Sprint(statuses))
	if stale > 0 {
		r.say("CONFIG: a machine in touch had %d requests run by the old service", stale)
		return broken
	}
	return held
}
