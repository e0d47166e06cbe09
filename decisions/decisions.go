// Package decisions is the bounded record of decisions that moved ownership or
// changed membership or configuration, each with its cause. It is part of the
// replicated state, so that every member explains the same history.
package decisions

// Kind names a decision.
type Kind string

// Kinds of decisions.
const (
	KindTemplateApplied Kind = "template_applied"
	KindTemplateRetired Kind = "template_retired"
	KindServiceCreated  Kind = "service_created"
	KindServiceUpdated  Kind = "service_updated"
	KindServiceRetiring Kind = "service_retiring"
	KindServiceRemoved  Kind = "service_removed"
	KindNodeJoined      Kind = "node_joined"
	KindNodeReplaced    Kind = "node_replaced"
	KindNodeLost        Kind = "node_lost"
	KindNodeDraining    Kind = "node_draining"
	KindNodeResumed     Kind = "node_resumed"
	KindAssigned        Kind = "assigned"
	KindTransferBegun   Kind = "transfer_begun"
	KindReleased        Kind = "released"
	// KindHeldBack: the owner's lease is over, a grant of it may still be carried out.
	KindHeldBack      Kind = "held_back"
	KindMemberChanged Kind = "member_changed"
	KindRoutesChanged Kind = "routes_changed"
	KindZoneDraining  Kind = "zone_draining"
	KindZoneResumed   Kind = "zone_resumed"
	// KindQuarantined: no instance runs a request any more; KindUnquarantined: it may run
	// again; KindTrialOffered: one run of it is allowed.
	KindQuarantined   Kind = "request_quarantined"
	KindUnquarantined Kind = "request_released"
	KindTrialOffered  Kind = "trial_offered"
)

// Event is one decision.
type Event struct {
	// Revision is the log index of the command that carried the decision.
	Revision uint64
	// At is the leader's wall clock at the decision, in Unix milliseconds.
	At      int64
	Kind    Kind
	Service string
	// Shards that the decision concerns; empty when it is not about shards.
	Shards []uint32
	// From and To are node names.
	From string
	To   string
	// Cause tells why, with the inputs of the decision.
	Cause string
}

// Concerns reports whether the event is about the shard.
func (e *Event) Concerns(service string, shard uint32) bool {
	if e.Service != service {
		return false
	}
	for _, number := range e.Shards {
		if number == shard {
			return true
		}
	}
	return false
}

// Journal keeps the newest events.
type Journal struct {
	// Limit is the number of events kept.
	Limit int
	// Events in order of Revision.
	Events []Event
	// Dropped counts the events that have made room for newer ones.
	Dropped uint64
}

// New returns an empty journal that keeps limit events.
func New(limit int) *Journal { return &Journal{Limit: limit} }

// Add appends an event. The oldest quarter goes at once when the journal is
// full, so that the cost of dropping is spread.
func (j *Journal) Add(event Event) {
	if len(j.Events) >= j.Limit {
		drop := max(1, j.Limit/4)
		j.Events = append(j.Events[:0:0], j.Events[drop:]...)
		j.Dropped += uint64(drop)
	}
	j.Events = append(j.Events, event)
}

// ForShard returns the events about a shard and those of its service that are
// not about shards, oldest first.
func (j *Journal) ForShard(service string, shard uint32) []Event {
	var found []Event
	for i := range j.Events {
		event := &j.Events[i]
		if event.Concerns(service, shard) || event.Service == service && len(event.Shards) == 0 {
			found = append(found, *event)
		}
	}
	return found
}

// Since returns the events after a revision, oldest first, at most limit.
func (j *Journal) Since(revision uint64, limit int) []Event {
	var found []Event
	for i := range j.Events {
		if j.Events[i].Revision > revision {
			found = append(found, j.Events[i])
		}
	}
	return found[max(0, len(found)-limit):]
}
