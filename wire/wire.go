// Package wire defines the messages between limehold's own processes. Each kind
// has one typed payload, encoded by package codec. A change of any of them raises
// ProtocolVersion: processes of different versions refuse each other.
package wire

import (
	"fmt"
	"time"

	"limehold/catalog"
	"limehold/consensus"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/quiescence"
	"limehold/routing"
)

// Kind names the payload of a frame.
type Kind uint8

// Kinds of frames. Numbers are part of the protocol.
const (
	KindReply      Kind = 1
	KindErrorReply Kind = 2
	KindHello      Kind = 3
	// KindPing asks whether anybody is there; KindPong is the answer. Both have no payload.
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

	// From agents to the leader.
	KindOpenSession Kind = 20
	KindRenew       Kind = 21
	KindReleased    Kind = 22
	KindDrainSelf   Kind = 23
	KindEndSession  Kind = 25
	// From the leader to agents.
	KindAssignments Kind = 24

	// From routers to any member.
	KindWatch   Kind = 30
	KindConfirm Kind = 31
	KindReport  Kind = 33
	KindTrial   Kind = 34
	// From members to routers.
	KindUpdate Kind = 32
)

// ProtocolVersion is compared at the start of each connection.
const ProtocolVersion = 11

// Role says what kind of process is at the other end.
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

// ErrorCode classifies an error for the caller's program.
type ErrorCode string

// Codes.
const (
	CodeNotLeader      ErrorCode = "not_leader"
	CodeNotReady       ErrorCode = "not_ready"
	CodeUnknownSession ErrorCode = "unknown_session"
	CodeInvalid        ErrorCode = "invalid"
	CodeNotFound       ErrorCode = "not_found"
	CodeTimeout        ErrorCode = "timeout"
	CodeInternal       ErrorCode = "internal"
)

// Error travels in place of a reply.
type Error struct {
	Code    ErrorCode
	Message string
	// Step that failed, and the process at which it failed.
	Step string
	Peer string
	// Leader is the leader's name, and LeaderAddress that of its listener, if known.
	Leader        string
	LeaderAddress string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %s (%s)", e.Step, e.Peer, e.Message, e.Code)
}

// Formation is exchanged by members that come up with empty data folders.
type Formation struct {
	Name     string
	ID       consensus.MemberID
	Address  string
	Formed   bool
	Existing consensus.Configuration
}

// Forward carries a command to the leader.
type Forward struct{ Command fleet.Command }

// ForwardReply carries its result.
type ForwardReply struct{ Result fleet.Result }

// ReadIndexReply tells up to which index a member must have applied the log for
// a read that begins now.
type ReadIndexReply struct{ Index uint64 }

// RouterStatus is what a member knows of a router.
type RouterStatus struct {
	Name string
	Zone string
	// Revision in force at the router.
	Revision uint64
	// Age of the newest confirmation.
	Age time.Duration
	// Member that the router is connected to.
	Member string
}

// MemberHealth is a control member as the leader sees it.
type MemberHealth struct {
	ID consensus.MemberID
	// Alive is true when the member answered the leader within the last second.
	Alive bool
	// Match is the last log index that the member is known to hold durably.
	Match   uint64
	LostLog bool
}

// NodeSilence is how long ago a session's newest renewal came.
type NodeSilence struct {
	Session membership.SessionID
	Silence time.Duration
}

// LeaderView is what only the leader knows: who answers it.
type LeaderView struct {
	Leader  string
	Members []MemberHealth
	Nodes   []NodeSilence
}

// RouterListReply lists the routers connected to a member.
type RouterListReply struct {
	Routers []RouterStatus
	// Up is how long the member has been running: it does not know of routers that
	// have not connected since.
	Up time.Duration
}

// OpenSession registers an agent's back end.
type OpenSession struct {
	Node membership.Node
	// PredecessorGone and Exclusive: see fleet.OpenSession.
	PredecessorGone bool
	Exclusive       bool
}

// OpenSessionReply gives the session. The agent opens with a Renew.
type OpenSessionReply struct {
	Session membership.SessionID
	// LeaseLength counts from the sending of a renewal.
	LeaseLength time.Duration
	RenewEvery  time.Duration
	// Fresh is set when the session was opened by this very request.
	Fresh bool
	// Former are the incarnations of the node's earlier sessions that are still open.
	Former []string
	// Term is that of the leader that answers.
	Term uint64
}

// Renew extends the session's lease.
type Renew struct {
	Session membership.SessionID
	// Revision of the newest Assignments that the agent has carried out.
	Revision uint64
	// InFlight and Health are the back end's, as the agent last saw them.
	InFlight int
	Healthy  bool
	// Capacity is how much work the back end does, relative to what is usual for its
	// slots; zero: it does not say.
	Capacity float64
	// Members is the version of the list of members that the agent has.
	Members uint64
	// Claim is what the node says of its grants.
	Claim quiescence.Claim
}

