package main

import (
	"net/http"
	"syscall"
	"time"
)

// runPlanned plays the case of a planned replacement of a core machine, after which another one loses its disk.
func runPlanned(r *record, trouble bool) int {
	d, err := newDeployment(site{
		grants: "call", heartbeat: 1500 * time.Millisecond, slack: 60, region: "rvk", zones: []string{"rvk-a", "rvk-b", "rvk-c"}, spares: 1,
	}, r)
	if err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	if status := d.order(http.MethodPut, 0, []byte(arbokConfig), heldBy); status != http.StatusOK {
		r.say("not run: the configuration got %d", status)
		return cannotRun
	}
	o := &operator{d: d, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, version: 1, route: "r-pay", path: "pay", service: "orders"}
	for range 10 {
		if err := o.change(ack); err != nil {
			r.say("not run: %v", err)
			return cannotRun
		}
	}
	time.Sleep(contact + catchUp)
	leaving, victim := d.controls[0], d.controls[1]
	if d.leader() == leaving {
		leaving, victim = d.controls[2], d.controls[1]
	}
	if err := d.spares[0].start(); err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	r.note("%s, the successor of %s, starts with an empty disk", d.spares[0].name, leaving.name)
	time.Sleep(catchUp + 500*time.Millisecond)
	r.note("%s gets SIGTERM", leaving.name)
	leaving.signal(syscall.SIGTERM)
	for leaving.isRunning() {
		time.Sleep(10 * time.Millisecond)
	}
	r.note("%s has ended, and does not come back", leaving.name)
	var controls []*machine
	for _, m := range d.controls {
		if m != leaving {
			controls = append(controls, m)
		}
	}
	d.controls = append(controls, d.spares[0])
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := victim.loseDisk(); err != nil {
			r.say("not run: %v", err)
			return cannotRun
		}
		r.note("%s loses its disk", victim.name)
		time.Sleep(downFor)
		if err := victim.start(); err != nil {
			r.say("not run: %v", err)
			return cannotRun
		}
		r.note("%s is back with an empty disk", victim.name)
	}
	time.Sleep(recovery)
	err = o.change(ack)
	r.note("%v later, change r%d: %v", recovery, o.version, err)
	read, came := readBack(d, 10*time.Second)
	r.say("acknowledged is r%d, read back at the end: %q", o.version, read)
	if !came {
		r.say("CONFIG: the configuration does not come when it is read back")
		return broken
	}
	return held
}
