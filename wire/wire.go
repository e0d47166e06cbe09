// Package wire defines the messages between limehold's own processes. Each kind
// has one typed payload, encoded by package codec. Any change to them raises
// ProtocolVersion: processes of different versions reject each other.
package wire

import (
	"fmt"
	"time"

	"limehold/catalog"
	"limehold/consensus"
	"limehold/departure"
	"limehold/fleet"
	"limehold/loadview"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/quiescence"
	"limehold/quota"
	"limehold/routing"
)

// Kind identifies the payload of a frame.
type Kind uint8

// Kinds of frames. Numbers are part of the protocol.
const (
	KindReply      Kind = 1
	KindErrorReply Kind = 2
	KindHello      Kind = 3
	// KindPing checks whether the peer is alive; KindPong is the answer. Both have no payload.
	KindPing Kind = 4
	KindPong Kind = 5

	// Between control members.
	KindConsensus  Kind = 10
	KindFormation  Kind = 11
	KindForward    Kind = 12
	KindReadIndex  Kind = 13
	KindRouterList Kind = 14
	KindLoadRelay  Kind = 15
	KindLeaderView Kind = 16
	// From a process that wants to become a member, to any member.
	KindJoin Kind = 17
	// From a stopping voter to the leader. Members of earlier versions answer it with an error.
	KindLeave Kind = 18
	// KindForwardOrder is KindForward for a command with an Order. Members of earlier versions answer it with an error.
	KindForwardOrder Kind = 19

	// From agents to the leader.
	KindOpenSession Kind = 20
	KindRenew       Kind = 21
	KindReleased    Kind = 22
	KindDrainSelf   Kind = 23
	KindEndSession  Kind = 25
	// From agents to the leader, and to any member. Members of earlier versions answer both with an error.
	KindRecordDeparture Kind = 26
	KindDepartures      Kind = 27
	// From the leader to agents.
	KindAssignments Kind = 24

	// From routers to any member.
	KindWatch   Kind = 30
	KindConfirm Kind = 31
	KindReport  Kind = 33
	KindTrial   Kind = 34
	// KindTakeQuota comes from routers to any member, and from a member to the leader.
	KindTakeQuota Kind = 35
	// From members to routers.
	KindUpdate Kind = 32
)

// ProtocolVersion is compared when a connection is established.
const ProtocolVersion = 13

// Role is the kind of process at one end of a connection.
type Role string

// Roles.
const (
	RoleControl Role = "control"
	RoleRouter  Role = "router"
	RoleAgent   Role = "agent"
)

// Hello is the first frame in each direction.
type Hello struct {
	Version int
	Cluster string
	Role    Role
	Name    string
	// Member is set by control members.
	Member consensus.MemberID
}

// ErrorCode classifies an error for programs.
type ErrorCode string

// Codes.
const (
	CodeNotLeader      ErrorCode = "not_leader"
	CodeNotReady       ErrorCode = "not_ready"
	CodeUnknownSession ErrorCode = "unknown_session"
	CodeInvalid        ErrorCode = "invalid"
	CodeNotFound       ErrorCode = "not_found"
	CodeTimeout        ErrorCode = "timeout"
	// CodeDiskFull is returned for a change that was not taken because disks of the group are full.
	CodeDiskFull ErrorCode = "disk_full"
	CodeInternal ErrorCode = "internal"
)

// Error is sent in place of a reply.
type Error struct {
	Code    ErrorCode
	Message string
	// Step is the operation that failed, and Peer the process in which it failed.
	Step string
	Peer string
	// Leader is the leader's name, and LeaderAddress its listener's address, if known.
	Leader        string
	LeaderAddress string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %s (%s)", e.Step, e.Peer, e.Message, e.Code)
}

// Formation describes a member to another one that is waiting to form or join a group. Existing is
// the configuration of the described member's group if Formed is true.
type Formation struct {
	Name     string
	ID       consensus.MemberID
	Address  string
	Formed   bool
	Existing consensus.Configuration
}

// Forward carries a command to the leader.
type Forward struct{ Command fleet.Command }

// ForwardReply carries the result of a forwarded command.
type ForwardReply struct{ Result fleet.Result }

// ReadIndexReply returns the log index that a member must have applied before it
// answers a read that begins now.
type ReadIndexReply struct{ Index uint64 }

// RouterStatus is a member's view of a router.
type RouterStatus struct {
	Name string
	Zone string
	// Revision in force at the router.
	Revision uint64
	// Age of the newest confirmation.
	Age time.Duration
	// Member to which the router is connected.
	Member string
}

// MemberHealth is the leader's view of a control member.
type MemberHealth struct {
	ID consensus.MemberID
	// Alive is true if the member answered the leader within the last second.
	Alive bool
	// Match is the last log index that the member is known to hold durably; for the leader
	// itself, the last index of its log.
	Match   uint64
	LostLog bool
	// DiskFull is true if the member persists nothing because its disk is full.
	DiskFull bool
}

