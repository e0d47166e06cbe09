package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/quiescence"
)

var testTiming = LeaseTiming{Length: 500 * time.Millisecond, DriftPermille: 10}

func TestNodeNeverBelievesLongerThanControl(t *testing.T) {
	is := is.New(t)
	leases := NewLeases(testTiming, []SessionID{1}, 0)
	// Sent at 100 ms and received at 130 ms; the answer arrives only after 400 ms.
	var held HeldLease
	is.True(leases.Renew(1, 130*time.Millisecond))
	held.Acknowledge(1, 100*time.Millisecond, testTiming.Length)
	is.Equal(held.Expiry(), 600*time.Millisecond)
	is.Equal(held.Valid(599*time.Millisecond), true)
	is.Equal(held.Valid(600*time.Millisecond), false)
	is.Equal(len(leases.Expired(630*time.Millisecond)), 0)
	is.Equal(leases.Expired(640*time.Millisecond), []SessionID{1})
}

func TestNewLeaderWaitsAWholeLease(t *testing.T) {
	is := is.New(t)
	elected := 10 * time.Second
	leases := NewLeases(testTiming, []SessionID{1, 2}, elected)
	is.Equal(len(leases.Expired(elected+testTiming.Length)), 0)
	is.Equal(leases.Expired(elected+testTiming.ControlLength()), []SessionID{1, 2})
}

func TestClosingSessionIsNotRenewed(t *testing.T) {
	is := is.New(t)
	leases := NewLeases(testTiming, []SessionID{1}, 0)
	is.Equal(len(leases.Expired(time.Second)), 1)
	is.Equal(leases.Renew(1, time.Second), false)
}

// The proposal to end a session may be lost. Without another one, its shards would have no owner until
// the next election.
func TestLostEndOfSessionIsProposedAgain(t *testing.T) {
	is := is.New(t)
	leases := NewLeases(testTiming, []SessionID{1}, 0)
	is.Equal(leases.Expired(time.Second), []SessionID{1})
	is.Equal(len(leases.Expired(time.Second+time.Millisecond)), 0)
	is.Equal(leases.Expired(2*time.Second), []SessionID{1})
	leases.Forget(1)
	is.Equal(len(leases.Expired(time.Minute)), 0)
}

func TestRenewalKeepsALeaseOutOfTheExpired(t *testing.T) {
	is := is.New(t)
	leases := NewLeases(testTiming, []SessionID{1, 2}, 0)
	for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
		is.True(leases.Renew(1, now))
		for _, session := range leases.Expired(now) {
			is.Equal(session, SessionID(2))
		}
	}
}

func TestSecondProcessOfANameSupersedesTheFirst(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	first, _ := table.Open(Node{Name: "proofs-1", Incarnation: "a"}, 10)
	same, superseded := table.Open(Node{Name: "proofs-1", Incarnation: "a", Slots: 5}, 11)
	is.Equal(same.Session, first.Session) // the same process keeps its session
	is.Equal(superseded == nil, true)
	second, superseded := table.Open(Node{Name: "proofs-1", Incarnation: "b"}, 12)
	is.Equal(superseded.Session, first.Session)
	is.Equal(superseded.Eligible(), false)
	is.Equal(table.Current("proofs-1").Session, second.Session)
	table.Close(first.Session)
	is.Equal(table.Current("proofs-1").Session, second.Session)
}

