package consensus

import (
	"math"
	"time"
)

const (
	permille = 1000
	// neverAnswered precedes all clock readings.
	neverAnswered = time.Duration(math.MinInt64)
)

// LeaseUntil returns the clock reading before which no other member can become
// leader, 0 if there is no such guarantee.
//
// Proof: let s be the clock reading at which this leader sent the append that the
// quorum-th most recent voter has answered. Each voter of that quorum had contact
// with the leader at or after s, and rejects every vote for ElectionMin of its own
// clock after that. A rival needs a vote of that quorum, so it cannot be elected
// before s + ElectionMin, reduced by the clock drift bound. A leader that has
// released its lease (TransferLeadership) does not claim it again.
func (c *Core) LeaseUntil(now time.Duration) time.Duration {
	if c.role != RoleLeader || c.transferring {
		return 0
	}
	quorumSent := quorumValue(c.Configuration(), func(voter MemberID) time.Duration { return c.newestAnswered(voter, now) })
	if quorumSent == neverAnswered {
		return 0
	}
	return quorumSent + c.timing.ElectionMin*time.Duration(permille-c.timing.DriftPermille)/permille
}

// newestAnswered returns when the newest append that a voter has answered was sent, now for this leader itself, or
// neverAnswered.
func (c *Core) newestAnswered(voter MemberID, now time.Duration) time.Duration {
	if voter == c.id {
		return now
	}
	if peer := c.progress[voter]; peer != nil && peer.hasAcked && !peer.lostLog {
		return peer.ackedSentAt
	}
	return neverAnswered
}

// HoldsLease reports whether no other member can have become leader before now.
func (c *Core) HoldsLease(now time.Duration) bool { return now < c.LeaseUntil(now) }

// ReadIndex returns an index such that a state machine that has applied it
// reflects every command acknowledged before the call.
func (c *Core) ReadIndex(now time.Duration) (uint64, error) {
	if c.role != RoleLeader {
		return 0, ErrNotLeader
	}
	if c.commit < c.termStart || !c.HoldsLease(now) {
		return 0, ErrNotReady
	}
	return c.commit, nil
}
