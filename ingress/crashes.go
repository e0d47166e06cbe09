package ingress

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/crashreport"
	"limehold/fleet"
	"limehold/incarnation"
	"limehold/quarantine"
)

// crashRecord records the requests that were in flight when an instance crashed: one of them may be the
// cause of the crash.
type crashRecord struct {
	mutex sync.Mutex
	// broken are the requests whose connections broke recently, oldest first.
	broken []brokenRequest
	// recorded are the texts of the incarnations whose crashes have been recorded, oldest first.
	recorded []string
}

// brokenRequest is a request that was sent to an instance and whose connection broke before the
// whole response was received.
type brokenRequest struct {
	// instance is the state of the instance when the request was sent to it.
	instance instanceState
	run      quarantine.Run
	brokeAt  time.Duration
}

const (
	// crashWindow bounds the time from the end of a process, when all its connections break, to the
	// detection of the crash, which takes crashRefusals refused connections.
	crashWindow = time.Second
	// maxBroken bounds the recorded requests: an instance runs some twenty and queues as many.
	maxBroken = 64
	// maxRecorded bounds the recorded crashes. They have to be remembered for crashWindow, within
	// which the connections of one crash break.
	maxRecorded = 16
	// crashRefusals connections refused in a row, crashCheckInterval apart, show after a connection
	// broke that the instance has crashed. Fewer are required than endedRefusals, as the keys of the
	// instance are not affected.
	crashRefusals      = 2
	crashCheckInterval = 25 * time.Millisecond
	// listenCheckTimeout is the timeout for a connection that checks whether anything listens at the
	// instance's address, on the same machine.
	listenCheckTimeout = 20 * time.Millisecond
)

// add records a request whose connection broke.
func (c *crashRecord) add(request brokenRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.broken) >= maxBroken {
		c.broken = append(c.broken[:0], c.broken[1:]...)
	}
	c.broken = append(c.broken, request)
}

// hasBroken reports whether connections to an incarnation, given by its text, broke within crashWindow
// and have not been taken by takeBroken yet.
func (c *crashRecord) hasBroken(instance string, now time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, request := range c.broken {
		if request.instance.from().String() == instance && now-request.brokeAt <= crashWindow {
			return true
		}
	}
	return false
}

// takeBroken returns the requests whose connections to an incarnation, given by its text, broke within
// crashWindow, and empties the record, including the requests of other incarnations. first reports
// that the crash had not been recorded before.
func (c *crashRecord) takeBroken(instance string, now time.Duration) (taken []brokenRequest, first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, request := range c.broken {
		if request.instance.from().String() == instance && now-request.brokeAt <= crashWindow {
			taken = append(taken, request)
		}
	}
	c.broken = nil
	if slices.Contains(c.recorded, instance) {
		return taken, false
	}
	if len(c.recorded) >= maxRecorded {
		c.recorded = append(c.recorded[:0], c.recorded[1:]...)
	}
	c.recorded = append(c.recorded, instance)
	return taken, true
}

// recordBroken records that the connection to the instance broke during a request, and triggers a
// check of whether the instance has crashed.
func (i *Ingress) recordBroken(p *proxyRequest) {
	i.instance.recordBroken(brokenRequest{instance: p.instance, run: quarantine.Run{Identity: p.identity, Sample: crashreport.Sample(p.outgoing)}, brokeAt: clock.Now()})
}

// recordBroken records a request whose connection broke. If another incarnation is the current one by
// then, the one that ran the request counts as ended; otherwise a check of the instance is requested.
func (i *Instance) recordBroken(request brokenRequest) {
	i.crashes.add(request)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.current.From() != request.instance.from() {
		i.recordEnd(request.instance.from(), causeSuperseded)
		return
	}
	i.requestCheck()
}

// instanceRefusesConnections reports whether the instance's address refuses a connection.
func (i *Ingress) instanceRefusesConnections() bool {
	conn, err := net.DialTimeout("tcp", i.options.Settings.Ingress.Instance, listenCheckTimeout)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// detectCrash checks, after connections broke, whether their instance has crashed, and if so records that.
func (i *Instance) detectCrash(ctx context.Context, checked incarnation.ID) {
	for refused := 0; refused < crashRefusals; refused++ {
		conn, err := net.DialTimeout("tcp", i.options.Settings.Ingress.Instance, dialTimeout)
		if err == nil {
			conn.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(crashCheckInterval):
		}
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.current.From() == checked {
		i.recordEnd(checked, causeNotListening)
	}
}

// recordEnd records the crash of an incarnation. It does nothing if the incarnation has departed or is
// draining: its end is then no crash, and its requests do not become suspects. The mutex is held.
func (i *Instance) recordEnd(ended incarnation.ID, cause string) {
	if i.departed.Has(ended) || i.current.From() == ended && i.drainingSince != 0 {
		return
	}
	broken, first := i.crashes.takeBroken(ended.String(), clock.Now())
	if !first && len(broken) == 0 {
		return
	}
	end := quarantine.CrashReport{Service: i.current.Service, Instance: ended.String(), Node: i.options.Settings.Name, Version: i.current.Version}
	var identities []string
	for _, request := range broken {
		end.Service, end.Version = request.instance.service, request.instance.version
		identities = append(identities, request.run.Identity.String())
		request.run.Identity = i.crashReports.WithoutRecentRuns(request.run.Identity)
		if request.run.Identity.Known() {
			end.Runs = append(end.Runs, request.run)
		}
	}
	if first {
		i.crashCount.WithLabelValues(cause).Inc()
	}
	i.logger.Warn("instance_ended", zap.Stringer("instance", ended), zap.String("cause", cause), zap.Int("runs", len(broken)), zap.Int("suspects", len(end.Runs)), zap.String("identities", strings.Join(identities, ",")))
	if i.current.Service != "" {
		i.crashReports.Report(fleet.Report{Crash: &end})
	}
}

// Causes that are logged and counted for a crash: how it was detected.
const (
	causeNotListening = "nobody listens at its address"
	causeSuperseded   = "another start"
)
