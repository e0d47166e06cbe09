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

// asked is the identity of a request by its name, made by a caller.
func asked(name, caller string) quarantine.Identity {
	request := quarantine.Request{Method: []byte("GET"), Target: []byte(name), Caller: [][]byte{[]byte(caller)}}
	identity, _ := request.Identity(nil)
	return identity
}

// ended is the report of an end of an instance that was running a request.
func ended(instance string, identity quarantine.Identity) fleet.Report {
	return fleet.Report{Ended: &quarantine.End{Service: "numbers", Instance: instance, Node: "node-1", Runs: []quarantine.Run{{Identity: identity}}}}
}

// toldOf is the row of a request that has been in a number of ends.
func toldOf(digest quarantine.Digest, opened uint64, ends int, quarantined bool) quarantine.Row {
	return quarantine.Row{Digest: digest, Opened: opened, Ends: ends, Quarantined: quarantined}
}

func TestStandingIsWhatIsToldAndWhatWaits(t *testing.T) {
	deadly, other := asked("deadly", "a"), asked("other", "a")
	for name, c := range map[string]struct {
		story       func(*Board)
		ends        int
		quarantined bool
	}{
		"nothing is known": {func(*Board) {}, 0, false},
		"another request": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(other.Any, 1, 3, true)}, false)
		}, 0, false},
		"told by control": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 1, 2, false), toldOf(deadly.Own, 1, 2, false)}, false)
		}, 2, false},
		"quarantined for this caller": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Own, 1, 3, true)}, false)
		}, 3, true},
		"quarantined for another caller": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(asked("deadly", "b").Own, 1, 3, true)}, false)
		}, 0, false},
		"seen here, and not taken yet": {func(b *Board) { b.Tell(ended("i-1", deadly)) }, 1, false},
		"seen here and elsewhere": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 1, 1, false)}, false)
			b.Tell(ended("i-1", deadly))
		}, 2, false},
		"taken, and not told yet": {func(b *Board) {
			b.Tell(ended("i-1", deadly))
			_, through := b.Pending(1)
			b.Taken(through)
		}, 0, false},
		"seen here alone until it is certain": {func(b *Board) {
			for n := range quarantine.MostEnds {
				b.Tell(ended(fmt.Sprint("i-", n), deadly))
			}
		}, quarantine.MostEnds, true},
		"some seen here, the others told": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 1, 2, false)}, false)
			for n := range quarantine.MostEnds - 2 {
				b.Tell(ended(fmt.Sprint("i-", n), deadly))
			}
		}, quarantine.MostEnds, true},
		"survived here": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 1, 2, false), toldOf(deadly.Own, 1, 2, false)}, false)
			b.Survived(deadly)
		}, 0, false},
		"survived before, and suspected again": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 1, 2, false)}, false)
			b.Survived(deadly)
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 9, 1, false)}, false)
			_, through := b.Pending(maxPending)
			b.Taken(through)
		}, 1, false},
		"survived, not taken yet, and suspected again": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 1, 2, false)}, false)
			b.clear(deadly.Any)
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 9, 1, false)}, false)
		}, 1, false},
		"released": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 1, 3, true)}, false)
			b.Apply([]quarantine.Row{{Digest: deadly.Any, Gone: true}}, false)
		}, 0, false},
		"not in a whole list": {func(b *Board) {
			b.Apply([]quarantine.Row{toldOf(deadly.Any, 1, 3, true)}, false)
			b.Apply(nil, true)
		}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBoard()
			c.story(b)
			standing := b.Standing(deadly)
			is.Equal(standing.Ends, c.ends)
			is.Equal(standing.Quarantined, c.quarantined)
			is.Equal(b.Standing(quarantine.Identity{}), Standing{}) // a request that cannot be recognised
		})
	}
}

// A good run speaks for a request for a short time: one that has turned deadly has none.
func TestGoodRunsSpeakForAShortTime(t *testing.T) {
	known := asked("popular", "a")
	for name, c := range map[string]struct {
		identity quarantine.Identity
		later    time.Duration
		lately   bool
	}{
		"at once":              {known, 0, true},
		"a little later":       {known, wellFor, true},
		"later":                {known, wellFor + time.Millisecond, false},
		"another request":      {asked("rare", "a"), 0, false},
		"an unknown request":   {quarantine.Identity{}, 0, false},
		"another caller's own": {quarantine.Identity{Any: asked("rare", "a").Any, Own: asked("popular", "b").Own}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			well := &wellRuns{}
			well.note(known, time.Minute)
			is.Equal(well.lately(c.identity.Any, time.Minute+c.later), c.lately)
			is.Equal(well.lately(c.identity.Own, time.Minute+c.later), c.lately)
		})
	}
}

// What has just run well is not suspected here, and is cleared when others come to suspect it.
func TestWhatHasLatelyRunWellSpeaksForItself(t *testing.T) {
	is := is.New(t)
	b := newBoard()
	popular, rare := asked("popular", "a"), asked("rare", "a")
	b.Survived(popular)
	is.Equal(b.Suspects(popular), quarantine.Identity{})
	is.Equal(b.Suspects(rare), rare)
	// Another caller's run says nothing of this one's own.
	is.Equal(b.Suspects(asked("popular", "b")), quarantine.Identity{Own: asked("popular", "b").Own})

	b.Apply([]quarantine.Row{toldOf(popular.Any, 4, 1, false), toldOf(rare.Any, 4, 1, false)}, false)
	reports, _ := b.Pending(maxPending)
	is.Equal(len(reports), 1)
	is.Equal(*reports[0].Survived, quarantine.Survived{Digest: popular.Any, Opened: 4, Node: "node-1"})
	b.Survived(popular) // it is told already
	reports, _ = b.Pending(maxPending)
	is.Equal(len(reports), 1)
}

func TestReportsWaitUntilTheyAreTaken(t *testing.T) {
	is := is.New(t)
	b := newBoard()
	for n := range 3 {
		b.Tell(ended(fmt.Sprint("i-", n), asked("deadly", "a")))
	}
	first, through := b.Pending(2)
	is.Equal(len(first), 2)
	again, _ := b.Pending(2)
	is.Equal(again, first)
	b.Taken(through)
	b.Taken(through) // an answer that comes twice
	left, _ := b.Pending(2)
	is.Equal(len(left), 1)
	is.Equal(left[0].Ended.Instance, "i-2")
}

// While control takes nothing the newest reports are kept, and a late answer to an older message
// acknowledges only what it was about.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBoard()
	for n := range maxPending {
		b.Tell(ended(fmt.Sprint("i-", n), asked(fmt.Sprint(n), "a")))
	}
	_, through := b.Pending(1)
	for n := range 10 {
		b.Tell(ended(fmt.Sprint("j-", n), asked(fmt.Sprint("j", n), "a")))
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
			var rows []quarantine.Row
			for n := range records {
				rows = append(rows, toldOf(asked(fmt.Sprint(n), "a").Any, 1, 1, false))
			}
			board.Apply(rows, true)
			request := asked("usual", "a")
			b.ReportAllocs()
			for b.Loop() {
				board.Standing(request)
			}
		})
	}
}

func BenchmarkSurvived(b *testing.B) {
	board, request := newBoard(), asked("usual", "a")
	b.ReportAllocs()
	for b.Loop() {
		board.Survived(request)
	}
}
