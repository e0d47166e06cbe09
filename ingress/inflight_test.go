package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/ledger"
)

// Control reads the claim that no grant is in flight as the end of all grants, even if the sidecar has
// ended by then: the claim must never be made too early.
func TestSidecarSaysWhetherItsGrantsMayBeCarriedOut(t *testing.T) {
	const shard, lease = 4, 5 * time.Second
	renew := func(holder callHolder) { holder.renewDue(context.Background()) }
	for name, c := range map[string]struct {
		then  func(holder callHolder, client *lateKeys)
		quiet bool
	}{
		"nothing is listed yet": {func(callHolder, *lateKeys) {}, false},
		"listed, not granted":   {func(holder callHolder, _ *lateKeys) { holder.setGrants(1, listOf(3, shard)) }, false},
		"granted": {func(holder callHolder, _ *lateKeys) {
			holder.setGrants(1, listOf(3, shard))
			renew(holder)
		}, true},
		"granted, due again soon": {func(holder callHolder, _ *lateKeys) {
			holder.setGrants(1, listOf(3, shard))
			renew(holder)
			holder.now = func() time.Duration { return clock.Now() + lease/4 }
		}, false},
		"left without an answer": {func(holder callHolder, client *lateKeys) {
			holder.setGrants(1, listOf(3, shard))
			client.unanswered = true
			renew(holder)
		}, false},
		"left without an answer, then answered": {func(holder callHolder, client *lateKeys) {
			holder.setGrants(1, listOf(3, shard))
			client.unanswered = true
			renew(holder)
			client.unanswered = false
			renew(holder)
		}, false},
		"left without an answer, then cleared": {func(holder callHolder, client *lateKeys) {
			holder.setGrants(1, listOf(3, shard))
			client.unanswered = true
			renew(holder)
			client.unanswered, client.lost = false, true
			renew(holder)
			renew(holder)
			holder.setGrants(1, listOf(9, shard))
			renew(holder)
		}, true},
		"left without an answer, too long ago": {func(holder callHolder, client *lateKeys) {
			holder.setGrants(1, listOf(3, shard))
			client.unanswered = true
			renew(holder)
			client.unanswered = false
			holder.now = func() time.Duration { return clock.Now() + testGrantDelay + 2*lease }
			holder.setLease(1, holder.now()+lease)
			renew(holder)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newLateKeys()
			holder := newHolder(client, lease)
			c.then(holder, client)
			is.Equal(holder.claim().Quiet, c.quiet)
		})
	}
}

// After a claim that no grant is in flight, a sidecar must not send any until control has acknowledged
// the opposite; it requests a renewal for that, and one when the grants have been answered.
func TestNothingIsGrantedWhileControlBelievesThatNothingIs(t *testing.T) {
	const shard = 4
	is := is.New(t)
	client := newLateKeys()
	holder := newHolder(client, 5*time.Second)
	renewalRequested := func() bool {
		select {
		case <-holder.inFlight.renewRequests:
			return true
		default:
			return false
		}
	}
	holder.setGrants(1, listOf(3, shard))
	holder.renewDue(context.Background())
	is.True(renewalRequested()) // the grant was answered
	quiet := holder.claim()
	is.True(quiet.Quiet)
	holder.claimAcknowledged(quiet)

	holder.setGrants(1, append(listOf(3, shard), listOf(5, shard+1)...))
	holder.renewDue(context.Background())
	is.Equal(client.holds(shard+1), uint64(0))
	is.True(renewalRequested())
	open := holder.claim()
	is.Equal(open.Quiet, false)
	holder.renewDue(context.Background())
	is.Equal(client.holds(shard+1), uint64(0)) // not acknowledged yet
	holder.claimAcknowledged(open)
	holder.renewDue(context.Background())
	is.Equal(client.holds(shard+1), uint64(5))
}