// NodeSilence is the time since a session's newest renewal.
type NodeSilence struct {
	Session membership.SessionID
	Silence time.Duration
}

// LeaderView holds state that only the leader has: which members and nodes respond to it.
type LeaderView struct {
	Leader  string
	Members []MemberHealth
	Nodes   []NodeSilence
	// Quotas is the use of the tenants' quotas.
	Quotas []quota.Usage
	// Loads holds the newest load reports of nodes, and Busiest the shards with the most work of each service.
	Loads   []NodeLoad
	Busiest []ShardLoad
}

// NodeLoad is the newest load report of a session's node, and its age.
type NodeLoad struct {
	Session membership.SessionID
	Report  loadview.Report
	Age     time.Duration
}

// ShardLoad is the work of a shard, in milliseconds of service time a second.
type ShardLoad struct {
	Key  ownership.Key
	Rate float64
}

// RouterListReply lists the routers connected to a member.
type RouterListReply struct {
	Routers []RouterStatus
	// Up is how long the member has been running. Routers that have not connected since
	// then are missing from the list.
	Up time.Duration
}

// OpenSession registers an agent's back end.
type OpenSession struct {
	Node membership.Node
	// PredecessorsEnded and Exclusive are documented in fleet.OpenSession.
	PredecessorsEnded bool
	Exclusive         bool
}

// OpenSessionReply returns the session. The agent then obtains its lease with a Renew.
type OpenSessionReply struct {
	Session membership.SessionID
	// LeaseLength is measured from the sending of a renewal.
	LeaseLength time.Duration
	RenewEvery  time.Duration
	// Created is set if this request opened the session.
	Created bool
	// SupersededIncarnations lists the incarnations of the node's earlier sessions that are still open.
	SupersededIncarnations []string
	// Term of the leader that answers.
	Term uint64
}

// Renew extends the session's lease.
type Renew struct {
	Session membership.SessionID
	// Revision of the newest Assignments that the agent has applied.
	Revision uint64
	// InFlight and Health are the back end's, as last observed by the agent.
	InFlight int
	Healthy  bool
	// Capacity is how much work the back end can do now, as a share of what it can usually do.
	// 0 if not reported.
	Capacity float64
	// Speed is the factor of Capacity by which the back end says that it works faster than usual; 0 if not reported.
	// A pace that was measured contains it already.
	Speed float64
	// Load is the back end's load; not set if it is not measured.
	Load loadview.Report
	// MembersVersion is the version of the agent's list of members.
	MembersVersion uint64
	// Claim is the node's statement about its grants.
	Claim quiescence.Claim
}

// RenewReply extends the lease. The extension counts from the sending of the renewal.
type RenewReply struct {
	LeaseLength time.Duration
	// Revision of the newest Assignments for the session.
	Revision uint64
	// Members is set if the agent's list of members is outdated.
	Members *MemberList
	// Term of the leader that answers; see quiescence.Claim.
	Term uint64
}

// MemberList sends agents and routers the addresses of the control members.
type MemberList struct {
	// Version identifies the list. It is a digest, so versions are not ordered.
	Version   uint64
	Addresses []string
}

// Assignment is one shard of a session.
type Assignment struct {
	Service string
	Shard   uint32
	Epoch   uint64
	// Release asks the owner to finish running requests and to release the shard.
	Release bool
	// Token of the last owner's state, passed to the back end with the shard.
	Token string
}

// Assignments is a session's list of shards at a revision: the complete list or, if
// From is set, the difference from the list at revision From. An agent ignores lists
// that are older than the newest one it has received, and differences from a list
// that it has not received.
type Assignments struct {
	Session membership.SessionID
	// From is the revision that a difference builds on, 0 for a complete list.
	From     uint64
	Revision uint64
	Draining bool
	Shards   []Assignment
	// Removed lists shards that the session no longer owns; only in a difference.
	Removed []ownership.Key
}

// Released is an owner's report that it no longer runs requests for the shards.
type Released struct {
	Session membership.SessionID
	Shards  []fleet.ReleasedShard
	// Reassign is documented in fleet.Release.
	Reassign bool
}

// ReleasedReply returns the revision at which the release took effect.
type ReleasedReply struct{ Revision uint64 }

// DrainSelf asks control to move all shards off the sender's node, or to resume the node.
type DrainSelf struct {
	Session membership.SessionID
	Resume  bool
	Cause   string
}

// RecordDeparture asks control to keep what the instance of the sender's node has announced about its end.
type RecordDeparture struct{ Notice departure.Notice }

// DeparturesReply lists the departures of the sender's node that were recorded before the request.
type DeparturesReply struct{ Notices departure.List }

