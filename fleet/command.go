// Package fleet is the replicated state machine: catalog, membership, ownership
// and journal together, changed only by commands applied from the log in order.
// It is pure and deterministic; all members hold the same State at the same
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

// EntryFormat is the newest format of commands that this version can decode. Members of format 0 cannot decode
// commands with an Order.
const EntryFormat = 1

// Command is one change of the state. Exactly one of the pointers but Order is set.
type Command struct {
	// ID is chosen by the sender and is the same when the command is resent. It is
	// empty for the leader's own commands.
	ID string
	// At is the leader's wall clock when it received the command, in Unix
	// milliseconds. It dates journal events and ages command records.
	At int64

	ApplyTemplate    *ApplyTemplate
	RetireTemplate   *RetireTemplate
	CreateService    *CreateService
	UpdateService    *UpdateService
	RetireService    *RetireService
	RemoveService    *RemoveService
	OpenSession      *OpenSession
	CloseSessions    *CloseSessions
	MarkSessionsLost *MarkSessionsLost
	SetDraining      *SetDraining
	Assign           *Assign
	Transfer         *Transfer
	Release          *Release
	ChangeRoutes     *routing.Change

	SetZoneDraining *SetZoneDraining

	RecordReports    *RecordReports
	ReleaseRequest   *ReleaseRequest
	UpdateQuarantine *UpdateQuarantine
	ClaimTrial       *ClaimTrial

	RecordDeparture *RecordDeparture

	// Order is set if the command is an operator's order.
	Order *Order
}

// ApplyTemplate creates or replaces a template and updates its services.
type ApplyTemplate struct {
	Template catalog.Template
	// Expected is the revision that the operator saw. 0 requires that the template
	// does not exist; catalog.AnyRevision disables the comparison.
	Expected uint64
}

// RetireTemplate removes an unused template.
type RetireTemplate struct {
	Name     string
	Expected uint64
}

// CreateService creates a service from a template.
type CreateService struct {
	Name     string
	Template string
	Values   map[string]string
}

// UpdateService changes some of a service's parameter values.
type UpdateService struct {
	Name     string
	Values   map[string]string
	Expected uint64
}

// RetireService stops admission to a service and starts the release of its shards.
type RetireService struct {
	Name     string
	Expected uint64
}

// RemoveService removes a retiring service whose shards are all free.
type RemoveService struct{ Name string }

// OpenSession registers a node: an agent with its back end.
type OpenSession struct {
	Node membership.Node
	// PredecessorsEnded is set by an agent that has established that no grant sent under
	// earlier sessions of its node is still held. The shards of the session that this
	// one supersedes become free at once.
	PredecessorsEnded bool
	// Exclusive is set if a grant addressed to one incarnation of the back end cannot
	// reach another. A later incarnation at the same address then proves that grants to
	// the earlier one are no longer held.
	Exclusive bool
}

// CloseSessions closes sessions and frees their shards. The sender ensures that no
// grant sent under them can still take effect.
type CloseSessions struct {
	// Process, if not 0, is the agent process that requests the close. Sessions that
	// belong to another agent process by now stay open.
	Process uint64
	// Superseded, if not 0, is the current session of a node. All earlier sessions that
	// it superseded are closed.
	Superseded membership.SessionID
	Sessions   []membership.SessionID
	Cause      string
	// EndedNode, if not empty, is a node whose machine is off by an operator's word. An operator's drain of it ends.
	EndedNode string
}

// MarkSessionsLost marks sessions as lost whose leases have expired while a grant sent
// under them may still take effect. A lost session keeps its shards until
// CloseSessions, but no requests are routed to it. Sessions that own no shards are
// closed.
type MarkSessionsLost struct {
	Sessions []membership.SessionID
	Cause    string
}

// SetDraining drains a node or returns it to service.
type SetDraining struct {
	Session  membership.SessionID
	Draining bool
	Cause    string
	// Node is the node's name if an operator orders or ends the drain. The order outlives the session: if that has
	// been closed or superseded, it applies to the node's current one, if there is one.
	Node string
}

