package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold"
	"limehold/ownership"
)

const (
	testShards = 1024
	testHold   = 10 * time.Second
	second     = time.Second
	start      = 100 * time.Second
)

func grantsOf(epoch uint64, token string, shards ...uint32) []Grant {
	var list []Grant
	for _, shard := range shards {
		list = append(list, Grant{Key: ownership.Key{Service: "numbers", Shard: shard}, Epoch: epoch, Token: token})
	}
	return list
}

// keyRange returns the range of keys from the first to the last shard.
func keyRange(first, last uint32, fence uint64) limehold.KeyRange {
	const numbers = ownership.NumberSpace / testShards
	return limehold.KeyRange{First: first * numbers, Last: (last+1)*numbers - 1, Fence: fence}
}

// newTestLedger returns a ledger with a known instance, grants and a lease of 4 s from start.
func newTestLedger(grants ...Grant) *Ledger {
	l := New(Options{Shards: testShards, Hold: testHold, AnswerBytes: 4000})
	l.SetIncarnation("i-1")
	l.SetLease(7, start+4*second)
	l.ReplaceGrants(7, grants, start)
	return l
}

func (l *Ledger) heartbeatAnswer(sequence uint64, now time.Duration, holds ...limehold.KeyRange) Answer {
	if !l.RecordHeartbeat(Report{Instance: l.heartbeat.incarnation, Sequence: sequence, Holds: holds}, now) {
		return Answer{}
	}
	return l.Answer(sequence, now)
}

func TestAnswerNamesAllAndNeverOutlivesTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		received time.Duration
		answered time.Duration
		renews   bool
	}{
		"a fresh lease":                    {start, start, true},
		"most of the lease is over":        {start + 3*second, start + 3*second, true},
		"too little of the lease is left":  {start + 3800*time.Millisecond, start + 3800*time.Millisecond, false},
		"the lease is over":                {start + 5*second, start + 5*second, false},
		"answered too late to be taken":    {start, start + 1100*time.Millisecond, false},
		"answered half a second after all": {start, start + 500*time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLedger(grantsOf(3, "", 0, 1, 2, 9)...)
			is.True(l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 1}, c.received))
			answer := l.Answer(1, c.answered)
			is.Equal(answer.Renews, c.renews)
			if c.renews {
				is.Equal(answer.Rows, []Row{{KeyRange: keyRange(0, 2, 3)}, {KeyRange: keyRange(9, 9, 3)}})
				is.True(c.received+RealHold(answer.Hold) < start+4*second) // however slow its clock
			}
		})
	}
}

// A row that an answer omits is thereby released, so an answer must not omit rows because the list has not
// been received.
func TestNothingIsToldBeforeTheListIsKnown(t *testing.T) {
	is := is.New(t)
	l := New(Options{Shards: testShards, Hold: testHold})
	l.SetIncarnation("i-1")
	l.SetLease(7, start+4*second)
	is.Equal(l.heartbeatAnswer(1, start, keyRange(0, 5, 3)).Renews, false)
	l.ReplaceGrants(7, grantsOf(3, "", 0, 1), start)
	is.True(l.heartbeatAnswer(2, start, keyRange(0, 5, 3)).Renews)
	// The lease of another session does not make this session's list valid for it.
	l.SetLease(9, start+5*second)
	is.Equal(l.heartbeatAnswer(3, start+second, keyRange(0, 1, 3)).Renews, false)
}

func TestOnlyTheNewestHeartbeatIsAnswered(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(grantsOf(3, "", 0)...)
	is.True(l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 4}, start))
	is.Equal(l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 4}, start), false)                                                // duplicate
	is.Equal(l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 3, Holds: []limehold.KeyRange{keyRange(0, 0, 3)}}, start), false) // late
	is.Equal(l.RecordHeartbeat(Report{Instance: "i-0", Sequence: 9}, start), false)                                                // another incarnation
	is.True(l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 5}, start))
	is.Equal(l.Answer(4, start).Renews, false) // overtaken while it waited
	is.True(l.Answer(5, start).Renews)
}

func TestTokenIsToldUntilTheRowIsTaken(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(grantsOf(3, "state", 0, 1)...)
	is.Equal(l.heartbeatAnswer(1, start).Rows, []Row{{KeyRange: keyRange(0, 1, 3), Token: "state"}})
	is.Equal(l.heartbeatAnswer(2, start).Rows, []Row{{KeyRange: keyRange(0, 1, 3), Token: "state"}})
	is.Equal(l.heartbeatAnswer(3, start, keyRange(0, 1, 3)).Rows, []Row{{KeyRange: keyRange(0, 1, 3)}})
}