// EndSession closes a session whose back end is known to have ended. With CloseSuperseded set, it
// closes the sessions that Session has superseded instead, because their grants are no longer held.
type EndSession struct {
	Session         membership.SessionID
	CloseSuperseded bool
	// Process is documented in fleet.CloseSessions.
	Process uint64
	Cause   string
}

// Join requests admission as a learner, and promotion to voter when a further voter is needed.
type Join struct {
	ID      consensus.MemberID
	Name    string
	Address string
}

// JoinReply reports whether the answering member, as the leader, recorded the request or, as a
// follower, sent it on to the leader.
type JoinReply struct{ Forwarded bool }

// Leave asks the leader to give the vote of a stopping member to a learner.
type Leave struct{ ID consensus.MemberID }

// LeaveReply names the learner that votes now in place of the stopping member, or is empty if no learner holds the
// log.
type LeaveReply struct{ Successor string }

// Watch subscribes to everything that changed after a revision, and to all later
// changes. Services limits it to the named services; empty means all.
type Watch struct {
	Router   string
	Zone     string
	Revision uint64
	Services []string
}

// ServiceView is a service as sent to routers.
type ServiceView struct {
	Name     string
	Revision uint64
	Retiring bool
	Spec     catalog.Spec
}

// NodeView is a node as sent to routers.
type NodeView struct {
	Session  membership.SessionID
	Name     string
	Zone     string
	Address  string
	Pool     string
	Slots    int
	Draining bool
	// Connections is the number of connections that the back end accepts.
	Connections int
	// SelfLimited nodes enforce their own limits; see membership.Node.
	SelfLimited bool
	// Incarnation and Version of the back end; see membership.Node.
	Incarnation string
	Version     string
}

// ZoneView is a zone that has ever been drained, as sent to routers.
type ZoneView struct {
	Name string
	// Draining is set while no new requests may be sent to the zone's nodes.
	Draining bool
	// Revision at which Draining last changed.
	Revision uint64
}

// ShardView is a shard as sent to routers. Owner is 0 if there is none.
type ShardView struct {
	Shard     uint32
	Owner     membership.SessionID
	Epoch     uint64
	Releasing bool
}

// ServiceShards lists changed shards of one service.
type ServiceShards struct {
	Service string
	Shards  []ShardView
}

// Update carries a snapshot or the changes up to Revision.
type Update struct {
	// From is the revision that the changes build on, 0 for a snapshot.
	From     uint64
	Revision uint64
	Snapshot bool

	Services        []ServiceView
	RemovedServices []string
	Nodes           []NodeView
	RemovedNodes    []membership.SessionID
	Shards          []ServiceShards
	// Routes changes the route table; in a snapshot it is the whole table.
	Routes *routing.Change
	// Zones lists the zones that were drained or returned to service; in a snapshot, all
	// that have ever been drained.
	Zones []ZoneView
	// Quarantine lists records that were added, changed or removed; in a snapshot, all.
	Quarantine []quarantine.View
}

// Confirm requests confirmation that the router's view is current. The router measures the
// staleness of its view from the moment at which it sent this request.
type Confirm struct {
	Router string
	Zone   string
	// Revision in force at the router.
	Revision uint64
	// Work that the router has sent to shards since it last reported any; not set in every Confirm. In a
	// KindLoadRelay frame, only Work is set.
	Work []ShardWork
	// MembersVersion is the version of the router's list of members.
	MembersVersion uint64
}

// ShardWork is the work that a router sent to the shards of one service.
type ShardWork struct {
	Service string
	Shards  []uint32
	// Work in milliseconds of service time, parallel to Shards.
	Work []float32
}

// Report sends control the observations of a process. It is acknowledged once it is
// durable, and resent until then.
type Report struct {
	Router  string
	Reports []fleet.Report
}

// Trial requests the trial of a quarantined request.
type Trial struct {
	Router string
	Digest quarantine.Digest
	Number uint64
}

// TrialReply reports whether the requesting router holds the trial.
type TrialReply struct{ Granted bool }

// TakeQuota requests tokens for the requests of tenants with a quota.
type TakeQuota struct {
	Router string
	Wants  []quota.Want
}

// TakeQuotaReply holds a grant for each want, in the same order.
type TakeQuotaReply struct{ Grants []quota.Grant }

// ConfirmReply returns the revision that a router must have applied for its view to
// be as current as the moment at which it sent its Confirm.
type ConfirmReply struct {
	Revision uint64
	// Members is set if the router's list of members is outdated.
	Members *MemberList
}

// AssignmentOf returns a shard as sent to its owner's agent.
func AssignmentOf(key ownership.Key, shard ownership.Shard) Assignment {
	return Assignment{
		Service: key.Service, Shard: key.Shard, Epoch: shard.Epoch,
		Release: shard.Phase == ownership.PhaseReleasing, Token: shard.Token,
	}
}