// A session whose back end may apply grants late must end with its lease only if the node has claimed to
// be quiet, and otherwise once no grant can be applied any more.
func TestKeysAreHeldBackWhileAGrantMayBeCarriedOut(t *testing.T) {
	const session, process, term = SessionID(7), 70, 3
	timing := LeaseTiming{Length: time.Second, DriftPermille: 10, Lateness: 15 * time.Second}
	leaseEnd := timing.ControlLength()
	claim := func(sequence uint64, quiet bool) quiescence.Claim {
		return quiescence.Claim{Process: process, Term: term, Sequence: sequence, Quiet: quiet}
	}
	for name, c := range map[string]struct {
		node     Node
		claims   []quiescence.Claim
		withheld bool
	}{
		"its back end takes nothing late": {Node{}, nil, false},
		"nothing was said":                {Node{AppliesLate: true}, nil, true},
		"quiet":                           {Node{AppliesLate: true}, []quiescence.Claim{claim(1, true)}, false},
		"not quiet":                       {Node{AppliesLate: true}, []quiescence.Claim{claim(1, false)}, true},
		"quiet, then not":                 {Node{AppliesLate: true}, []quiescence.Claim{claim(1, true), claim(2, false)}, true},
		"quiet comes late":                {Node{AppliesLate: true}, []quiescence.Claim{claim(2, false), claim(1, true)}, true},
		"quiet under another leader":      {Node{AppliesLate: true}, []quiescence.Claim{{Process: process, Term: term - 1, Sequence: 1, Quiet: true}}, true},
		"quiet says another process":      {Node{AppliesLate: true}, []quiescence.Claim{{Process: process + 1, Term: term, Sequence: 1, Quiet: true}}, true},
		"lost under an earlier leader":    {Node{AppliesLate: true, Lost: true}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			leases := NewLeases(timing, []SessionID{session}, 0)
			c.node.Session, c.node.Process = session, process
			leases.UpdateNode(&c.node, 0)
			for _, received := range c.claims {
				leases.RecordClaim(session, received, term)
			}
			expired := leases.Expired(leaseEnd)
			is.Equal(len(expired) == 0, c.withheld)
			is.Equal(len(leases.TakeLost()) > 0, c.withheld)
			is.Equal(leases.Renew(session, leaseEnd), false)
			if !c.withheld {
				return
			}
			is.Equal(len(leases.Expired(timing.Lateness-time.Millisecond)), 0)
			is.Equal(leases.Expired(leaseEnd+timing.Lateness), []SessionID{session})
		})
	}
}

// A new leader must not renew a session that an earlier leader found lost.
func TestLostSessionIsNotRenewed(t *testing.T) {
	for name, lost := range map[string]bool{"open": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			leases := NewLeases(testTiming, []SessionID{1}, 0)
			leases.UpdateNode(&Node{Session: 1, AppliesLate: true, Lost: lost}, 0)
			is.New(t).Equal(leases.Renew(1, time.Millisecond), !lost)
		})
	}
}

// The proposal to mark a session as lost may be lost itself, so TakeLost must repeat it.
func TestLostSessionIsTakenAgain(t *testing.T) {
	is := is.New(t)
	leases := NewLeases(LeaseTiming{Length: time.Second, Lateness: 15 * time.Second}, []SessionID{1}, 0)
	leases.UpdateNode(&Node{Session: 1, AppliesLate: true}, 0)
	for _, now := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		is.Equal(len(leases.Expired(now)), 0)
		is.Equal(leases.TakeLost(), []SessionID{1})
	}
	is.Equal(len(leases.TakeLost()), 0)
}

func TestLostSessionIsSupersededByTheNextOfItsNode(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	first, _ := table.Open(Node{Name: "proofs-1", Incarnation: "a"}, 10)
	lost := table.MarkLost(first.Session, 11)
	is.True(lost.Lost)
	is.Equal(lost.Eligible(), false)
	is.Equal(table.MarkLost(first.Session, 12) == nil, true)
	is.Equal(table.Current("proofs-1") == nil, true)
	table.Reindex()
	second, _ := table.Open(Node{Name: "proofs-1", Incarnation: "a"}, 13)
	is.True(second.Session != first.Session) // the same process gets a new session
	is.Equal(table.Superseded("proofs-1"), []SessionID{first.Session})
	table.Close(first.Session)
	is.Equal(len(table.Superseded("proofs-1")), 0)
	is.Equal(table.Current("proofs-1").Session, second.Session)
}