func TestReleaseIsTheInstancesWordOrTheEndOfTime(t *testing.T) {
	released := ReleasedRange{First: keyRange(1, 1, 3).First, Last: keyRange(1, 1, 3).Last, Token: "state"}
	wanted := []limehold.KeyRange{keyRange(1, 1, 3)}
	held := keyRange(0, 1, 3)
	for name, c := range map[string]struct {
		reports []Report
		at      time.Duration
		free    bool
		token   string
	}{
		"nothing heard since": {nil, start + second, false, ""},
		"still works on it":   {[]Report{{Sequence: 3, Holds: []limehold.KeyRange{held}}}, start + second, false, ""},
		"says so":             {[]Report{{Sequence: 3, Holds: []limehold.KeyRange{keyRange(0, 0, 3)}, Released: []ReleasedRange{released}}}, start + second, true, "state"},
		"says so twice":       {[]Report{{Sequence: 3, Holds: []limehold.KeyRange{keyRange(0, 0, 3)}, Released: []ReleasedRange{released}}, {Sequence: 4, Holds: []limehold.KeyRange{keyRange(0, 0, 3)}, Released: []ReleasedRange{released}}}, start + second, true, "state"},
		"an old heartbeat":    {[]Report{{Sequence: 1, Released: []ReleasedRange{released}}}, start + second, false, ""},
		"silent for long":     {nil, start + 4*second, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLedger(grantsOf(3, "", 0, 1)...)
			l.heartbeatAnswer(1, start)
			l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 2, Holds: []limehold.KeyRange{held}}, start)
			is.True(l.Holds(ownership.Key{Service: "numbers", Shard: 1}, 3, start))
			l.BeginRelease(grantsOf(3, "", 1))
			is.Equal(l.Holds(ownership.Key{Service: "numbers", Shard: 1}, 3, start), false)
			is.Equal(l.Answer(2, start).Rows, []Row{{KeyRange: keyRange(0, 0, 3)}})
			for _, report := range c.reports {
				report.Instance = "i-1"
				l.RecordHeartbeat(report, c.at)
			}
			free := l.ReleasedRanges(wanted, c.at)
			is.Equal(len(free) == 1, c.free)
			if c.free {
				is.Equal(free[0].Token, c.token)
			}
		})
	}
}

// A shard granted under a higher epoch may still be held under the lower one.
func TestAnEarlierEpochMayStillHold(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(grantsOf(3, "", 0)...)
	l.heartbeatAnswer(1, start)
	l.ReplaceGrants(7, grantsOf(5, "", 0), start)
	l.BeginRelease(grantsOf(5, "", 0))
	is.Equal(len(l.ReleasedRanges([]limehold.KeyRange{keyRange(0, 0, 5)}, start+second)), 0)
	is.Equal(len(l.ReleasedRanges([]limehold.KeyRange{keyRange(0, 0, 5)}, start+4*second)), 1)
}

// A long hold must end before the lease even if the instance's clock runs slow.
func TestLongHoldsLeaveRoomForASlowClock(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(grantsOf(3, "", 0)...)
	l.SetLease(7, start+9*second)
	is.True(RealHold(l.heartbeatAnswer(1, start).Hold) < 9*second)
}

// A heartbeat sent before the instance received the answer that omits the row must not free it.
func TestReleaseIsNotBelievedBeforeItWasAskedFor(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(grantsOf(3, "", 0)...)
	l.heartbeatAnswer(1, start)
	l.BeginRelease(grantsOf(3, "", 0))
	l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 2}, start+10*time.Millisecond) // sent before it applied the row
	is.Equal(len(l.ReleasedRanges([]limehold.KeyRange{keyRange(0, 0, 3)}, start+20*time.Millisecond)), 0)
	l.Answer(2, start+30*time.Millisecond)
	l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 3}, start+40*time.Millisecond)
	is.Equal(len(l.ReleasedRanges([]limehold.KeyRange{keyRange(0, 0, 3)}, start+50*time.Millisecond)), 1)
}

