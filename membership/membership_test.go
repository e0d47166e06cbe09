package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testTiming = LeaseTiming{Length: 500 * time.Millisecond, DriftPermille: 10}

func TestNodeNeverBelievesLongerThanControl(t *testing.T) {
	is := is.New(t)
	leases := NewLeases(testTiming, []SessionID{1}, 0)
	// Sent at 100 ms, received at 130 ms, the answer comes only after 400 ms.
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

// The proposal to end a session can be lost; without another one, its shards
// would have no owner for as long as this leader leads.
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