// After an unanswered release, keys are free only once nothing can hold them: an unanswered grant may
// be applied long after it was sent.
func TestUnansweredReleaseWaitsForAGrantThatMayBeLate(t *testing.T) {
	const late, held = testGrantDelay, 7 * time.Second
	for name, c := range map[string]struct {
		// answered states for each grant that is sent, in order, whether it is answered.
		answered []bool
		after    time.Duration
		free     bool
	}{
		"the grant was answered":                      {[]bool{true}, held, true},
		"the grant was left without an answer":        {[]bool{false}, late, false},
		"the grant was left without an answer, later": {[]bool{false}, late + held, true},
		"the next one was answered":                   {[]bool{false, true}, late, false},
		"the next one was answered, later":            {[]bool{false, true}, late + held, true},
		"the next one was left as well":               {[]bool{true, false}, late, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := &fakeKeys{}
			holder := newHolder(client, 5*time.Second)
			holder.setGrants(1, listOf(3, 0))
			holder.clear(context.Background())
			for _, answered := range c.answered {
				client.failing = errNoAnswer
				if answered {
					client.failing = nil
				}
				for _, run := range holder.runs() {
					holder.grant(context.Background(), run)
				}
			}
			client.failing = errNoAnswer
			holder.now = func() time.Duration { return clock.Now() + c.after }
			released, err := holder.release(listOf(3, 0))
			is.Equal(err == nil, c.free)
			is.Equal(len(released) == 1, c.free)
		})
	}
}

// A claim covers all grants that were ever sent to the instance, by this process or an earlier one.
func TestGrantsInFlight(t *testing.T) {
	const hold = 5 * time.Second
	over := testGrantDelay + ledger.RealHold(hold)
	for name, c := range map[string]struct {
		then  func(g *grantsInFlight)
		at    time.Duration
		quiet bool
		begin bool
	}{
		"an earlier process may have left one":       {func(*grantsInFlight) {}, over - 1, false, true},
		"an earlier process left it too long ago":    {func(*grantsInFlight) {}, over, true, false},
		"the instance was cleared":                   {func(g *grantsInFlight) { g.recordFenced() }, 0, true, false},
		"one is under way":                           {func(g *grantsInFlight) { g.recordFenced(); g.begin() }, over, false, true},
		"one was answered":                           {func(g *grantsInFlight) { g.recordFenced(); g.begin(); g.recordAnswer() }, 0, true, false},
		"one was left":                               {func(g *grantsInFlight) { g.recordFenced(); g.begin(); g.recordLate(over) }, over - 1, false, true},
		"one was left, the next one answered":        {func(g *grantsInFlight) { g.recordFenced(); g.begin(); g.recordLate(over); g.begin(); g.recordAnswer() }, over - 1, false, true},
		"one was left, and the instance was cleared": {func(g *grantsInFlight) { g.begin(); g.recordLate(over); g.recordFenced() }, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGrantsInFlight(over)
			c.then(g)
			is.Equal(g.claim(c.at, false).Quiet, c.quiet)
			is.Equal(g.begin(), c.begin) // none may be sent after the claim that none is in flight
			is.Equal(g.claim(over, true).Quiet, false)
		})
	}
}

// Guards against keys that become free by time although no time ends the doubt about an unanswered grant.
func TestOnlyProofEndsAGrantWithoutADelayLimit(t *testing.T) {
	const lease, later = 5 * time.Second, 24 * time.Hour
	is := is.New(t)
	client := newLateKeys()
	holder := newHolderWithDelay(client, lease, 0)
	holder.setGrants(1, listOf(3, 4))
	client.unanswered = true
	holder.renewDue(context.Background())
	holder.now = func() time.Duration { return clock.Now() + later }
	holder.setLease(1, holder.now()+lease)
	is.Equal(holder.claim().Quiet, false)
	is.True(holder.ledger.HeldUntil(ledgerGrants(listOf(3, 4))) > holder.now())

	// The instance is cleared under a higher fence before the next grant, which control has to raise.
	client.unanswered = false
	cleared := len(client.cleared)
	holder.renewDue(context.Background())
	is.Equal(len(client.cleared), cleared+1)
	holder.setGrants(1, listOf(client.cleared[cleared].Fence+1, 4))
	holder.renewDue(context.Background())
	is.Equal(holder.claim().Quiet, true)
}
