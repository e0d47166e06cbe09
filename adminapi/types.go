// Package adminapi defines the HTTP/JSON interface for operators and a client for it.
// Paths and fields are stable; new ones may be added.
package adminapi

import (
	"limehold/catalog"
)

// Headers of the interface.
const (
	// HeaderCommandID carries the ID of a command. A command that is sent again under
	// the same ID takes effect once and gets the first answer.
	HeaderCommandID = "Limehold-Command-Id"
	// HeaderAuthorization carries "Bearer TOKEN".
	HeaderAuthorization = "Authorization"
)

// QueryRevision is the query parameter of an order with the revision on which it is based: the order is rejected if there
// was another one on its resource since. An order without it is answered with status 428, CodeBasisMissing and the newest
// revision, and is to be sent again with that if it still applies. For templates and services, 0 requires that the object
// does not exist.
const QueryRevision = "revision"

// CodeBasisMissing is the code of the answer to an order that does not name the revision on which it is based.
const CodeBasisMissing = "basis_missing"

// Error is the body of every answer that does not report success.
type Error struct {
	// Code is invalid, not_found, conflict, in_use, already_exists, read_only, not_leader, not_ready,
	// timeout, unauthorized, basis_missing or internal.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Revision is the current revision, for conflict, already_exists and basis_missing.
	Revision uint64 `json:"revision,omitempty"`
	// Step is the operation that failed, and Peer the process at which it failed.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Message + " (" + e.Code + ")"
	if e.Step != "" {
		text = e.Step + " at " + e.Peer + ": " + text
	}
	return text
}

// ChangeResult is the answer to an accepted change.
type ChangeResult struct {
	// Revision is the revision at which the change took effect.
	Revision uint64 `json:"revision"`
	// CommandID is the ID under which the change can be sent again.
	CommandID string `json:"command_id"`
	// InForce is true if every router either has the change or admits no requests
	// without it.
	InForce bool `json:"in_force"`
	// LaggingRouters lists the routers that do not have the change yet, if the request waited.
	LaggingRouters []Router `json:"behind,omitempty"`
}

// Template describes a template.
type Template struct {
	Name        string              `json:"name"`
	Description string              `json:"description,omitempty"`
	Parameters  []catalog.Parameter `json:"parameters"`
	Spec        string              `json:"spec"`
	Revision    uint64              `json:"revision"`
}

// Service describes a service.
type Service struct {
	Name     string            `json:"name"`
	Template string            `json:"template"`
	Values   map[string]string `json:"values"`
	State    string            `json:"state"`
	Revision uint64            `json:"revision"`
	Spec     catalog.Spec      `json:"spec"`
	// Shards counts the shards by phase.
	Shards map[string]int `json:"shards,omitempty"`
}

// CreateServiceRequest is the body of a request to create a service.
type CreateServiceRequest struct {
	Name     string            `json:"name"`
	Template string            `json:"template"`
	Values   map[string]string `json:"values"`
}

// UpdateServiceRequest is the body of a request to change a service.
type UpdateServiceRequest struct {
	Values map[string]string `json:"values"`
}

// Node describes a node.
type Node struct {
	Name       string `json:"name"`
	Session    uint64 `json:"session"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	Pool       string `json:"pool"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	DrainCause string `json:"drain_cause,omitempty"`
	// Revision is that of the newest order on the node, on which the next one can be based.
	Revision uint64 `json:"revision,omitempty"`
	Shards   int    `json:"shards"`
	// SilenceMillis is the time since the leader received the last renewal, in
	// milliseconds.
	SilenceMillis int64 `json:"silence_ms"`
	// Leased is set while the leader tracks a lease of the node, and if the leader does not answer. A node
	// that an operator drains stays listed without a lease while its back end is down.
	Leased bool `json:"leased"`
}

// Router describes a router.
type Router struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// AgeMillis is the time since the router last confirmed its view, in milliseconds.
	AgeMillis int64  `json:"age_ms"`
	Member    string `json:"member"`
}