// A process that restarts beside a running instance must keep the keys that the instance holds.
func TestRestartAdoptsWhatTheInstanceHolds(t *testing.T) {
	is := is.New(t)
	l := New(Options{Shards: testShards, Hold: testHold, ProcessStart: start})
	l.SetIncarnation("i-1")
	is.Equal(l.heartbeatAnswer(40, start, keyRange(0, 1, 3)).Renews, false) // no lease, no list
	l.SetLease(7, start+4*second)
	l.ReplaceGrants(7, grantsOf(3, "", 0, 1), start)
	is.Equal(l.heartbeatAnswer(41, start, keyRange(0, 1, 3)).Rows, []Row{{KeyRange: keyRange(0, 1, 3)}})
	is.True(l.Holds(ownership.Key{Service: "numbers", Shard: 1}, 3, start))
	// A shard to be released at once may still be held by answers of the earlier process.
	other := New(Options{Shards: testShards, Hold: testHold, ProcessStart: start})
	other.SetIncarnation("i-1")
	other.SetLease(7, start+4*second)
	other.BeginRelease(grantsOf(3, "", 0))
	is.Equal(len(other.ReleasedRanges([]limehold.KeyRange{keyRange(0, 0, 3)}, start+second)), 0)
	is.Equal(len(other.ReleasedRanges([]limehold.KeyRange{keyRange(0, 0, 3)}, start+11*second)), 1)
}

// A new incarnation must not get rows of the list that was for the previous one.
func TestAnotherStartBeginsWithNothing(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(grantsOf(3, "", 0, 1)...)
	l.heartbeatAnswer(1, start)
	l.SetIncarnation("i-2")
	is.Equal(l.Holds(ownership.Key{Service: "numbers", Shard: 0}, 3, start), false)
	is.Equal(l.heartbeatAnswer(1, start).Renews, false)
	l.SetLease(8, start+4*second)
	l.ReplaceGrants(8, grantsOf(4, "", 0, 1), start)
	is.Equal(l.heartbeatAnswer(2, start).Rows, []Row{{KeyRange: keyRange(0, 1, 4)}})
}

// A row is refused whole for one of its keys. The other keys must then get rows of their own, and the
// refused one must not be sent again under its fence.
func TestRefusedRowsAreSplitAndNotRepeated(t *testing.T) {
	is := is.New(t)
	l := newTestLedger(grantsOf(3, "", 0, 1, 2)...)
	refused := keyRange(1, 1, 3)
	var held []limehold.KeyRange
	times := 0
	for sequence := uint64(1); sequence <= 20; sequence++ {
		l.SetLease(7, start+4*second)
		answer := l.heartbeatAnswer(sequence, start, held...)
		held = nil
		for _, row := range answer.Rows {
			if row.First <= refused.First && refused.Last <= row.Last {
				times++
				continue
			}
			held = append(held, row.KeyRange)
		}
	}
	is.Equal(held, []limehold.KeyRange{keyRange(0, 0, 3), keyRange(2, 2, 3)})
	is.Equal(times, refusedMisses)
	is.Equal(l.RefusedGrants(), grantsOf(3, "", 1))
	// A new neighbour gets a row of its own.
	l.ReplaceGrants(7, append(grantsOf(3, "", 0, 2, 3), grantsOf(3, "", 1)...), start)
	is.Equal(l.heartbeatAnswer(21, start, held...).Rows, []Row{{KeyRange: keyRange(0, 0, 3)}, {KeyRange: keyRange(2, 2, 3)}, {KeyRange: keyRange(3, 3, 3)}})
	held = append(held, keyRange(3, 3, 3))
	// Under a higher fence it is granted again.
	l.ReplaceGrants(7, append(grantsOf(3, "", 0, 2, 3), grantsOf(5, "", 1)...), start)
	is.Equal(l.heartbeatAnswer(22, start, held...).Rows, []Row{{KeyRange: keyRange(0, 0, 3)}, {KeyRange: keyRange(2, 3, 3)}, {KeyRange: keyRange(1, 1, 5)}})
}

// Every answer must contain what the instance holds. If not everything fits, new rows are left out, and
// releases that would split a row are postponed.
func TestAnswerAlwaysFits(t *testing.T) {
	for name, c := range map[string]struct {
		room        int
		kept, unfit bool
	}{
		"room for all":         {4000, false, false},
		"no room for new rows": {300, false, true},
		"no room for cuts":     {60, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLedger()
			l.heartbeat.answerBytes = c.room
			var whole []uint32
			for shard := uint32(0); shard < 20; shard++ {
				whole = append(whole, shard)
			}
			l.ReplaceGrants(7, grantsOf(3, "", whole...), start)
			l.heartbeatAnswer(1, start)
			l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 2, Holds: []limehold.KeyRange{keyRange(0, 19, 3)}}, start)
			list := grantsOf(3, "", 0, 1, 2, 4, 5, 6, 8, 9, 10, 12, 13, 14, 16, 17, 18)
			for shard := uint32(100); shard < 140; shard += 2 {
				list = append(list, grantsOf(9, "0123456789abcdef", shard)...)
			}
			l.ReplaceGrants(7, list, start)
			answer := l.Answer(2, start)
			size := 0
			for _, row := range answer.Rows {
				size += RowBytes(row)
			}
			is.True(size <= c.room)
			is.Equal(answer.Kept > 0, c.kept)
			is.Equal(answer.Omitted > 0, c.unfit)
			for _, grant := range list[:15] {
				is.True(hasRow(answer.Rows, l.rangeOf(grant.Key, 3))) // held, and granted again
			}
		})
	}
}

