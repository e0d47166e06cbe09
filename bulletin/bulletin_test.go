package bulletin

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

func newBoard() *Board { return New("node-1", zap.NewNop(), metrics.New()) }

// identityOf returns the identity of a request with a name and a caller.
func identityOf(name, caller string) quarantine.Identity {
	request := quarantine.Request{Method: []byte("GET"), Target: []byte(name), Caller: [][]byte{[]byte(caller)}}
	identity, _ := request.Identity(nil)
	return identity
}

// crashReport returns the report of an instance that crashed while it ran a request.
func crashReport(instance string, identity quarantine.Identity) fleet.Report {
	return fleet.Report{Ended: &quarantine.CrashReport{Service: "numbers", Instance: instance, Node: "node-1", Runs: []quarantine.Run{{Identity: identity}}}}
}

// rowOf returns control's record of a request with a number of crashes.
func rowOf(digest quarantine.Digest, opened uint64, ends int, quarantined bool) quarantine.PublishedRecord {
	return quarantine.PublishedRecord{Digest: digest, Opened: opened, Crashes: ends, Quarantined: quarantined}
}

func TestStandingIsWhatIsToldAndWhatWaits(t *testing.T) {
	crashing, other := identityOf("deadly", "a"), identityOf("other", "a")
	for name, c := range map[string]struct {
		setup       func(*Board)
		ends        int
		quarantined bool
	}{
		"nothing is known": {func(*Board) {}, 0, false},
		"another request": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(other.Any, 1, 3, true)}, false)
		}, 0, false},
		"told by control": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 1, 2, false), rowOf(crashing.PerCaller, 1, 2, false)}, false)
		}, 2, false},
		"quarantined for this caller": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.PerCaller, 1, 3, true)}, false)
		}, 3, true},
		"quarantined for another caller": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(identityOf("deadly", "b").PerCaller, 1, 3, true)}, false)
		}, 0, false},
		"seen here, and not taken yet": {func(b *Board) { b.Tell(crashReport("i-1", crashing)) }, 1, false},
		"seen here and elsewhere": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 1, 1, false)}, false)
			b.Tell(crashReport("i-1", crashing))
		}, 2, false},
		"taken, and not told yet": {func(b *Board) {
			b.Tell(crashReport("i-1", crashing))
			_, through := b.Pending(1)
			b.Taken(through)
		}, 0, false},
		"seen here alone until it is certain": {func(b *Board) {
			for n := range quarantine.CrashesAlwaysQuarantined {
				b.Tell(crashReport(fmt.Sprint("i-", n), crashing))
			}
		}, quarantine.CrashesAlwaysQuarantined, true},
		"some seen here, the others told": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 1, 2, false)}, false)
			for n := range quarantine.CrashesAlwaysQuarantined - 2 {
				b.Tell(crashReport(fmt.Sprint("i-", n), crashing))
			}
		}, quarantine.CrashesAlwaysQuarantined, true},
		"survived here": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 1, 2, false), rowOf(crashing.PerCaller, 1, 2, false)}, false)
			b.Survived(crashing)
		}, 0, false},
		"survived before, and suspected again": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 1, 2, false)}, false)
			b.Survived(crashing)
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 9, 1, false)}, false)
			_, through := b.Pending(maxPending)
			b.Taken(through)
		}, 1, false},
		"survived, not taken yet, and suspected again": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 1, 2, false)}, false)
			b.reportSurvived(crashing.Any)
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 9, 1, false)}, false)
		}, 1, false},
		"released": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 1, 3, true)}, false)
			b.Apply([]quarantine.PublishedRecord{{Digest: crashing.Any, Removed: true}}, false)
		}, 0, false},
		"not in a whole list": {func(b *Board) {
			b.Apply([]quarantine.PublishedRecord{rowOf(crashing.Any, 1, 3, true)}, false)
			b.Apply(nil, true)
		}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBoard()
			c.setup(b)
			standing := b.Standing(crashing)
			is.Equal(standing.Ends, c.ends)
			is.Equal(standing.Quarantined, c.quarantined)
			is.Equal(b.Standing(quarantine.Identity{}), Standing{}) // a request without an identity
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
	b := newBoard()
	popular, rare := identityOf("popular", "a"), identityOf("rare", "a")
	b.Survived(popular)
	is.Equal(b.Suspects(popular), quarantine.Identity{})
	is.Equal(b.Suspects(rare), rare)
	// Another caller's run does not clear this caller's own digest.
	is.Equal(b.Suspects(identityOf("popular", "b")), quarantine.Identity{PerCaller: identityOf("popular", "b").PerCaller})

	b.Apply([]quarantine.PublishedRecord{rowOf(popular.Any, 4, 1, false), rowOf(rare.Any, 4, 1, false)}, false)
	reports, _ := b.Pending(maxPending)
	is.Equal(len(reports), 1)
	is.Equal(*reports[0].Survived, quarantine.SuccessReport{Digest: popular.Any, Opened: 4, Node: "node-1"})
	b.Survived(popular) // already reported
	reports, _ = b.Pending(maxPending)
	is.Equal(len(reports), 1)
}

func TestReportsWaitUntilTheyAreTaken(t *testing.T) {
	is := is.New(t)
	b := newBoard()
	for n := range 3 {
		b.Tell(crashReport(fmt.Sprint("i-", n), identityOf("deadly", "a")))
	}
	first, through := b.Pending(2)
	is.Equal(len(first), 2)
	again, _ := b.Pending(2)
	is.Equal(again, first)
	b.Taken(through)
	b.Taken(through) // a duplicate acknowledgement
	left, _ := b.Pending(2)
	is.Equal(len(left), 1)
	is.Equal(left[0].Ended.Instance, "i-2")
}

// While control is unreachable the newest reports are kept, and a late acknowledgement of older
// reports must not acknowledge newer ones.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBoard()
	for n := range maxPending {
		b.Tell(crashReport(fmt.Sprint("i-", n), identityOf(fmt.Sprint(n), "a")))
	}
	_, through := b.Pending(1)
	for n := range 10 {
		b.Tell(crashReport(fmt.Sprint("j-", n), identityOf(fmt.Sprint("j", n), "a")))
	}
	b.Taken(through)
	left, _ := b.Pending(2 * maxPending)
	is.Equal(len(left), maxPending)
	is.Equal(left[0].Ended.Instance, "i-10")
}

func BenchmarkStanding(b *testing.B) {
	for name, records := range map[string]int{"quiet day": 0, "a thousand suspects": 1000} {
		b.Run(name, func(b *testing.B) {
			board := newBoard()
			var rows []quarantine.PublishedRecord
			for n := range records {
				rows = append(rows, rowOf(identityOf(fmt.Sprint(n), "a").Any, 1, 1, false))
			}
			board.Apply(rows, true)
			request := identityOf("usual", "a")
			b.ReportAllocs()
			for b.Loop() {
				board.Standing(request)
			}
		})
	}
}

func BenchmarkSurvived(b *testing.B) {
	board, request := newBoard(), identityOf("usual", "a")
	b.ReportAllocs()
	for b.Loop() {
		board.Survived(request)
	}
}
