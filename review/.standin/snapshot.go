package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// changesWhileDown is how many changes of the configuration a member misses. A member that has missed more than 500
	// log entries is sent a snapshot.
	changesWhileDown = 1100
	// roundsUntil is when no further round is begun.
	roundsUntil = 70 * time.Second
)

// operator sends changes one after the other, each on top of the one before.
type operator struct {
	d       *deployment
	client  *http.Client
	version int
	turn    int
	// route, path and service are those of the route that is changed.
	route, path, service string
}

// change sends one change until it is acknowledged.
func (o *operator) change(limit time.Duration) error {
	next := o.version + 1
	body := fmt.Sprintf(`{"version":"r%d","upsert":{"resources":[{"entry_type":"routes","metadata":{"name":"%s"},"spec":{"host":"hulo84.example","path_prefix":"/%s/","kind":"unsafe","timeout_s":%g,"target_latency_s":0.5,"priority":2,"service":"%s","max_attempts":2}}]},"remove":{}}`, next, o.route, o.path, 2+float64(next%10)/10, o.service)
	last := error(nil)
	for until := time.Now().Add(limit); time.Now().Before(until); {
		status, err := o.send(http.MethodPatch, body)
		if status == http.StatusOK {
			o.version = next
			return nil
		}
		last = fmt.Errorf("change r%d got %d, %v", next, status, err)
		if err == nil && status < 500 {
			return last
		}
		o.turn++
		time.Sleep(20 * time.Millisecond)
	}
	return last
}

// send sends one call to the member whose turn it is, over a kept connection.
func (o *operator) send(method, body string) (int, error) {
	member := o.d.controls[o.turn%len(o.d.controls)]
	request, err := http.NewRequest(method, "http://"+member.at(o.d.ports.control)+"/limehold/config", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", versionText(o.version))
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// readBack reads the configuration at every member in turn for a time, and returns the first that comes.
func readBack(d *deployment, length time.Duration) (string, bool) {
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, m := range d.controls {
			status, _, body, err := call(http.MethodGet, "http://"+m.at(d.ports.control)+"/limehold/config", nil, nil, time.Second)
			if err == nil && status == http.StatusOK {
				return string(body[:bytes.IndexByte(body, ',')]), true
			}
		}
	}
	return "", false
}

// newestSnapshot returns the name of a member's newest snapshot.
func newestSnapshot(folder string) string {
	handle, err := os.Open(folder)
	if err != nil {
		return ""
	}
	defer handle.Close()
	names, _ := handle.Readdirnames(-1)
	newest := ""
	for _, name := range names {
		if strings.HasSuffix(name, ".snapshot") && name > newest {
			newest = name
		}
	}
	return newest
}

// killAtSnapshot kills a member as soon as it has put a new snapshot in place.
func killAtSnapshot(m *machine, before string, limit time.Duration) bool {
	folder := filepath.Join(m.dataDir, "snapshots")
	for until := time.Now().Add(limit); time.Now().Before(until); {
		if newestSnapshot(folder) > before {
			m.kill()
			return true
		}
	}
	return false
}

// runSnapshot plays the case of a member of control that is killed while it takes a snapshot from the leader.
func runSnapshot(r *record, trouble bool) int {
	d, err := newDeployment(site{
		grants: "call", heartbeat: 1500 * time.Millisecond, slack: 60, region: "rvk", zones: []string{"rvk-a", "rvk-b", "rvk-c"},
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
	o := &operator{d: d, client: &http.Client{Timeout: time.Second}, version: 1, route: "r-pay", path: "pay", service: "orders"}
	killed := d.controls[2]
	stopsByItself := false
	for round := 1; time.Since(r.begun) < roundsUntil && !stopsByItself; round++ {
		r.note("round %d: %s is killed", round, killed.name)
		killed.kill()
		begun := time.Now()
		for range changesWhileDown {
			if err := o.change(ack); err != nil {
				r.say("not run: %v", err)
				return cannotRun
			}
		}
		r.note("%d changes are acknowledged in %.1f s; the newest is r%d", changesWhileDown, time.Since(begun).Seconds(), o.version)
		before := newestSnapshot(filepath.Join(killed.dataDir, "snapshots"))
		if err := killed.start(); err != nil {
			r.say("not run: %v", err)
			return cannotRun
		}
		if trouble {
			if !killAtSnapshot(killed, before, catchUp) {
				r.note("%s took no snapshot", killed.name)
				continue
			}
			r.note("%s is killed again, at its new snapshot", killed.name)
			time.Sleep(200 * time.Millisecond)
			if err := killed.start(); err != nil {
				r.say("not run: %v", err)
				return cannotRun
			}
		}
		time.Sleep(1500 * time.Millisecond)
		for range 5 {
			if err := o.change(ack); err != nil {
				r.say("not run: %v", err)
				return cannotRun
			}
		}
		time.Sleep(500 * time.Millisecond)
		if !killed.isRunning() {
			r.note("%s has ended by itself before the last kill", killed.name)
		}
		killed.kill()
		r.note("%s is killed once more", killed.name)
		time.Sleep(200 * time.Millisecond)
		if err := killed.start(); err != nil {
			r.say("not run: %v", err)
			return cannotRun
		}
		time.Sleep(1500 * time.Millisecond)
		stopsByItself = !killed.isRunning()
		if !trouble {
			break
		}
	}
	return loseAnother(d, r, o, killed, stopsByItself)
}

// loseAnother starts the member that was killed as the platform does, lets it have its time to catch up, and then loses
// another member: the deployment has to bear that.
func loseAnother(d *deployment, r *record, o *operator, killed *machine, stopsByItself bool) int {
	ends := 0
	for until := time.Now().Add(catchUp + contact); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if killed.isRunning() {
			continue
		}
		ends++
		r.note("%s has ended by itself; the platform starts it again", killed.name)
		time.Sleep(500 * time.Millisecond)
		if err := killed.start(); err != nil {
			r.say("not run: %v", err)
			return cannotRun
		}
	}
	for _, line := range killed.logLines("event=not_started") {
		r.note("log of %s: %s", killed.name, line)
	}
	read, came := readBack(d, contact)
	r.note("before the loss the configuration read is %s %v", read, came)
	r.note("%s is lost", d.controls[1].name)
	d.controls[1].signal(syscall.SIGKILL)
	// The platform goes on starting the member that ends by itself.
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				if !killed.isRunning() {
					_ = killed.start()
				}
			}
		}
	}()
	defer func() { close(stop); time.Sleep(time.Second) }()
	time.Sleep(contact)
	read, came = readBack(d, 10*time.Second)
	r.say("%s ended by itself %d times within %v (it fails to start: %v); with %s lost, the configuration read back is %q, acknowledged was r%d",
		killed.name, ends, catchUp+contact, stopsByItself, d.controls[1].name, read, o.version)
	if !came {
		r.say("CONFIG: the configuration does not come, though one machine of the core is lost and one is to be borne")
		return broken
	}
	return held
}
