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
	"limehold/upstream"
	"limehold/wire"
)

const (
	changeInterval = 400 * time.Millisecond
	requestTimeout = 15 * time.Second
	adminTimeout   = 3 * time.Second
	probeTimeout   = 500 * time.Millisecond
	probeInterval  = 5 * time.Millisecond
	inForceTimeout = 8 * time.Second
)

// operators change services during the run. Two operators at a time race for the
// same revision, the winner's command is sent again to check that it gets the same
// answer, and the routers are probed until the change is in force.
type operators struct {
	run           *run
	mutex         sync.Mutex
	changes       []judge.Change
	lostChanges   []string
	conflicts     int
	racesWonTwice int
	// latest holds the newest acknowledged value of each service.
	latest  map[string]ackedValue
	pending sync.WaitGroup
}

type ackedValue struct {
	revision uint64
	value    string
}

func newOperators(r *run) *operators { return &operators{run: r, latest: map[string]ackedValue{}} }

// changeServices races changes until ctx ends, then checks the final configuration.
func (o *operators) changeServices(ctx context.Context) {
	services := o.run.options.Shape.KeyedServices()
	for turn := 0; ctx.Err() == nil; turn++ {
		o.race(ctx, o.service(services[turn%len(services)]), turn)
		select {
		case <-ctx.Done():
		case <-time.After(changeInterval):
		}
	}
	o.pending.Wait()
	o.checkFinalState()
}

func (o *operators) service(name string) shape.Service {
	for _, service := range o.run.options.Shape.Services {
		if service.Name == name {
			return service
		}
	}
	return shape.Service{}
}

// race lets two operators change a service, both from the same revision.
func (o *operators) race(ctx context.Context, service shape.Service, turn int) {
	var current adminapi.Service
	if o.doRequest(ctx, adminapi.Request{Method: http.MethodGet, Path: adminapi.PathServices + "/" + service.Name}, &current) != nil {
		return
	}
	var racers sync.WaitGroup
	won := make([]bool, 2)
	for operator := range won {
		racers.Add(1)
		go func() {
			defer racers.Done()
			won[operator] = o.change(ctx, &current, turn, operator)
		}()
	}
	racers.Wait()
	if won[0] && won[1] {
		o.mutex.Lock()
		o.racesWonTwice++
		o.mutex.Unlock()
	}
}

// change sends one operator's command and reports whether it was accepted.
func (o *operators) change(ctx context.Context, current *adminapi.Service, turn, operator int) bool {
	value := fmt.Sprintf("%dms", 2000+turn*2+operator)
	request := adminapi.Request{
		Method: http.MethodPatch, Path: adminapi.PathServices + "/" + current.Name,
		Query:     url.Values{"revision": {strconv.FormatUint(current.Revision, 10)}},
		Body:      adminapi.UpdateServiceRequest{Values: map[string]string{"timeout": value}},
		CommandID: fmt.Sprintf("race-%d-%d-%d", o.run.options.Seed, turn, operator),
	}
	var answer adminapi.ChangeResult
	err := o.doRequest(ctx, request, &answer)
	var adminError *adminapi.Error
	if errors.As(err, &adminError) && adminError.Code == "conflict" {
		o.mutex.Lock()
		o.conflicts++
		o.mutex.Unlock()
		return false
	}
	if err != nil {
		return false
	}
	o.recordAcknowledged(current, value, answer.Revision, request)
	return true
}

func (o *operators) recordAcknowledged(current *adminapi.Service, value string, revision uint64, request adminapi.Request) {
	accepted := clock.Now()
	o.mutex.Lock()
	if revision > o.latest[current.Name].revision {
		o.latest[current.Name] = ackedValue{revision, value}
	}
	o.mutex.Unlock()
	o.pending.Add(1)
	go func() {
		defer o.pending.Done()
		inForce := o.awaitInForce(current.Spec.Match.PathPrefix, revision)
		o.mutex.Lock()
		o.changes = append(o.changes, judge.Change{
			Service: current.Name, Prefix: current.Spec.Match.PathPrefix, Revision: revision, Accepted: accepted, InForce: inForce,
		})
		o.mutex.Unlock()
		o.resend(request, revision)
	}()
}