// ShardDecision is the decision that a session is to own a shard. It is rejected if the
// shard's epoch is no longer Epoch. To is 0 if a transfer has no particular target.
type ShardDecision struct {
	Key   ownership.Key
	Epoch uint64
	To    membership.SessionID
	// Next is the least epoch under which a free shard is assigned; 0 means Epoch+1. The epoch
	// is higher if the fence of the session is. Shards that are assigned together have the
	// same Next, so that adjacent shards can be granted in one call.
	Next uint64
}

// Assign assigns free shards to sessions.
type Assign struct {
	Decisions []ShardDecision
	Cause     string
}

// NewAssign returns an Assign in which all listed shards of a service have the same Next:
// the lowest epoch that is new for each of them. It modifies list.
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

// Transfer asks owners to release shards, usually so that other sessions can own them.
type Transfer struct {
	Decisions []ShardDecision
	Cause     string
}

// ReleasedShard is an owner's report that it no longer runs requests for a shard.
type ReleasedShard struct {
	Key   ownership.Key
	Epoch uint64
	// Token of the owner's state, for the next owner. Empty if there is none.
	Token string
}

// Release frees shards that their owner has released, and assigns them to their targets.
type Release struct {
	Session membership.SessionID
	Shards  []ReleasedShard
	// Reassign assigns the released shards that have no target to the same session again, if it may
	// still own them. It also raises the session's fence, so that its later epochs exceed all earlier ones.
	Reassign bool
}

// Result is the outcome of a command. It is the same on every member and, for a command
// with an ID, whenever the command is resent within RecordRetention.
type Result struct {
	// Revision is the log index at which the command took effect.
	Revision uint64
	// Failure is set if the command was rejected.
	Failure *catalog.Failure
	// Session is set for OpenSession.
	Session membership.SessionID
	// Superseded is set for OpenSession if earlier sessions of the node are still open.
	Superseded bool
	// Routes is set for ChangeRoutes.
	Routes *routing.Outcome
	// Stale counts the parts of a command, such as the decisions of Assign or the
	// sessions of CloseSessions, that no longer match the state.
	Stale int
}

// Encode returns the command as log data.
func (c *Command) Encode() []byte { return codec.MustMarshal(c) }

// Digest identifies the content of the command. It does not depend on At or on what an order is based on: an order
// that is sent again may name a newer basis.
func (c *Command) Digest() uint64 {
	copied := *c
	copied.At = 0
	if copied.Order != nil {
		copied = copied.WithoutOrder().WithExpected(0)
	}
	return xxhash.Sum64(copied.Encode())
}

// WithoutOrder returns the command in the form that members of EntryFormat 0 can decode. They compare only Expected, if
// the command has it.
func (c Command) WithoutOrder() Command {
	c.Order = nil
	return c
}

// WithExpected returns the command with the revision that its object must have, if commands of its kind have that field.
func (c Command) WithExpected(revision uint64) Command {
	switch {
	case c.ApplyTemplate != nil:
		change := *c.ApplyTemplate
		change.Expected = revision
		c.ApplyTemplate = &change
	case c.RetireTemplate != nil:
		change := *c.RetireTemplate
		change.Expected = revision
		c.RetireTemplate = &change
	case c.UpdateService != nil:
		change := *c.UpdateService
		change.Expected = revision
		c.UpdateService = &change
	case c.RetireService != nil:
		change := *c.RetireService
		change.Expected = revision
		c.RetireService = &change
	case c.SetZoneDraining != nil:
		change := *c.SetZoneDraining
		change.Expected = revision
		c.SetZoneDraining = &change
	}
	return c
}

// DecodeCommand decodes log data.
func DecodeCommand(data []byte) (*Command, error) {
	var command Command
	if err := codec.Unmarshal(data, &command); err != nil {
		return nil, err
	}
	return &command, nil
}
