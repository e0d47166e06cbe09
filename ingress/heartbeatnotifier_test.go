package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/ledger"
	"limehold/metrics"
	"limehold/settings"
	"limehold/wire"
)

// newHeartbeatInstance returns an instance with a lease that is notified of its keys by heartbeat.
func newHeartbeatInstance(t *testing.T, wait time.Duration) *Instance {
	t.Helper()
	config := settings.Default()
	config.Ingress.GrantBy, config.Ingress.HeartbeatWait = settings.GrantByHeartbeat, wait
	instance := newInstance(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()}, newSlotGate(config.Ingress.QueueTime))
	if err := instance.Lease(1, clock.Now()+30*time.Second); err != nil {
		t.Fatal(err)
	}
	return instance
}

func (i *Instance) heartbeat(sequence uint64, holds ...limehold.KeyRange) ledger.Answer {
	return i.Heartbeat(Announcement{ID: "i-1", Service: "numbers", Slots: 2, Sequence: sequence}, holds, nil)
}

func grantList(incarnation string, revision, epoch uint64, shards ...uint32) *wire.BackendGrants {
	return &wire.BackendGrants{Session: 1, Revision: revision, Incarnation: incarnation, Grants: listOf(epoch, shards...)}
}

// A waiting answer is sent as soon as there is a change.
func TestAnswerWaitsForSomethingToTell(t *testing.T) {
	is := is.New(t)
	i := newHeartbeatInstance(t, 30*time.Second)
	answered := make(chan ledger.Answer, 1)
	go func() { answered <- i.heartbeat(1) }()
	for _, known := i.CurrentIncarnation(clock.Now()); !known; _, known = i.CurrentIncarnation(clock.Now()) {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(i.Grants(grantList("i-1", 5, 3, 0, 1)))
	answer := <-answered
	is.True(answer.Renews)
	is.Equal(answer.Rows, []ledger.Row{{KeyRange: rangeOf(0, 1, 3)}})
	is.True(i.keys.holds(shardKey(1), 3, clock.Now()))
}

// Guards against a stop that waits for an answer which waits for a change of the keys.
func TestWaitingAnswerIsSentWhenTheIngressStops(t *testing.T) {
	const endTimeout = 10 * time.Second
	is := is.New(t)
	i := newHeartbeatInstance(t, 3*endTimeout)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	is.NoErr(i.Grants(grantList("", 5, 3)))
	answered := make(chan ledger.Answer, 1)
	go func() { answered <- i.heartbeat(1) }()
	for _, known := i.CurrentIncarnation(clock.Now()); !known; _, known = i.CurrentIncarnation(clock.Now()) {
		time.Sleep(time.Millisecond)
	}
	stop()
	is.NoErr(<-ended)
	select {
	case <-answered:
	case <-time.After(endTimeout):
		t.Fatal("the answer waits on")
	}
}

// An unknown list, or one for another incarnation, must not be applied: an answer without its rows
// would take the instance's keys away.
func TestListsThatSayNothingAreNotTaken(t *testing.T) {
	for name, list := range map[string]*wire.BackendGrants{
		"before the first list": grantList("i-1", 0, 0),
		"for another start":     grantList("i-0", 9, 3, 7),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.heartbeat(1)
			is.NoErr(i.Grants(list))
			is.Equal(i.heartbeat(2, rangeOf(0, 1, 3)).Renews, false)
		})
	}
}

// If a newer heartbeat overtakes one whose answer waits, the older answer must not contain keys.
func TestOvertakenHeartbeatSaysNothing(t *testing.T) {
	is := is.New(t)
	i := newHeartbeatInstance(t, 30*time.Second)
	i.Announce(Announcement{ID: "i-1", Service: "numbers", Slots: 2, Sequence: 1})
	is.NoErr(i.Grants(grantList("i-1", 5, 3, 0)))
	is.True(i.heartbeat(2).Renews)
	overtaken := make(chan ledger.Answer, 1)
	go func() { overtaken <- i.heartbeat(3, rangeOf(0, 0, 3)) }()
	for {
		i.keys.mutex.Lock()
		seen := i.keys.ledger.Pending(3, clock.Now())
		i.keys.mutex.Unlock()
		if !seen {
			break // the ledger has processed heartbeat 3, whose answer waits
		}
		time.Sleep(time.Millisecond)
	}
	i.Heartbeat(Announcement{ID: "i-1", Service: "numbers", Slots: 2, Draining: true, Sequence: 4}, []limehold.KeyRange{rangeOf(0, 0, 3)}, nil)
	is.Equal((<-overtaken).Renews, false)
}

// The token of keys that the instance has released reaches control.
func TestLetGoByHeartbeatCarriesTheToken(t *testing.T) {
	is := is.New(t)
	i := newHeartbeatInstance(t, 0)
	i.heartbeat(1)
	is.NoErr(i.Grants(grantList("i-1", 5, 3, 0, 1)))
	i.heartbeat(2)
	i.heartbeat(3, rangeOf(0, 1, 3))
	released := make(chan string, 1)
	go func() {
		for {
			if done, _ := i.Release(1, listOf(3, 1)); len(done) > 0 {
				released <- done[0].Token
				return
			}
		}
	}()
	for sequence := uint64(4); ; sequence++ {
		answer := i.heartbeat(sequence, rangeOf(0, 1, 3))
		if len(answer.Rows) == 1 && answer.Rows[0].KeyRange == rangeOf(0, 0, 3) {
			freed := rangeOf(1, 1, 3)
			i.Heartbeat(Announcement{ID: "i-1", Service: "numbers", Slots: 2, Sequence: sequence + 1}, []limehold.KeyRange{rangeOf(0, 0, 3)},
				[]ledger.ReleasedRange{{First: freed.First, Last: freed.Last, Token: "state"}})
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.Equal(<-released, "state")
}

// A request for a key that the instance is about to be granted waits for the heartbeat if that is due in
// time. Otherwise it is rejected at once, with the time until the heartbeat.
func TestRequestForAKeyInItsGap(t *testing.T) {
	for name, c := range map[string]struct {
		interval, maxWait  time.Duration
		granted, mustRetry bool
	}{
		"the heartbeat is due in time":  {time.Millisecond, 30 * time.Second, true, false},
		"the heartbeat is due too late": {time.Hour, 30 * time.Second, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.keys.heartbeatInterval = c.interval
			i.heartbeat(1)
			is.NoErr(i.Grants(grantList("i-1", 5, 3, 0)))
			is.True(i.keys.expectsKey(shardKey(0), 3))
			is.Equal(i.keys.expectsKey(shardKey(0), 4), false) // under another epoch
			if c.granted {
				go i.heartbeat(2)
			}
			retryAfter := i.keys.awaitKey(shardKey(0), 3, c.maxWait, nil)
			is.Equal(retryAfter > c.maxWait, c.mustRetry)
			is.Equal(i.keys.holds(shardKey(0), 3, clock.Now()), c.granted)
		})
	}
}
