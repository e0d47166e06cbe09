package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// downFor is how long a machine is down after it has lost its disk.
	downFor = 1200 * time.Millisecond
	// afterJoin is how long after the group has let the returned machine in that it loses its disk again.
	afterJoin = 120 * time.Millisecond
	// recovery is how long the deployment may take after all machines are back; see recovery_s.
	recovery = 15 * time.Second
)

// loseDisk kills the process of a machine of the core and empties its data folder.
func (m *machine) loseDisk() error {
	m.kill()
	if err := os.RemoveAll(m.dataDir); err != nil {
		return err
	}
	return os.Mkdir(m.dataDir, 0o700)
}

// countLines counts the lines of the logs of all core machines that contain a text.
func (d *deployment) countLines(text string) int {
	count := 0
	for _, m := range d.controls {
		count += len(m.logLines(text))
	}
	return count
}

// leader returns the core machine that has begun to lead last.
func (d *deployment) leader() *machine {
	var newest *machine
	at := ""
	for _, m := range d.controls {
		if lines := m.logLines("event=leading "); len(lines) > 0 {
			if stamp, _, _ := strings.Cut(lines[len(lines)-1], " "); stamp > at {
				newest, at = m, stamp
			}
		}
	}
	return newest
}

// runVoters plays the case of one machine of the core that loses its disk, comes back, and soon loses its disk again.
func runVoters(r *record, trouble bool) int {
	d, instances, err := startFolha(r)
	if err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	defer d.stopAll()
	for _, i := range instances {
		defer i.crash()
	}
	stop, clients := make(chan struct{}), &pages{}
	var group sync.WaitGroup
	group.Go(func() { clients.read(d, r, stop) })
	o := &operator{d: d, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, version: 1, route: "r-publish", path: "publish", service: "publisher"}
	for range 10 {
		if err := o.change(ack); err != nil {
			r.say("not run: %v", err)
			return cannotRun
		}
	}
	time.Sleep(contact + catchUp)
	victim := d.controls[2]
	if d.leader() == victim {
		victim = d.controls[1]
	}
	r.note("r%d is acknowledged; %s leads, %s is the one that will be lost", o.version, d.leader().name, victim.name)
	for round := 1; round <= 3; round++ {
		if trouble {
			if err := loseTwice(d, r, victim, round); err != nil {
				r.say("not run: %v", err)
				return cannotRun
			}
		}
		time.Sleep(recovery)
		begun := time.Now()
		err := o.change(ack)
		r.note("%v after all machines are back, change r%d: %v (%.2f s)", recovery, o.version, err, time.Since(begun).Seconds())
		if err != nil || !trouble {
			break
		}
	}
	from := time.Now()
	read, came := readBack(d, 10*time.Second)
	close(stop)
	group.Wait()
	sent, served := clients.share(from.Add(-recovery / 2))
	for _, m := range d.controls {
		for _, line := range m.logLines("event=members_changed", "event=members_not_changed", "event=snapshot_installed", "event=leader", "event=no_leader", "event=leading", "event=awaiting_admission") {
			r.note("log of %s: %s", m.name, line)
		}
	}
	running := 0
	for _, m := range d.controls {
		if m.isRunning() {
			running++
		}
	}
	r.say("%d of 3 core machines run, and none but %s was ever lost; acknowledged is r%d, read back at the end: %q", running, victim.name, o.version, read)
	r.say("of %d requests of clients in the last %.0f s, %d were served", sent, time.Since(from.Add(-recovery/2)).Seconds(), served)
	if !came {
		r.say("CONFIG: the configuration does not come when it is read back")
		return broken
	}
	return held
}

// loseTwice has a machine lose its disk, lets it come back, and has it lose its disk again as soon as the group has let
// it in.
func loseTwice(d *deployment, r *record, victim *machine, round int) error {
	const joined = "step=\"add learner "
	before := d.countLines(joined)
	if err := victim.loseDisk(); err != nil {
		return err
	}
	r.note("round %d: %s loses its disk", round, victim.name)
	time.Sleep(downFor)
	if err := victim.start(); err != nil {
		return err
	}
	r.note("%s is back with an empty disk", victim.name)
	for until := time.Now().Add(catchUp); d.countLines(joined) == before && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(afterJoin)
	if err := victim.loseDisk(); err != nil {
		return err
	}
	r.note("%s loses its disk again", victim.name)
	time.Sleep(downFor)
	if err := victim.start(); err != nil {
		return err
	}
	r.note("%s is back with an empty disk", victim.name)
	return nil
}
