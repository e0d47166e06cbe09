package wire

// The protocol between limehold and back ends is HTTP/1.1 with JSON bodies; see
// docs/BACKEND-PROTOCOL.md. Paths and headers of it:
const (
	BackendPathHealth  = "/limehold/v1/health"
	BackendPathLoad    = "/limehold/v1/load"
	BackendPathLease   = "/limehold/v1/lease"
	BackendPathGrants  = "/limehold/v1/grants"
	BackendPathRelease = "/limehold/v1/release"
	BackendPathDrain   = "/limehold/v1/drain"

	// HeaderPrefix is reserved; callers' headers with it are dropped.
	HeaderPrefix = "Limehold-"
	// HeaderAttempt names one attempt; the answer must carry it back.
	HeaderAttempt  = "Limehold-Attempt"
	HeaderService  = "Limehold-Service"
	HeaderShard    = "Limehold-Shard"
	HeaderEpoch    = "Limehold-Epoch"
	HeaderDeadline = "Limehold-Deadline-Ms"
	// HeaderOutcome on an answer is ok, not-run or unknown.
	HeaderOutcome = "Limehold-Outcome"
	HeaderReason  = "Limehold-Reason"
	// HeaderRevision on an answer is the revision of the service's configuration
	// under which the router handled the request.
	HeaderRevision = "Limehold-Service-Revision"
	// HeaderInFront marks a not-run answer of the ingress in front of a back end,
	// which the request has not reached.
	HeaderInFront = "Limehold-In-Front"
	// HeaderLoad on an ingress's answer tells its load: requests that run, requests
	// that wait, slots, the smoothed time in milliseconds that one takes, and how many of a
	// thousand runs end well, and for how many milliseconds its link is taken.
	HeaderLoad = "Limehold-Load"
	// HeaderRoute, HeaderPriority and HeaderTarget tell the ingress the route, its
	// rank (0 is the highest) and what is left of its target latency in milliseconds.
	HeaderRoute    = "Limehold-Route"
	HeaderPriority = "Limehold-Priority"
	HeaderTarget   = "Limehold-Target-Ms"
	// HeaderEnds tells the ingress in how many milliseconds the router stops that asks: the
	// answer has to be whole there by then. It is not sent unless the router is stopping.
	HeaderEnds = "Limehold-Ends-Ms"
	// HeaderRouteVersion tells the ingress the version of the route table that matched the
	// request; on a refusal as BackendReasonSuperseded, it is the version in force there.
	HeaderRouteVersion = "Limehold-Route-Version"
	// HeaderReturning is "true" on requests that have been refused before.
	HeaderReturning = "Limehold-Returning"
	// HeaderRepeatable is "true" on requests that may run more than once.
	HeaderRepeatable = "Limehold-Repeatable"
	// HeaderTrial is the number of the trial that a quarantined request may run as.
	HeaderTrial = "Limehold-Trial"
	// HeaderTimeout is set by callers who want less than the route's timeout.
	HeaderTimeout = "Limehold-Timeout-Ms"
	// HeaderRequestID is passed through, or drawn when missing.
	HeaderRequestID = "X-Request-Id"
)

// Outcomes in HeaderOutcome.
const (
	OutcomeOK      = "ok"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Reasons that back ends give with not-run.
const (
	BackendReasonNotOwner = "not-owner"
	BackendReasonFull     = "full"
	BackendReasonDraining = "draining"
	BackendReasonDeadline = "deadline"
	BackendReasonStarting = "starting"
	// BackendReasonSuperseded: a newer route table does not send the request to the service.
	BackendReasonSuperseded = "route-superseded"
	// BackendReasonQuarantined: instances end under the request; none runs it any more.
	BackendReasonQuarantined = "quarantined"
	// BackendReasonEnded: the back end has ended while it ran the request.
	BackendReasonEnded = "instance-ended"
	// BackendReasonZoneDrained: the back end's zone gets nothing new.
	BackendReasonZoneDrained = "zone-drained"
)

// BackendHealth is the answer to BackendPathHealth.
type BackendHealth struct {
	// Status is ok, starting or draining.
	Status string `json:"status"`
	// Incarnation is drawn by each process when it starts.
	Incarnation string `json:"incarnation"`
	InFlight    int    `json:"in_flight"`
	// Capacity is how much work the back end does now, relative to one of its slots that
	// is as quick as usual; zero: it does not say.
	Capacity float64 `json:"capacity,omitempty"`
}

// States in BackendHealth.
const (
	BackendOK       = "ok"
	BackendStarting = "starting"
	BackendDraining = "draining"
)

// BackendLoad is the answer to BackendPathLoad.
type BackendLoad struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	// Utilization from 0 (idle) to 1 (full).
	Utilization float64 `json:"utilization"`
}

// BackendLease tells the back end until when its grants hold.
type BackendLease struct {
	Session uint64 `json:"session"`
	// ExpiresBootNanos is a reading of this machine's CLOCK_BOOTTIME.
	ExpiresBootNanos int64 `json:"expires_boot_ns"`
}

// BackendGrants is the whole list of shards that the back end owns.
type BackendGrants struct {
	Session uint64 `json:"session"`
	// Revision is 0 until control's first list for the session has come.
	Revision uint64 `json:"revision"`
	// Incarnation of the back end that the list is for.
	Incarnation string         `json:"incarnation,omitempty"`
	Grants      []BackendGrant `json:"grants"`
}

// BackendGrant is one owned shard.
type BackendGrant struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	// Token of the last owner's state: given by the release of a shard, and passed
	// to the next owner with its grant. Optional.
	Token string `json:"token,omitempty"`
}

// BackendRelease asks to finish what is in flight for shards and to let go.
type BackendRelease struct {
	Session uint64         `json:"session"`
	Shards  []BackendGrant `json:"shards"`
}

// BackendReleased lists the shards that are let go and idle.
type BackendReleased struct {
	Shards []BackendGrant `json:"shards"`
}
