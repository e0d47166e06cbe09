// Package fleet is the replicated state machine: catalog, membership, ownership
// and journal together, changed only by commands taken from the log in order.
// It is pure and deterministic; every member holds the same State at the same
// revision.
package fleet

import (
	"github.com/cespare/xxhash/v2"

	"limehold/catalog"
	"limehold/codec"
	"limehold/membership"
	"limehold/ownership"
	"limehold/routing"
)

// Command is one change. Exactly one of the pointers is set.
type Command struct {
	// ID is chosen by whoever sends the command, and sent again with it. Empty
	// for commands of the leader itself.
	ID string
	// At is the leader's wall clock when it took the command, in Unix
	// milliseconds. It dates the journal and ages command records.
	At int64

	ApplyTemplate  *ApplyTemplate
	RetireTemplate *RetireTemplate
	CreateService  *CreateService
	UpdateService  *UpdateService
	RetireService  *RetireService
	RemoveService  *RemoveService
	OpenSession    *OpenSession
	CloseSessions  *CloseSessions
	LoseSessions   *LoseSessions
	SetDraining    *SetDraining
	Assign         *Assign
	Transfer       *Transfer
	Release        *Release
	ChangeRoutes   *routing.Change

	SetZoneDraining *SetZoneDraining

	TakeReports    *TakeReports
	ReleaseRequest *ReleaseRequest
	AgeQuarantine  *AgeQuarantine
	TakeTrial      *TakeTrial
}

// ApplyTemplate creates or replaces a template and changes its services.
type ApplyTemplate struct {
	Template catalog.Template
	// Expected is the revision the operator saw; 0: must not exist;
	// catalog.AnyRevision: do not compare.
	Expected uint64
}

// RetireTemplate removes an unused template.
type RetireTemplate struct {
	Name     string
	Expected uint64
}

// CreateService makes a service from a template.
type CreateService struct {
	Name     string
	Template string
	Values   map[string]string
}

// UpdateService changes some of a service's values.
type UpdateService struct {
	Name     string
	Values   map[string]string
	Expected uint64
}

// RetireService begins the end of a service.
type RetireService struct {
	Name     string
	Expected uint64
}

// RemoveService ends a retiring service whose shards are all free.
type RemoveService struct{ Name string }

// OpenSession registers an agent with its back end.
type OpenSession struct {
	Node membership.Node
	// PredecessorGone is set by an agent that knows that nothing is held any more that was told
	// under earlier sessions of its node: what they owned is free at once.
	PredecessorGone bool
	// Exclusive is set where a start of the back end is told nothing that was meant for another:
	// then one that began later shows that what the earlier one was told is held no longer.
	Exclusive bool
}

// CloseSessions ends sessions whose leases are over.
type CloseSessions struct {
	// Process, if set, is the agent's that says so: sessions that another one has taken up since go on.
	Process uint64
	// Superseded, if set, is a session that has superseded earlier ones of its node: these are closed.
	Superseded membership.SessionID
	Sessions   []membership.SessionID
	Cause      string
}

// LoseSessions ends the leases of sessions while a grant that was sent under them may still be carried
// out. What they own stays theirs until CloseSessions, and nobody is sent to them; those that own
// nothing are closed.
type LoseSessions struct {
	Sessions []membership.SessionID
	Cause    string
}

// SetDraining drains a node, or takes it back into service.
type SetDraining struct {
	Session  membership.SessionID
	Draining bool
	Cause    string
}

// ShardDecision gives one shard to a session, on the state seen at Epoch.
type ShardDecision struct {
	Key   ownership.Key
	Epoch uint64
	To    membership.SessionID
	// Next is the epoch under which a free shard is assigned; zero: the one after
	// Epoch. Shards that are assigned together share it, so that neighbouring ones can
	// be granted in one call.
	Next uint64
}

// Assign gives free shards to sessions.
type Assign struct {
	Decisions []ShardDecision
	Cause     string
}

// NewAssign assigns the shards of one service under one epoch.
func NewAssign(list []ShardDecision, cause string) *Assign {
	next := map[string]uint64{}
	for _, decision := range list {
		next[decision.Key.Service] = max(next[decision.Key.Service], decision.Epoch+1)
	}
	for i := range list {
		list[i].Next = next[list[i].Key.Service]
	}
	return &Assign{Decisions: list, Cause: cause}
}

// Transfer asks owners to release shards in favour of others.
type Transfer struct {
	Decisions []ShardDecision
	Cause     string
}

// ReleasedShard is an owner's word that it runs nothing for a shard any more.
type ReleasedShard struct {
	Key   ownership.Key
	Epoch uint64
	// Token of the owner's state, for the next owner; empty: none.
	Token string
}

// Release frees shards on their owner's word, and hands them to the targets.
type Release struct {
	Session membership.SessionID
	Shards  []ReleasedShard
	// Again has the shards assigned to the same session under a higher epoch, if it may own any.
	Again bool
}

// Result is the outcome of a command, the same on every member and for every
// repetition of the command.
type Result struct {
	// Revision is the log index at which the command took effect.
	Revision uint64
	// Failure is set when the command was refused.
	Failure *catalog.Failure
	// Session is set for OpenSession.
	Session membership.SessionID
	// Superseded is set for OpenSession when earlier sessions of the node are still open.
	Superseded bool
	// Routes is set for ChangeRoutes.
	Routes *routing.Outcome
	// Refused counts the decisions of Assign, Transfer, Release, SetZoneDraining,
	// ReleaseRequest or TakeTrial that no longer fitted the state.
	Refused int
}

// Encode returns the command as log data.
func (c *Command) Encode() []byte { return codec.MustMarshal(c) }

// Digest identifies what the command asks for, whoever took it and when.
func (c *Command) Digest() uint64 {
	copied := *c
	copied.At = 0
	return xxhash.Sum64(copied.Encode())
}

// DecodeCommand reads log data.
func DecodeCommand(data []byte) (*Command, error) {
	var command Command
	if err := codec.Unmarshal(data, &command); err != nil {
		return nil, err
	}
	return &command, nil
}
