package crashreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/fleet"
	"limehold/metrics"
	"limehold/quarantine"
)

func newExchange() *Exchange { return New("node-1", zap.NewNop(), metrics.New()) }

// identityOf returns the identity of a request with a name and a caller.
func identityOf(name, caller string) quarantine.Identity {
	request := quarantine.Request{Method: []byte("GET"), Target: []byte(name), Caller: [][]byte{[]byte(caller)}}
	identity, _ := request.Identity(nil)
	return identity
}

// crashReport returns the report of an instance that crashed while it ran a request.
func crashReport(instance string, identity quarantine.Identity) fleet.Report {
	return fleet.Report{Crash: &quarantine.CrashReport{Service: "numbers", Instance: instance, Node: "node-1", Runs: []quarantine.Run{{Identity: identity}}}}
}

// viewOf returns control's record of a request with a number of crashes.
func viewOf(digest quarantine.Digest, opened uint64, crashes int, quarantined bool) quarantine.View {
	return quarantine.View{Digest: digest, Opened: opened, Crashes: crashes, Quarantined: quarantined}
}

func TestStandingIsWhatIsToldAndWhatWaits(t *testing.T) {
	crashing, other := identityOf("deadly", "a"), identityOf("other", "a")
	for name, c := range map[string]struct {
		setup       func(*Exchange)
		ends        int
		quarantined bool
	}{
		"nothing is known": {func(*Exchange) {}, 0, false},
		"another request": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(other.Any, 1, 3, true)}, false)
		}, 0, false},
		"told by control": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.Any, 1, 2, false), viewOf(crashing.PerCaller, 1, 2, false)}, false)
		}, 2, false},
		"quarantined for this caller": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.PerCaller, 1, 3, true)}, false)
		}, 3, true},
		"quarantined for another caller": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(identityOf("deadly", "b").PerCaller, 1, 3, true)}, false)
		}, 0, false},
		"seen here, and not taken yet": {func(b *Exchange) { b.Report(crashReport("i-1", crashing)) }, 1, false},
		"seen here and elsewhere": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.Any, 1, 1, false)}, false)
			b.Report(crashReport("i-1", crashing))
		}, 2, false},
		"taken, and not told yet": {func(b *Exchange) {
			b.Report(crashReport("i-1", crashing))
			_, through := b.Pending(1)
			b.Acknowledge(through)
		}, 0, false},
		"seen here alone until it is certain": {func(b *Exchange) {
			for n := range quarantine.CrashesAlwaysQuarantined {
				b.Report(crashReport(fmt.Sprint("i-", n), crashing))
			}
		}, quarantine.CrashesAlwaysQuarantined, true},
		"some seen here, the others told": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.Any, 1, 2, false)}, false)
			for n := range quarantine.CrashesAlwaysQuarantined - 2 {
				b.Report(crashReport(fmt.Sprint("i-", n), crashing))
			}
		}, quarantine.CrashesAlwaysQuarantined, true},
		"survived here": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.Any, 1, 2, false), viewOf(crashing.PerCaller, 1, 2, false)}, false)
			b.RecordSuccess(crashing)
		}, 0, false},
		"survived before, and suspected again": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.Any, 1, 2, false)}, false)
			b.RecordSuccess(crashing)
			b.Apply([]quarantine.View{viewOf(crashing.Any, 9, 1, false)}, false)
			_, through := b.Pending(maxPending)
			b.Acknowledge(through)
		}, 1, false},
		"survived, not taken yet, and suspected again": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.Any, 1, 2, false)}, false)
			b.reportSuccess(crashing.Any)
			b.Apply([]quarantine.View{viewOf(crashing.Any, 9, 1, false)}, false)
		}, 1, false},
		"released": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.Any, 1, 3, true)}, false)
			b.Apply([]quarantine.View{{Digest: crashing.Any, Removed: true}}, false)
		}, 0, false},
		"not in a whole list": {func(b *Exchange) {
			b.Apply([]quarantine.View{viewOf(crashing.Any, 1, 3, true)}, false)
			b.Apply(nil, true)
		}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newExchange()
			c.setup(b)
			standing := b.CrashHistory(crashing)
			is.Equal(standing.Crashes, c.ends)
			is.Equal(standing.Quarantined, c.quarantined)
			is.Equal(b.CrashHistory(quarantine.Identity{}), CrashHistory{}) // a request without an identity
		})
	}
}