// A new process may receive a late heartbeat of an incarnation that has ended before one of the current
// incarnation, which may still hold keys by grants of an earlier process: these must not be freed at
// once, or two instances hold them.
func TestLateWordOfAnEarlierStartDoesNotFreeKeys(t *testing.T) {
	for name, earlier := range map[string][]string{
		"the present start only":     {"i-2"},
		"an earlier one, heard late": {"i-1", "i-2"},
		"two that have ended by now": {"i-0", "i-1", "i-2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(Options{Shards: testShards, Hold: testHold, ProcessStart: start})
			for _, instance := range earlier {
				l.SetIncarnation(instance)
			}
			l.SetLease(7, start+4*second)
			l.ReplaceGrants(7, grantsOf(2, "", 5), start)
			l.BeginRelease(grantsOf(2, "", 5))
			ranges := []limehold.KeyRange{keyRange(5, 5, 2)}
			is.Equal(len(l.ReleasedRanges(ranges, start+second)), 0)                    // it may still hold them
			is.Equal(len(l.ReleasedRanges(ranges, start+RealHold(testHold)+second)), 1) // all grants have expired
		})
	}
}

// Guards against two instances that hold the same keys: a late heartbeat of an incarnation that had ended made the ledger
// discard what the running one had been granted, and a release that waited for the running one was answered at once.
func TestLateHeartbeatDoesNotFreeWhatIsInRelease(t *testing.T) {
	for name, incarnations := range map[string][]string{
		"the late one is the newest":   {"i-1"},
		"the running one has returned": {"i-1", "i-2"},
		"two late ones":                {"i-1", "i-0", "i-2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(Options{Shards: testShards, Hold: testHold, ProcessStart: start - 10*testHold})
			l.SetIncarnation("i-2")
			l.SetLease(7, start+4*second)
			l.ReplaceGrants(7, grantsOf(2, "", 5), start)
			answer := l.heartbeatAnswer(1, start)
			is.True(answer.Renews)
			l.BeginRelease(grantsOf(2, "", 5))
			for _, incarnation := range incarnations {
				l.SetIncarnation(incarnation)
			}
			ranges := []limehold.KeyRange{keyRange(5, 5, 2)}
			is.Equal(len(l.ReleasedRanges(ranges, start+RealHold(answer.Hold)-1)), 0) // the running one may hold it
			is.Equal(len(l.ReleasedRanges(ranges, start+RealHold(answer.Hold))), 1)   // all grants have expired
		})
	}
}

// A heartbeat sent before the instance accepted the last answer, and received long after it, must not free
// the keys that the answer granted, or two instances hold them.
func TestLateHeartbeatDoesNotFreeWhatAnAnswerGave(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"at once":                      0,
		"once the answer has aged out": answerTimeout + second/2,
		"shortly before the hold ends": 7 * second,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newUnnotifiedLedger(start)
			l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 1}, start)
			is.Equal(len(l.Answer(1, start).Rows), 1) // the instance accepts it after sending heartbeat 2
			l.BeginRelease(grantsOf(2, "", 5))
			l.RecordHeartbeat(Report{Instance: "i-1", Sequence: 2}, start+delay)
			ranges := []limehold.KeyRange{keyRange(5, 5, 2)}
			is.Equal(len(l.ReleasedRanges(ranges, start+delay)), 0)
			is.Equal(len(l.ReleasedRanges(ranges, start+RealHold(testHold))), 1) // all grants have expired
		})
	}
}

// newUnnotifiedLedger returns the ledger of an instance that shard 5 is granted to and that was not notified yet.
func newUnnotifiedLedger(now time.Duration) *Ledger {
	l := New(Options{Shards: testShards, Hold: testHold, ProcessStart: now - time.Hour})
	l.SetIncarnation("i-1")
	l.SetLease(7, now+8*second)
	l.ReplaceGrants(7, grantsOf(2, "", 5), now)
	return l
}
