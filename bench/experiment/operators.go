package experiment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/adminapi"
	"limehold/bench/judge"
	"limehold/bench/shape"
	"limehold/clock"
	"limehold/wire"
)

const (
	changeEvery  = 400 * time.Millisecond
	resendLimit  = 15 * time.Second
	adminLimit   = 3 * time.Second
	probeLimit   = 500 * time.Millisecond
	probeEvery   = 5 * time.Millisecond
	inForceLimit = 8 * time.Second
)

// operators change services during the run: two race for the same revision each
// time, the winner's command is sent again to another member, and the routers
// are watched until the change is in force.
type operators struct {
	run       *run
	mutex     sync.Mutex
	changes   []judge.Change
	lost      []string
	conflicts int
	wonTwice  int
	// last is the newest acknowledged value of each service.
	last    map[string]acknowledged
	pending sync.WaitGroup
}

type acknowledged struct {
	revision uint64
	value    string
}

func newOperators(r *run) *operators { return &operators{run: r, last: map[string]acknowledged{}} }

// work goes on until ctx ends.
func (o *operators) work(ctx context.Context) {
	services := o.run.options.Shape.KeyedServices()
	for turn := 0; ctx.Err() == nil; turn++ {
		o.race(ctx, o.service(services[turn%len(services)]), turn)
		select {
		case <-ctx.Done():
		case <-time.After(changeEvery):
		}
	}
	o.pending.Wait()
	o.checkFinal()
}

func (o *operators) service(name string) shape.Service {
	for _, service := range o.run.options.Shape.Services {
		if service.Name == name {
			return service
		}
	}
	return shape.Service{}
}

// race has two operators change a service that both saw at the same revision.
func (o *operators) race(ctx context.Context, service shape.Service, turn int) {
	var seen adminapi.Service
	if o.ask(ctx, adminapi.Request{Method: http.MethodGet, Path: adminapi.PathServices + "/" + service.Name}, &seen) != nil {
		return
	}
	var both sync.WaitGroup
	won := make([]bool, 2)
	for operator := range won {
		both.Add(1)
		go func() {
			defer both.Done()
			won[operator] = o.change(ctx, &seen, turn, operator)
		}()
	}
	both.Wait()
	if won[0] && won[1] {
		o.mutex.Lock()
		o.wonTwice++
		o.mutex.Unlock()
	}
}

// change sends one operator's command until there is an answer.
func (o *operators) change(ctx context.Context, seen *adminapi.Service, turn, operator int) bool {
	value := fmt.Sprintf("%dms", 2000+turn*2+operator)
	request := adminapi.Request{
		Method: http.MethodPatch, Path: adminapi.PathServices + "/" + seen.Name,
		Query:     url.Values{"revision": {strconv.FormatUint(seen.Revision, 10)}},
		Body:      adminapi.UpdateService{Values: map[string]string{"timeout": value}},
		CommandID: fmt.Sprintf("race-%d-%d-%d", o.run.options.Seed, turn, operator),
	}
	var answer adminapi.Changed
	err := o.ask(ctx, request, &answer)
	var refused *adminapi.Error
	if errors.As(err, &refused) && refused.Code == "conflict" {
		o.mutex.Lock()
		o.conflicts++
		o.mutex.Unlock()
		return false
	}
	if err != nil {
		return false
	}
	o.acknowledge(seen, value, answer.Revision, request)
	return true
}

func (o *operators) acknowledge(seen *adminapi.Service, value string, revision uint64, request adminapi.Request) {
	accepted := clock.Now()
	o.mutex.Lock()
	if revision > o.last[seen.Name].revision {
		o.last[seen.Name] = acknowledged{revision, value}
	}
	o.mutex.Unlock()
	o.pending.Add(1)
	go func() {
		defer o.pending.Done()
		inForce := o.watch(seen.Spec.Match.PathPrefix, revision)
		o.mutex.Lock()
		o.changes = append(o.changes, judge.Change{
			Service: seen.Name, Prefix: seen.Spec.Match.PathPrefix, Revision: revision, Accepted: accepted, InForce: inForce,
		})
		o.mutex.Unlock()
		o.resend(request, revision)
	}()
}