// Member describes a member of the control group.
type Member struct {
	Name       string `json:"name"`
	ID         string `json:"id"`
	Address    string `json:"address"`
	Role       string `json:"role"`
	Alive      bool   `json:"alive"`
	MatchIndex uint64 `json:"match"`
	LostLog    bool   `json:"lost_log,omitempty"`
	// DiskFull is true if the member persists nothing because its disk is full.
	DiskFull bool `json:"disk_full,omitempty"`
}

// Status is an overview of the fleet.
type Status struct {
	Cluster string `json:"cluster"`
	Member  string `json:"member"`
	// Leader is the leader that answered. It is empty if no leader could be reached;
	// it is then unknown which processes are alive.
	Leader   string         `json:"leader"`
	Term     uint64         `json:"term"`
	Revision uint64         `json:"revision"`
	Services int            `json:"services"`
	Shards   map[string]int `json:"shards"`
	Nodes    []Node         `json:"nodes"`
	Routers  []Router       `json:"routers"`
	Members  []Member       `json:"members"`
	// ToleratedLosses is the number of further voters that the group can lose now.
	ToleratedLosses int `json:"tolerated_losses"`
}

// Event is an entry of the decision journal.
type Event struct {
	Revision uint64   `json:"revision"`
	At       string   `json:"at"`
	Kind     string   `json:"kind"`
	Service  string   `json:"service,omitempty"`
	Shards   []uint32 `json:"shards,omitempty"`
	From     string   `json:"from,omitempty"`
	To       string   `json:"to,omitempty"`
	Cause    string   `json:"cause"`
}

// Explanation reports which node owns a key, and why.
type Explanation struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Shard   uint32 `json:"shard"`
	Shards  int    `json:"shards"`
	Phase   string `json:"phase"`
	Owner   string `json:"owner"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	Target  string `json:"target,omitempty"`
	// Reason is one sentence.
	Reason string  `json:"reason"`
	Events []Event `json:"events"`
	// EventsDropped is true if older events were removed from the journal.
	EventsDropped bool `json:"events_dropped"`
}

// Order is an operator's order.
type Order struct {
	Revision uint64 `json:"revision"`
	At       string `json:"at"`
	Action   string `json:"action"`
	// Sender is the address that the order came from, and the member that it was sent to.
	Sender string `json:"sender"`
}

// DrainExplanation reports whether a zone or a node is drained, and why.
type DrainExplanation struct {
	// Resource is zone/NAME or node/NAME.
	Resource string `json:"resource"`
	State    string `json:"state"`
	// Revision is that of the newest order, on which the next one can be based.
	Revision uint64 `json:"revision"`
	// Newest is the newest order; absent if there is none, or if the newest were those of earlier versions.
	Newest *Order `json:"newest,omitempty"`
	// Reason is one sentence.
	Reason string  `json:"reason"`
	Events []Event `json:"events"`
	// EventsDropped is true if older events were removed from the journal.
	EventsDropped bool `json:"events_dropped"`
}

// States of a zone.
const (
	// ZoneInService means that the nodes of the zone receive work.
	ZoneInService = "in-service"
	// ZoneDraining means that the nodes receive no new work but still own shards.
	ZoneDraining = "draining"
	// ZoneDrained means that the nodes receive no new work and own no shards.
	ZoneDrained = "drained"
)

// Zone describes a zone.
type Zone struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Nodes  int    `json:"nodes"`
	Shards int    `json:"shards"`
	// Revision is that of the newest order on the zone, on which the next one can be based.
	Revision uint64 `json:"revision,omitempty"`
	// Since is when the zone was last drained or returned to service.
	Since string `json:"since,omitempty"`
}

// Tenant is a tenant of the route table.
type Tenant struct {
	Name string `json:"name"`
	// APIKeys is the number of the tenant's API keys.
	APIKeys int `json:"api_keys"`
	// Priority takes precedence over that of routes; absent if the tenant has none.
	Priority *int     `json:"priority,omitempty"`
	Regions  []string `json:"regions,omitempty"`
	// Rate and Burst are the tenant's quota; a rate of 0 means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Quota is the use of the quota, absent if there is no limit or no leader.
	Quota *QuotaUsage `json:"quota,omitempty"`
}

// QuotaUsage is the use of a tenant's quota since the present leader began.
type QuotaUsage struct {
	// Available is the number of requests that may run at once now, Capacity the largest such number.
	Available float64 `json:"available"`
	Capacity  float64 `json:"capacity"`
	// Granted and Refused count requests.
	Granted uint64 `json:"granted"`
	Refused uint64 `json:"refused"`
}

// ServiceLoad is the load of a service, by the reports that its instances send with their renewals.
type ServiceLoad struct {
	Service string `json:"service"`
	// Leader is the member that holds the reports. Empty if none answers; there are no reports then.
	Leader    string         `json:"leader"`
	Instances []InstanceLoad `json:"instances"`
	// Busiest lists the shards with the most work, the busiest first; absent for services without keys.
	Busiest []ShardLoad `json:"busiest,omitempty"`
}

// InstanceLoad is the load of one instance.
type InstanceLoad struct {
	Node     string `json:"node"`
	Session  uint64 `json:"session"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
	// Report is absent if the leader has none.
	Report *LoadReport `json:"report,omitempty"`
}

