package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"time"
)

// oddPaths are paths below the route's prefix /approve/ that clients may send; plainPaths are sent without the trouble.
// The last ones differ from what an instance gets only in ways that RFC 3986 takes for the same; they are reported, but
// not judged.
var (
	oddPaths   = []string{"/approve/2026%2F17", "/approve/class//7b", "/approve/2026%2F17/page%2F3?copy=1%2F2"}
	samePaths  = []string{"/approve/b%c3%b3k", "/approve/%41rni", "/approve/%2e%2e/pay/9"}
	plainPaths = []string{"/approve/2026-17", "/approve/class/7b", "/approve/2026-17/page-3?copy=1%2F2"}
)

const approvalsEach = 40

// post sends one request as it is written here, over a connection of its own, and returns the status of its answer.
func post(address, path, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	body := "approved: " + id
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: jepu9.example\r\nLimehold-Request-Id: %s\r\nLimehold-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// runPath plays the case of clients whose paths hold an encoded slash, or two slashes.
func runPath(r *record, trouble bool) int {
	d, err := newDeployment(site{
		grants: "call", heartbeat: 1500 * time.Millisecond, slack: 60, region: "rvk",
		zones: []string{"rvk-a", "rvk-b", "rvk-c"}, instanceOf: []string{"press", "press", "orders"},
	}, r)
	if err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	defer d.stopAll()
	instances := []*instance{newInstance(d.sidecars[0], false, r), newInstance(d.sidecars[1], false, r), newInstance(d.sidecars[2], false, r)}
	if err := d.startAll(); err != nil {
		r.say("not run: %v", err)
		return cannotRun
	}
	for _, i := range instances {
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
	time.Sleep(contact + apply)
	judged, reported := plainPaths, []string(nil)
	if trouble {
		judged, reported = oddPaths, samePaths
	}
	sent := map[string]string{}
	for range approvalsEach {
		for _, path := range append(append([]string{}, judged...), reported...) {
			id := fmt.Sprintf("%016x", rand.Uint64())
			sent[id] = path
			status, err := post(d.sidecars[2].at(d.ports.outbound), path, id)
			r.note("client: %s: POST %s: %d %v", id, path, status, err)
		}
	}
	time.Sleep(time.Second)
	return judgePath(r, instances, sent, judged)
}

// judgePath compares the paths of what was run with those of what was sent.
func judgePath(r *record, instances []*instance, sent map[string]string, judged []string) int {
	counts, changed := map[string]int{}, 0
	for _, i := range instances {
		i.mutex.Lock()
		for _, ran := range i.runs {
			path, known := sent[ran.request]
			if !known {
				r.say("UNASKED: %s was run, and no client sent it", ran.request)
				changed++
				continue
			}
			counts[fmt.Sprintf("sent POST %s, run POST %s", path, ran.path)]++
			for _, each := range judged {
				if path == each && ran.path != path {
					changed++
				}
			}
		}
		i.mutex.Unlock()
	}
	var lines []string
	for line, count := range counts {
		lines = append(lines, fmt.Sprintf("%3d times: %s", count, line))
	}
	sort.Strings(lines)
	for _, line := range lines {
		r.say("%s", line)
	}
	if changed > 0 {
		r.say("UNASKED: %d requests were run whose path was changed", changed)
		return broken
	}
	return held
}
