package wire

// The protocol between limehold and back ends is HTTP/1.1 with JSON bodies; see
// docs/BACKEND-PROTOCOL.md. Its paths and headers are:
const (
	BackendPathHealth  = "/limehold/v1/health"
	BackendPathLoad    = "/limehold/v1/load"
	BackendPathLease   = "/limehold/v1/lease"
	BackendPathGrants  = "/limehold/v1/grants"
	BackendPathRelease = "/limehold/v1/release"
	BackendPathDrain   = "/limehold/v1/drain"

	// HeaderPrefix is reserved. Headers of callers that begin with it are dropped.
	HeaderPrefix = "Limehold-"
	// HeaderAttempt identifies one attempt; the answer must return it.
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
	// HeaderFromIngress marks a not-run answer of the ingress in front of a back end. The
	// request has not reached the back end.
	HeaderFromIngress = "Limehold-In-Front"
	// HeaderLoad on an ingress's answer reports its load: running requests, queued
	// requests, slots, the smoothed run time in milliseconds, successful runs per
	// thousand, for how many milliseconds its link is occupied by responses and by request bodies, and in how
	// many milliseconds the limit that the instance names allows another request.
	HeaderLoad = "Limehold-Load"
	// HeaderLoadView on a request carries load reports of other instances of the service, and on an ingress's answer to
	// such a request those that the router may not have; see package loadview. HeaderLoad then also identifies the report.
	HeaderLoadView = "Limehold-Load-View"
	// HeaderRoute, HeaderPriority and HeaderTarget send the ingress the route, its priority
	// (0 is the highest) and the remainder of its target latency in milliseconds.
	HeaderRoute    = "Limehold-Route"
	HeaderPriority = "Limehold-Priority"
	HeaderTarget   = "Limehold-Target-Ms"
	// HeaderStopsIn sends the ingress the time in milliseconds until the requesting router
	// stops, by which the whole answer must have arrived. Only a stopping router sends it.
	HeaderStopsIn = "Limehold-Ends-Ms"
	// HeaderRouteVersion sends the ingress the version of the route table that matched the
	// request. On a rejection as BackendReasonSuperseded, it is the version in force there.
	HeaderRouteVersion = "Limehold-Route-Version"
	// HeaderUsualRun sends the ingress for how many microseconds runs of the route usually last, over all instances of
	// the service that have answered the router.
	HeaderUsualRun = "Limehold-Usual-Run-Us"
	// HeaderRun on an ingress's answer is for how many microseconds the request ran. It is missing if that does not
	// show how fast the instance is.
	HeaderRun = "Limehold-Run-Us"
	// HeaderRejectedBefore is "true" on requests that have been rejected before.
	HeaderRejectedBefore = "Limehold-Returning"
	// HeaderRepeatable is "true" on requests that may run more than once.
	HeaderRepeatable = "Limehold-Repeatable"
	// HeaderRepeat is "true" on an attempt that is a repeat: an earlier attempt of the request has reached a back end, or
	// the request is a call that the run of a repeat makes.
	HeaderRepeat = "Limehold-Repeat"
	// HeaderCall is "true" on a call that an instance makes while it runs a request, and holds a slot for.
	HeaderCall = "Limehold-Call"
	// HeaderTrial is the number of the trial as which a quarantined request may run.
	HeaderTrial = "Limehold-Trial"
	// HeaderTimeout is set by callers that want less than the route's timeout.
	HeaderTimeout = "Limehold-Timeout-Ms"
	// HeaderRequestID is passed through, or generated if missing.
	HeaderRequestID = "X-Request-Id"
)

// Outcomes in HeaderOutcome.
const (
	OutcomeOK      = "ok"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Reasons for the outcome not-run.
const (
	BackendReasonNotOwner = "not-owner"
	BackendReasonFull     = "full"
	BackendReasonDraining = "draining"
	BackendReasonDeadline = "deadline"
	BackendReasonStarting = "starting"
	// BackendReasonSuperseded means that a newer route table does not send the request to the service.
	BackendReasonSuperseded = "route-superseded"
	// BackendReasonQuarantined means that instances crashed while they ran the request, so none runs it now.
	BackendReasonQuarantined = "quarantined"
	// BackendReasonCrashed means that the back end crashed or stopped while it ran the request.
	BackendReasonCrashed = "instance-ended"
	// BackendReasonZoneDrained means that the back end's zone is drained and accepts no new requests.
	BackendReasonZoneDrained = "zone-drained"
	// BackendReasonClosed means that the ingress closed a kept connection before it read the request.
	BackendReasonClosed = "connection-closed"
)

// BackendHealth is the answer to BackendPathHealth.
type BackendHealth struct {
	// Status is ok, starting or draining.
	Status string `json:"status"`
	// Incarnation is generated by each process when it starts.
	Incarnation string `json:"incarnation"`
	InFlight    int    `json:"in_flight"`
	// Capacity is how much work the back end can do now, as a share of what it can usually
	// do. It is below 1 during a cold start, for example. 0 if not reported.
	Capacity float64 `json:"capacity,omitempty"`
	// Speed is set by an ingress, which is a back end in the agent's process; see Renew.
	Speed float64 `json:"-"`
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
	// Utilization ranges from 0 (idle) to 1 (full).
	Utilization float64 `json:"utilization"`
}

// BackendLease sends the back end the time at which its grants expire.
type BackendLease struct {
	Session uint64 `json:"session"`
	// ExpiresBootNanos is a reading of this machine's CLOCK_BOOTTIME.
	ExpiresBootNanos int64 `json:"expires_boot_ns"`
}

// BackendGrants is the complete list of shards that the back end owns.
type BackendGrants struct {
	Session uint64 `json:"session"`
	// Revision is 0 until control's first list for the session has arrived.
	Revision uint64 `json:"revision"`
	// Incarnation of the back end for which the list is intended.
	Incarnation string         `json:"incarnation,omitempty"`
	Grants      []BackendGrant `json:"grants"`
}

// BackendGrant is one owned shard.
type BackendGrant struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	// Token of the last owner's state. The owner returns it when it releases the shard, and
	// the next owner receives it with its grant. Optional.
	Token string `json:"token,omitempty"`
}

// BackendRelease asks the back end to finish running requests for shards and to release them.
type BackendRelease struct {
	Session uint64         `json:"session"`
	Shards  []BackendGrant `json:"shards"`
}

// BackendReleased lists the shards that the back end has released and runs no requests for.
type BackendReleased struct {
	Shards []BackendGrant `json:"shards"`
}
