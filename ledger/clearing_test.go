package ledger

import (
	"testing"

	"github.com/matryer/is"
)

// called is a ledger of session 7 whose instance was cleared under the session's number and is told
// shard 1 under epoch 9.
func called() (*Ledger, Run) {
	l := New(Options{Shards: testShards, Hold: testHold})
	l.SetLease(7, start+4*second)
	l.Cleared(7)
	l.List(7, grantsOf(9, "", 1), start)
	run := l.Runs()[0]
	l.Confirmed(run, start+2*second, start+second)
	return l, run
}

// What was listed for one session and told to one start is told under no other session and to no other
// start; the start is cleared first, and nothing passes meanwhile.
func TestStartIsToldNothingBeforeItIsCleared(t *testing.T) {
	for name, c := range map[string]struct {
		then func(l *Ledger)
		told bool
		held bool
	}{
		"nothing happened":                {func(*Ledger) {}, true, true},
		"another session's lease":         {func(l *Ledger) { l.SetLease(8, start+5*second) }, false, true},
		"another session's lease, listed": {func(l *Ledger) { l.SetLease(8, start+5*second); l.List(8, grantsOf(9, "", 1), start) }, false, true},
		"another session's list first":    {func(l *Ledger) { l.List(8, grantsOf(9, "", 1), start) }, false, true},
		"another session, cleared, not listed": {func(l *Ledger) {
			l.SetLease(8, start+5*second)
			l.Cleared(10)
		}, false, false},
		"connections lost":                      {func(l *Ledger) { l.Uncleared() }, false, true},
		"being cleared under the next fence":    {func(l *Ledger) { l.Clearing(10) }, true, false},
		"cleared again under the next fence":    {func(l *Ledger) { l.Uncleared(); l.Cleared(10) }, false, false},
		"the instance ended":                    {func(l *Ledger) { l.EndSession(7) }, true, false},
		"ended, and the lease is renewed":       {func(l *Ledger) { l.EndSession(7); l.SetLease(7, start+9*second) }, true, false},
		"another session's instance ended":      {func(l *Ledger) { l.EndSession(6) }, true, true},
		"listed again below the clearing fence": {func(l *Ledger) { l.Cleared(10); l.List(7, grantsOf(9, "", 1, 2), start) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, run := called()
			c.then(l)
			is.Equal(len(l.Runs()) > 0, c.told)
			is.Equal(l.Wanted(run) && len(l.Runs()) > 0, c.told)
			is.Equal(l.Wanted(run), l.MayTell()) // a grant that was about to be sent is not, either
			is.Equal(l.Holds(run.Keys[0], 9, start+second), c.held)
			if !l.MayTell() {
				return
			}
			is.Equal(len(l.RefusedGrants()) > 0, !c.told) // handed back
		})
	}
}

// The fence of a clearing is above all that was ever listed, whatever became of it.
func TestClearingFenceIsTheNextAfterAllThatWasListed(t *testing.T) {
	is := is.New(t)
	l, _ := called()
	fence, known := l.ClearingFence()
	is.Equal(fence, uint64(10))
	is.True(known)
	l.Forget(grantsOf(9, "", 1))
	fence, _ = l.ClearingFence()
	is.Equal(fence, uint64(10))
	l.Listed(20)
	fence, _ = l.ClearingFence()
	is.Equal(fence, uint64(21))
	l.SetLease(30, start+5*second)
	fence, known = l.ClearingFence()
	is.Equal(fence, uint64(31))
	is.True(!known) // what the session owns is not known yet
}

// What an earlier process told a start that was not cleared may still be taken, as late as it may be.
func TestWhatAnEarlierProcessToldMayBeTakenLate(t *testing.T) {
	const lateness = 15 * second
	for name, c := range map[string]struct {
		cleared  bool
		possible bool
	}{
		"not cleared": {false, true},
		"cleared":     {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(Options{Shards: testShards, Hold: testHold, Began: start, Lateness: lateness})
			l.SetLease(7, start+4*second)
			l.BeginRelease(grantsOf(9, "", 1))
			if c.cleared {
				l.Cleared(12)
			}
			is.New(t).Equal(l.Possible(grantsOf(9, "", 1)) >= start+lateness+testHold, c.possible)
		})
	}
}