// LoadReport is the newest load report of an instance. Times are in seconds.
type LoadReport struct {
	// Pace is the work that the instance does in a given time, relative to the mean of its service; 0 if not known.
	Pace    float64 `json:"pace"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	// Refused is the number of requests a second that were rejected for want of room.
	Refused      float64 `json:"refused"`
	RunTime      float64 `json:"run_time"`
	SuccessShare float64 `json:"success_share"`
	Age          float64 `json:"age"`
}

// ShardLoad is the load of one shard.
type ShardLoad struct {
	Shard uint32 `json:"shard"`
	// First and Last are the keys of a range; absent for services that are divided by hash.
	First *uint32 `json:"first,omitempty"`
	Last  *uint32 `json:"last,omitempty"`
	// Work is what is asked of the shard, in milliseconds of service time a second.
	Work   float64 `json:"work"`
	Owner  string  `json:"owner,omitempty"`
	Phase  string  `json:"phase"`
	Target string  `json:"target,omitempty"`
}

// States of a request during which instances crashed.
const (
	// RequestSuspected means that the request was running during a crash and may still be run.
	RequestSuspected = "suspected"
	// RequestQuarantined means that no instance runs the request now.
	RequestQuarantined = "quarantined"
	// RequestOnTrial means that the request is quarantined except for one trial run.
	RequestOnTrial = "on-trial"
)

// SuspectRequest is a request during which instances crashed.
type SuspectRequest struct {
	Digest  string `json:"digest"`
	State   string `json:"state"`
	Service string `json:"service"`
	// Sample is the method, host and path of the request.
	Sample string `json:"sample"`
	// OneCaller is true if only one caller is affected and others may run the same request.
	OneCaller bool `json:"one_caller"`
	// Since is the time at which the request was quarantined. Empty if it is only suspected.
	Since   string          `json:"since,omitempty"`
	Trials  int             `json:"trials"`
	Crashes []InstanceCrash `json:"ends"`
}

// InstanceCrash is a crash of an instance.
type InstanceCrash struct {
	Instance string `json:"instance"`
	Node     string `json:"node"`
	Version  string `json:"version,omitempty"`
	At       string `json:"at"`
}

// MemberChangeRequest is the body of a request to add, replace or remove a member.
type MemberChangeRequest struct {
	Name    string `json:"name"`
	Address string `json:"address,omitempty"`
}

// Paths of the interface.
const (
	PathStatus    = "/v1/status"
	PathTemplates = "/v1/templates"
	PathServices  = "/v1/services"
	PathNodes     = "/v1/nodes"
	PathMembers   = "/v1/members"
	PathExplain   = "/v1/explain"
	PathJournal   = "/v1/journal"
	PathSnapshot  = "/v1/snapshot"
	PathZones     = "/v1/zones"
	PathTenants   = "/v1/tenants"
	PathLoad      = "/v1/load"
	// PathQuarantine lists requests during which instances crashed, and releases them
	// from quarantine.
	PathQuarantine = "/v1/quarantine"
)