// resend repeats a command that was answered, as an operator does whose answer
// got lost: the first answer must come again.
func (o *operators) resend(request adminapi.Request, revision uint64) {
	var again adminapi.Changed
	err := o.ask(context.Background(), request, &again)
	var refused *adminapi.Error
	if err != nil && !errors.As(err, &refused) {
		return
	}
	if err != nil || again.Revision != revision {
		o.note("command %s was answered with revision %d first, then with %d, %v", request.CommandID, revision, again.Revision, err)
	}
}

func (o *operators) note(format string, arguments ...any) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lost = append(o.lost, fmt.Sprintf(format, arguments...))
}

// ask sends a request to one member after the other until one of them has a
// definite answer.
func (o *operators) ask(ctx context.Context, request adminapi.Request, answer any) error {
	deadline := time.Now().Add(resendLimit)
	for {
		var last error
		for _, member := range o.run.fleet.Members {
			if member.PID() == 0 {
				continue
			}
			client := adminapi.NewClient([]string{member.Field("admin")}, "", adminLimit)
			last = client.Do(request, answer)
			var refused *adminapi.Error
			if last == nil || errors.As(last, &refused) && refused.Status < http.StatusInternalServerError {
				return last
			}
		}
		if time.Now().After(deadline) {
			return errors.Join(errNoAnswer, last)
		}
		time.Sleep(changeEvery / 10)
	}
}

var errNoAnswer = errors.New("no member gave an answer in time")

// watch waits until every router handles requests under the revision, or
// handles none; it returns the time, or zero.
func (o *operators) watch(prefix string, revision uint64) time.Duration {
	deadline := time.Now().Add(inForceLimit)
	waiting := make([]*prober, 0, len(o.run.fleet.Routers))
	for _, router := range o.run.fleet.Routers {
		waiting = append(waiting, newProber(router.Callers.Dial))
	}
	for time.Now().Before(deadline) {
		behind := waiting[:0]
		for _, probe := range waiting {
			if !probe.inForce(prefix, revision) {
				behind = append(behind, probe)
			}
		}
		if len(behind) == 0 {
			return clock.Now()
		}
		waiting = behind
		time.Sleep(probeEvery)
	}
	return 0
}

// prober asks a router for a key that is not there: the router refuses, and
// names the revision under which it did.
type prober struct{ client *fasthttp.HostClient }

func newProber(dial func() (net.Conn, error)) *prober {
	return &prober{client: &fasthttp.HostClient{
		Addr: "router:80", Dial: func(string) (net.Conn, error) { return dial() }, MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration: probeLimit / 2,
	}}
}

func (p *prober) inForce(prefix string, revision uint64) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://fleet" + prefix)
	if p.client.DoTimeout(request, response, probeLimit) != nil {
		// A router that answers nobody handles nothing under an old revision;
		// if it does so later, its callers' requests show it.
		return true
	}
	if string(response.Header.Peek(wire.HeaderReason)) == reasonNotCurrent {
		return true
	}
	seen, _ := strconv.ParseUint(string(response.Header.Peek(wire.HeaderRevision)), 10, 64)
	return seen >= revision
}

// reasonNotCurrent is part of the callers' interface, docs/CALLERS.md.
const reasonNotCurrent = "not-current"

// checkFinal compares what the group holds at the end with what it acknowledged.
func (o *operators) checkFinal() {
	for name, want := range o.last {
		var service adminapi.Service
		if err := o.ask(context.Background(), adminapi.Request{Method: http.MethodGet, Path: adminapi.PathServices + "/" + name}, &service); err != nil {
			o.note("service %s cannot be read at the end: %v", name, err)
			continue
		}
		if service.Revision < want.revision || service.Revision == want.revision && service.Values["timeout"] != want.value {
			o.note("service %s: timeout %s was acknowledged at revision %d; at the end it is %s at revision %d", name, want.value, want.revision, service.Values["timeout"], service.Revision)
		}
	}
}