// resend repeats an acknowledged command, as an operator does whose answer was
// lost. The answer must have the same revision as the first one.
func (o *operators) resend(request adminapi.Request, revision uint64) {
	var repeated adminapi.ChangeResult
	err := o.doRequest(context.Background(), request, &repeated)
	var adminError *adminapi.Error
	if err != nil && !errors.As(err, &adminError) {
		return
	}
	if err != nil || repeated.Revision != revision {
		o.recordLostChange("command %s was answered with revision %d first, then with %d, %v", request.CommandID, revision, repeated.Revision, err)
	}
}

func (o *operators) recordLostChange(format string, arguments ...any) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lostChanges = append(o.lostChanges, fmt.Sprintf(format, arguments...))
}

// doRequest sends a request to one member after the other until one of them accepts it or rejects it with
// a status below 500. It gives up after requestTimeout; the end of ctx does not stop it.
func (o *operators) doRequest(ctx context.Context, request adminapi.Request, answer any) error {
	deadline := time.Now().Add(requestTimeout)
	for {
		var lastError error
		for _, member := range o.run.fleet.Members {
			if member.PID() == 0 {
				continue
			}
			client := adminapi.NewClient([]string{member.Field("admin")}, "", adminTimeout)
			lastError = client.Do(request, answer)
			var adminError *adminapi.Error
			if lastError == nil || errors.As(lastError, &adminError) && adminError.Status < http.StatusInternalServerError {
				return lastError
			}
		}
		if time.Now().After(deadline) {
			return errors.Join(errNoAnswer, lastError)
		}
		time.Sleep(changeInterval / 10)
	}
}

var errNoAnswer = errors.New("no member gave an answer in time")

// awaitInForce waits until every router either serves requests under at least the given
// revision or serves none. It returns the time at which that was observed, or 0 on a timeout.
func (o *operators) awaitInForce(prefix string, revision uint64) time.Duration {
	deadline := time.Now().Add(inForceTimeout)
	unconfirmed := make([]*prober, 0, len(o.run.fleet.Routers))
	for _, router := range o.run.fleet.Routers {
		unconfirmed = append(unconfirmed, newProber(router.Callers.Dial))
	}
	for time.Now().Before(deadline) {
		stillUnconfirmed := unconfirmed[:0]
		for _, probe := range unconfirmed {
			if !probe.inForce(prefix, revision) {
				stillUnconfirmed = append(stillUnconfirmed, probe)
			}
		}
		if len(stillUnconfirmed) == 0 {
			return clock.Now()
		}
		unconfirmed = stillUnconfirmed
		time.Sleep(probeInterval)
	}
	return 0
}

// prober requests a path without a key from a router. The router rejects the
// request and names the revision that it used.
type prober struct{ client *upstream.Client }

func newProber(dial func() (net.Conn, error)) *prober {
	client := upstream.NewClient(probeTimeout/2, 0)
	return &prober{client: client.WithDial(func(string, time.Duration) (net.Conn, error) { return dial() })}
}

func (p *prober) inForce(prefix string, revision uint64) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://fleet" + prefix)
	if p.client.Do("router", request, response, probeTimeout) != nil {
		// A router that does not answer does not serve requests under an old revision.
		// If it does so later, the results of its callers show it.
		return true
	}
	if string(response.Header.Peek(wire.HeaderReason)) == reasonNotCurrent {
		return true
	}
	usedRevision, _ := strconv.ParseUint(string(response.Header.Peek(wire.HeaderRevision)), 10, 64)
	return usedRevision >= revision
}

// reasonNotCurrent is part of the callers' interface; see docs/CALLERS.md.
const reasonNotCurrent = "not-current"

// checkFinalState compares the final configuration with the acknowledged changes.
func (o *operators) checkFinalState() {
	for name, want := range o.latest {
		var service adminapi.Service
		if err := o.doRequest(context.Background(), adminapi.Request{Method: http.MethodGet, Path: adminapi.PathServices + "/" + name}, &service); err != nil {
			o.recordLostChange("service %s cannot be read at the end: %v", name, err)
			continue
		}
		if service.Revision < want.revision || service.Revision == want.revision && service.Values["timeout"] != want.value {
			o.recordLostChange("service %s: timeout %s was acknowledged at revision %d; at the end it is %s at revision %d", name, want.value, want.revision, service.Values["timeout"], service.Revision)
		}
	}
}