// RenewReply grants the lease from the moment the renewal was sent.
type RenewReply struct {
	LeaseLength time.Duration
	// Revision of the newest Assignments for the session.
	Revision uint64
	// Members is set when the agent's list of members is another one.
	Members *MemberList
	// Term is that of the leader that answers; see quiescence.Claim.
	Term uint64
}

// MemberList tells agents and routers where the control members are.
type MemberList struct {
	// Version changes with the list; it is a digest, and has no order.
	Version   uint64
	Addresses []string
}

// Assignment is one shard of a session.
type Assignment struct {
	Service string
	Shard   uint32
	Epoch   uint64
	// Release asks the owner to finish what is in flight and let go.
	Release bool
	// Token of the last owner's state, which the back end is given with the shard.
	Token string
}

// Assignments is a session's list of shards at a revision: the whole list, or
// with From the difference to the list at that revision. An agent ignores lists
// that are older than the newest one it has seen, and differences to one that it
// has not seen.
type Assignments struct {
	Session membership.SessionID
	// From is the revision that a difference builds on; zero for a whole list.
	From     uint64
	Revision uint64
	Draining bool
	Shards   []Assignment
	// Removed shards are no longer the session's; only in a difference.
	Removed []ownership.Key
}

// Released is an owner's word that it runs nothing for the shards any more.
type Released struct {
	Session membership.SessionID
	Shards  []fleet.ReleasedShard
	// Again: see fleet.Release.
	Again bool
}

// ReleasedReply tells the revision at which the release took effect.
type ReleasedReply struct{ Revision uint64 }

// DrainSelf asks control to move everything off the sender's node.
type DrainSelf struct {
	Session membership.SessionID
	Resume  bool
	Cause   string
}

// EndSession gives a session up: its back end is known to be gone.
//
// With Before it is those that the session has superseded: nothing is held of them any more.
type EndSession struct {
	Session membership.SessionID
	Before  bool
	// Process: see fleet.CloseSessions.
	Process uint64
	Cause   string
}

// Join asks to be admitted as a learner, and as a voter once one is needed.
type Join struct {
	ID      consensus.MemberID
	Name    string
	Address string
}

// JoinReply tells whether the member that answered could pass the request on.
type JoinReply struct{ Taken bool }

// Watch asks for everything that changed after a revision, and for all later
// changes. Services limits it to some services; empty means all.
type Watch struct {
	Router   string
	Zone     string
	Revision uint64
	Services []string
}

// ServiceView is a service as routers see it.
type ServiceView struct {
	Name     string
	Revision uint64
	Retiring bool
	Spec     catalog.Spec
}

// NodeView is a node as routers see it.
type NodeView struct {
	Session  membership.SessionID
	Name     string
	Zone     string
	Address  string
	Pool     string
	Slots    int
	Draining bool
	// Connections that the back end accepts.
	Connections int
	// Gated nodes keep their own limits; see membership.Node.
	Gated bool
	// Incarnation and Version of the back end; see membership.Node.
	Incarnation string
	Version     string
}

// ZoneView is a zone that was ever drained, as routers see it.
type ZoneView struct {
	Name string
	// Draining is set while nothing new may be sent to the zone's nodes.
	Draining bool
	// Revision at which that changed last.
	Revision uint64
}

// ShardView is a shard as routers see it; Owner zero means none.
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
	// From is the revision that the changes build on; zero for a snapshot.
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
	// Zones that were drained or taken back; in a snapshot all that ever were.
	Zones []ZoneView
	// Quarantine are the records of requests that are new, changed or gone; in a snapshot all.
	Quarantine []quarantine.Row
}

// Confirm asks whether the router's view is current. The router counts its
// freshness from the moment at which it sent this.
type Confirm struct {
	Router string
	Zone   string
	// Revision in force at the router.
	Revision uint64
	// Work done for shards since the last report.
	Work []ShardWork
	// Members is the version of the list of members that the router has.
	Members uint64
}

// ShardWork is the work that a router sent to the shards of one service.
type ShardWork struct {
	Service string
	Shards  []uint32
	// Work in milliseconds of service time, parallel to Shards.
	Work []float32
}

// Report tells control what a process has observed. It is acknowledged once it is durable,
// and told again until then.
type Report struct {
	Router  string
	Reports []fleet.Report
}

// Trial asks for the trial of a quarantined request.
type Trial struct {
	Router string
	Digest quarantine.Digest
	Number uint64
}

// TrialReply says whether the router that asked has it.
type TrialReply struct{ Given bool }

// ConfirmReply tells the revision that a router must have in force to be as
// current as the moment at which it sent its Confirm.
type ConfirmReply struct {
	Revision uint64
	// Members is set when the router's list of members is another one.
	Members *MemberList
}

// AssignmentOf builds the agent's view of a shard.
func AssignmentOf(key ownership.Key, shard ownership.Shard) Assignment {
	return Assignment{
		Service: key.Service, Shard: key.Shard, Epoch: shard.Epoch,
		Release: shard.Phase == ownership.PhaseReleasing, Token: shard.Token,
	}
}