// A completed run must protect a request from suspicion only for a short time.
func TestGoodRunsSpeakForAShortTime(t *testing.T) {
	known := identityOf("popular", "a")
	for name, c := range map[string]struct {
		identity  quarantine.Identity
		later     time.Duration
		contained bool
	}{
		"at once":              {known, 0, true},
		"a little later":       {known, recentRunTTL, true},
		"later":                {known, recentRunTTL + time.Millisecond, false},
		"another request":      {identityOf("rare", "a"), 0, false},
		"an unknown request":   {quarantine.Identity{}, 0, false},
		"another caller's own": {quarantine.Identity{Any: identityOf("rare", "a").Any, PerCaller: identityOf("popular", "b").PerCaller}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			completed := &recentRuns{}
			completed.add(known, time.Minute)
			is.Equal(completed.contains(c.identity.Any, time.Minute+c.later), c.contained)
			is.Equal(completed.contains(c.identity.PerCaller, time.Minute+c.later), c.contained)
		})
	}
}

// A request that has just completed is not suspected here, and is cleared when control suspects it.
func TestWhatHasLatelyRunWellSpeaksForItself(t *testing.T) {
	is := is.New(t)
	b := newExchange()
	popular, rare := identityOf("popular", "a"), identityOf("rare", "a")
	b.RecordSuccess(popular)
	is.Equal(b.WithoutRecentRuns(popular), quarantine.Identity{})
	is.Equal(b.WithoutRecentRuns(rare), rare)
	// Another caller's run does not clear this caller's own digest.
	is.Equal(b.WithoutRecentRuns(identityOf("popular", "b")), quarantine.Identity{PerCaller: identityOf("popular", "b").PerCaller})

	b.Apply([]quarantine.View{viewOf(popular.Any, 4, 1, false), viewOf(rare.Any, 4, 1, false)}, false)
	reports, _ := b.Pending(maxPending)
	is.Equal(len(reports), 1)
	is.Equal(*reports[0].Success, quarantine.SuccessReport{Digest: popular.Any, Opened: 4, Node: "node-1"})
	b.RecordSuccess(popular) // already reported
	reports, _ = b.Pending(maxPending)
	is.Equal(len(reports), 1)
}

func TestReportsWaitUntilTheyAreTaken(t *testing.T) {
	is := is.New(t)
	b := newExchange()
	for n := range 3 {
		b.Report(crashReport(fmt.Sprint("i-", n), identityOf("deadly", "a")))
	}
	first, through := b.Pending(2)
	is.Equal(len(first), 2)
	again, _ := b.Pending(2)
	is.Equal(again, first)
	b.Acknowledge(through)
	b.Acknowledge(through) // a duplicate acknowledgement
	left, _ := b.Pending(2)
	is.Equal(len(left), 1)
	is.Equal(left[0].Crash.Instance, "i-2")
}

// While control is unreachable the newest reports are kept, and a late acknowledgement of older
// reports must not acknowledge newer ones.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newExchange()
	for n := range maxPending {
		b.Report(crashReport(fmt.Sprint("i-", n), identityOf(fmt.Sprint(n), "a")))
	}
	_, through := b.Pending(1)
	for n := range 10 {
		b.Report(crashReport(fmt.Sprint("j-", n), identityOf(fmt.Sprint("j", n), "a")))
	}
	b.Acknowledge(through)
	left, _ := b.Pending(2 * maxPending)
	is.Equal(len(left), maxPending)
	is.Equal(left[0].Crash.Instance, "i-10")
}

func BenchmarkStanding(b *testing.B) {
	for name, records := range map[string]int{"quiet day": 0, "a thousand suspects": 1000} {
		b.Run(name, func(b *testing.B) {
			exchange := newExchange()
			var views []quarantine.View
			for n := range records {
				views = append(views, viewOf(identityOf(fmt.Sprint(n), "a").Any, 1, 1, false))
			}
			exchange.Apply(views, true)
			request := identityOf("usual", "a")
			b.ReportAllocs()
			for b.Loop() {
				exchange.CrashHistory(request)
			}
		})
	}
}

func BenchmarkSurvived(b *testing.B) {
	exchange, request := newExchange(), identityOf("usual", "a")
	b.ReportAllocs()
	for b.Loop() {
		exchange.RecordSuccess(request)
	}
}
