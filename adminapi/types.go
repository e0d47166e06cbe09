// Package adminapi is the operators' HTTP/JSON interface: its types, and a
// client for it. Paths and fields are stable; new ones may be added.
package adminapi

import (
	"limehold/catalog"
)

// Headers of the interface.
const (
	// HeaderCommandID carries the command's ID; a command that is sent again
	// under the same ID takes effect once and gets the first answer.
	HeaderCommandID = "Limehold-Command-Id"
	// HeaderAuthorization carries "Bearer TOKEN".
	HeaderAuthorization = "Authorization"
)

// Error is the body of every answer that is not a success.
type Error struct {
	// Code is invalid, not_found, conflict, in_use, already_exists, not_leader,
	// timeout, unauthorized or internal.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Revision now in force, for a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// Step and Peer at which the error arose.
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

// Changed is the answer to an accepted change.
type Changed struct {
	// Revision at which the change took effect.
	Revision uint64 `json:"revision"`
	// CommandID under which it can be sent again.
	CommandID string `json:"command_id"`
	// InForce is true when every router has it, or admits nothing without it.
	InForce bool `json:"in_force"`
	// Behind lists the routers that do not have it yet, when waited for.
	Behind []Router `json:"behind,omitempty"`
}

// Template as operators see it.
type Template struct {
	Name        string              `json:"name"`
	Description string              `json:"description,omitempty"`
	Parameters  []catalog.Parameter `json:"parameters"`
	Spec        string              `json:"spec"`
	Revision    uint64              `json:"revision"`
}

// Service as operators see it.
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

// CreateService is the body of a creation.
type CreateService struct {
	Name     string            `json:"name"`
	Template string            `json:"template"`
	Values   map[string]string `json:"values"`
}

// UpdateService is the body of a change.
type UpdateService struct {
	Values map[string]string `json:"values"`
}

// Node as operators see it.
type Node struct {
	Name       string `json:"name"`
	Session    uint64 `json:"session"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	Pool       string `json:"pool"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	DrainCause string `json:"drain_cause,omitempty"`
	Shards     int    `json:"shards"`
	// SilenceMillis is how long ago the newest renewal came, as the leader sees it.
	SilenceMillis int64 `json:"silence_ms"`
}

// Router as operators see it.
type Router struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// AgeMillis is how long ago the router last confirmed its view.
	AgeMillis int64  `json:"age_ms"`
	Member    string `json:"member"`
}

// Member of the control group.
type Member struct {
	Name    string `json:"name"`
	ID      string `json:"id"`
	Address string `json:"address"`
	Role    string `json:"role"`
	Alive   bool   `json:"alive"`
	Match   uint64 `json:"match"`
	LostLog bool   `json:"lost_log,omitempty"`
}

// Status is an overview.
type Status struct {
	Cluster string `json:"cluster"`
	Member  string `json:"member"`
	// Leader that answered; empty when none could be asked: then nothing is
	// known of who is alive.
	Leader   string         `json:"leader"`
	Term     uint64         `json:"term"`
	Revision uint64         `json:"revision"`
	Services int            `json:"services"`
	Shards   map[string]int `json:"shards"`
	Nodes    []Node         `json:"nodes"`
	Routers  []Router       `json:"routers"`
	Members  []Member       `json:"members"`
	// Losses that the group tolerates in its present state.
	ToleratedLosses int `json:"tolerated_losses"`
}

// Event of the decision journal.
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

// Explanation tells where a key lives and why.
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
	// Reason in one sentence.
	Reason string  `json:"reason"`
	Events []Event `json:"events"`
	// EventsDropped is true when older events have made room.
	EventsDropped bool `json:"events_dropped"`
}

// States of a zone.
const (
	// ZoneInService: its nodes get work.
	ZoneInService = "in-service"
	// ZoneDraining: nothing new is sent to its nodes, and they still own shards.
	ZoneDraining = "draining"
	// ZoneDrained: nothing new is sent to its nodes, and they own nothing.
	ZoneDrained = "drained"
)

// Zone as operators see it.
type Zone struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Nodes  int    `json:"nodes"`
	Shards int    `json:"shards"`
	// Revision and Since are when operators drained it or took it back last.
	Revision uint64 `json:"revision,omitempty"`
	Since    string `json:"since,omitempty"`
}

// States of a request under which instances have ended.
const (
	// RequestSuspected: it was running at an end, and runs.
	RequestSuspected = "suspected"
	// RequestQuarantined: no instance runs it any more.
	RequestQuarantined = "quarantined"
	// RequestOnTrial: it is quarantined but for one run.
	RequestOnTrial = "on-trial"
)

// SuspectRequest is a request under which instances have ended.
type SuspectRequest struct {
	Digest  string `json:"digest"`
	State   string `json:"state"`
	Service string `json:"service"`
	// Sample is its method, host and path.
	Sample string `json:"sample"`
	// OneCaller is set where others are served the same.
	OneCaller bool `json:"one_caller"`
	// Since when it has been quarantined.
	Since  string        `json:"since,omitempty"`
	Trials int           `json:"trials"`
	Ends   []InstanceEnd `json:"ends"`
}

// InstanceEnd is an end of an instance.
type InstanceEnd struct {
	Instance string `json:"instance"`
	Node     string `json:"node"`
	Version  string `json:"version,omitempty"`
	At       string `json:"at"`
}

// MemberChange is the body of a change of members.
type MemberChange struct {
	Name    string `json:"name"`
	Address string `json:"address,omitempty"`
}

// Path of the interface.
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
	// PathQuarantine lists requests under which instances have ended, and releases them.
	PathQuarantine = "/v1/quarantine"
)
