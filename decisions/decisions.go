// Package decisions keeps a bounded journal of the decisions that moved ownership or changed membership or
// configuration, each with its cause. The journal is part of the replicated state, so that every member
// reports the same history.
package decisions

// Kind identifies the kind of a decision.
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
	// KindHeldBack means that the owner's lease has expired while a grant may still be applied.
	KindHeldBack      Kind = "held_back"
	KindMemberChanged Kind = "member_changed"
	KindRoutesChanged Kind = "routes_changed"
	KindZoneDraining  Kind = "zone_draining"
	KindZoneResumed   Kind = "zone_resumed"
	// KindQuarantined means that instances no longer run a request, KindRequestReleased that they may
	// run it again, and KindTrialOffered that one run is allowed.
	KindQuarantined     Kind = "request_quarantined"
	KindRequestReleased Kind = "request_released"
	KindTrialOffered    Kind = "trial_offered"
)

// Event is the record of one decision.
type Event struct {
	// Revision is the log index of the command that contained the decision.
	Revision uint64
	// At is the time of the decision in Unix milliseconds of the leader's wall clock.
	At      int64
	Kind    Kind
	Service string
	// Shards are the shards that the decision concerns; empty if it does not concern single shards.
	Shards []uint32
	// From and To are node names.
	From string
	To   string
	// Cause is the reason for the decision, with its inputs.
	Cause string
}

// Concerns reports whether the event concerns the shard.
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

// Journal holds the newest events.
type Journal struct {
	// Limit is the maximum number of events.
	Limit int
	// Events are ordered by Revision.
	Events []Event
	// Dropped counts the events that were removed to make room for newer ones.
	Dropped uint64
}

// New returns an empty journal that holds up to limit events.
func New(limit int) *Journal { return &Journal{Limit: limit} }

// Add appends an event. If the journal is full, it first drops the oldest quarter, which amortizes the cost.
func (j *Journal) Add(event Event) {
	if len(j.Events) >= j.Limit {
		drop := max(1, j.Limit/4)
		j.Events = append(j.Events[:0:0], j.Events[drop:]...)
		j.Dropped += uint64(drop)
	}
	j.Events = append(j.Events, event)
}

// ForShard returns the events that concern a shard and those of its service that concern no single shards,
// oldest first.
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

// Since returns the newest events after a revision, oldest first, at most limit.
func (j *Journal) Since(revision uint64, limit int) []Event {
	var found []Event
	for i := range j.Events {
		if j.Events[i].Revision > revision {
			found = append(found, j.Events[i])
		}
	}
	return found[max(0, len(found)-limit):]
}
