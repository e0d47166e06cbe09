package ledger

import (
	"testing"

	"github.com/matryer/is"
)

// newClearedLedger returns a ledger of session 7 whose instance was cleared under the session's number and has
// confirmed shard 1 under epoch 9.
func newClearedLedger() (*Ledger, Run) {
	l := New(Options{Shards: testShards, Hold: testHold})
	l.SetLease(7, start+4*second)
	l.EndClearing(7)
	l.ReplaceGrants(7, grantsOf(9, "", 1), start)
	run := l.Runs()[0]
	l.RecordConfirmed(run, start+2*second, start+second)
	return l, run
}

// Grants of one session to one incarnation must not be sent under another session or to another
// incarnation, which has to be cleared first; no requests are let through meanwhile.
func TestStartIsToldNothingBeforeItIsCleared(t *testing.T) {
	for name, c := range map[string]struct {
		then    func(l *Ledger)
		granted bool
		held    bool
	}{
		"nothing happened":                {func(*Ledger) {}, true, true},
		"another session's lease":         {func(l *Ledger) { l.SetLease(8, start+5*second) }, false, true},
		"another session's lease, listed": {func(l *Ledger) { l.SetLease(8, start+5*second); l.ReplaceGrants(8, grantsOf(9, "", 1), start) }, false, true},
		"another session's list first":    {func(l *Ledger) { l.ReplaceGrants(8, grantsOf(9, "", 1), start) }, false, true},
		"another session, cleared, not listed": {func(l *Ledger) {
			l.SetLease(8, start+5*second)
			l.EndClearing(10)
		}, false, false},
		"connections lost":                      {func(l *Ledger) { l.InvalidateClearing() }, false, true},
		"being cleared under the next fence":    {func(l *Ledger) { l.BeginClearing(10) }, true, false},
		"cleared again under the next fence":    {func(l *Ledger) { l.InvalidateClearing(); l.EndClearing(10) }, false, false},
		"the instance ended":                    {func(l *Ledger) { l.EndSession(7) }, true, false},
		"ended, and the lease is renewed":       {func(l *Ledger) { l.EndSession(7); l.SetLease(7, start+9*second) }, true, false},
		"another session's instance ended":      {func(l *Ledger) { l.EndSession(6) }, true, true},
		"listed again below the clearing fence": {func(l *Ledger) { l.EndClearing(10); l.ReplaceGrants(7, grantsOf(9, "", 1, 2), start) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, run := newClearedLedger()
			c.then(l)
			is.Equal(len(l.Runs()) > 0, c.granted)
			is.Equal(l.Wanted(run) && len(l.Runs()) > 0, c.granted)
			is.Equal(l.Wanted(run), l.MayGrant()) // a grant that was about to be sent is held back too
			is.Equal(l.Holds(run.Keys[0], 9, start+second), c.held)
			if !l.MayGrant() {
				return
			}
			is.Equal(len(l.RefusedGrants()) > 0, !c.granted) // reported to control
		})
	}
}

// The fence of a clearing must be above everything ever listed, including former shards.
func TestClearingFenceIsTheNextAfterAllThatWasListed(t *testing.T) {
	is := is.New(t)
	l, _ := newClearedLedger()
	fence, known := l.ClearingFence()
	is.Equal(fence, uint64(10))
	is.True(known)
	l.Forget(grantsOf(9, "", 1))
	fence, _ = l.ClearingFence()
	is.Equal(fence, uint64(10))
	l.RecordRevision(20)
	fence, _ = l.ClearingFence()
	is.Equal(fence, uint64(21))
	l.SetLease(30, start+5*second)
	fence, known = l.ClearingFence()
	is.Equal(fence, uint64(31))
	is.True(!known) // the list of the session has not been received
}

// An incarnation that was not cleared may still apply grants of an earlier process, up to Lateness late.
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
			l := New(Options{Shards: testShards, Hold: testHold, ProcessStart: start, Lateness: lateness})
			l.SetLease(7, start+4*second)
			l.BeginRelease(grantsOf(9, "", 1))
			if c.cleared {
				l.EndClearing(12)
			}
			is.New(t).Equal(l.HeldUntil(grantsOf(9, "", 1)) >= start+lateness+testHold, c.possible)
		})
	}
}
