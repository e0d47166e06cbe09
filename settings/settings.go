// Package settings holds the configuration of all processes as one typed tree.
//
// Values come from, later ones winning: the defaults below, the settings file
// (YAML), the environment (LIMEHOLD_ and the path in capitals, for example
// LIMEHOLD_CONTROL_LISTEN), and flags (--set control.listen=ADDRESS).
package settings

import "time"

// Settings is the tree. Each process reads the common part and its own section.
type Settings struct {
	// Cluster must be the same in all processes that belong together. Default "limehold".
	Cluster string `yaml:"cluster"`
	// Name of this process, unique within its role. Required.
	Name string `yaml:"name"`
	// Zone in which this process runs. Required for routers and agents.
	Zone string `yaml:"zone"`
	// Zones lists all zones of the deployment. When given, Zone must be one of them.
	Zones []string `yaml:"zones"`
	// DataFolder holds everything that must survive. Required for control.
	DataFolder string `yaml:"data_folder"`

	Discovery Discovery `yaml:"discovery"`

	Log     Log     `yaml:"log"`
	Admin   Admin   `yaml:"admin"`
	TLS     TLS     `yaml:"tls"`
	Control Control `yaml:"control"`
	Router  Router  `yaml:"router"`
	Agent   Agent   `yaml:"agent"`
	Ingress Ingress `yaml:"ingress"`
	Headers Headers `yaml:"headers"`
	Runtime Runtime `yaml:"runtime"`
}

// Discovery tells where control is found, in deployments that know some of its
// addresses only. The members that are found tell of all the others.
type Discovery struct {
	// Seeds lists IP:port of processes beside which a control listener stands.
	Seeds []string `yaml:"seeds"`
	// Port of every control listener, in place of the seeds' own ports. Zero: the
	// seeds are control listeners themselves. Default 0.
	Port int `yaml:"port"`
}

// Log configures logging to standard output.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level"`
}

// Admin configures the operators' HTTP listener.
type Admin struct {
	// Listen is host:port. Default 127.0.0.1:0 (a free port, written to the log).
	Listen string `yaml:"listen"`
	// TokenFile holds the token that operators must present. Empty: no token.
	TokenFile string `yaml:"token_file"`
}

// TLS names the PEM files that secure connections between limehold's processes.
type TLS struct {
	// Certificate of this process, common name "role:name". Empty: plain TCP.
	Certificate string `yaml:"certificate"`
	// Key of the certificate.
	Key string `yaml:"key"`
	// Authorities that sign the certificates of all processes.
	Authorities string `yaml:"authorities"`
}

// Peer is a control member's name and address.
type Peer struct {
	// Name as in that member's settings.
	Name string `yaml:"name"`
	// Address is host:port of its control listener.
	Address string `yaml:"address"`
}

// Control configures a control member.
type Control struct {
	// Listen is host:port for members, agents and routers. Default 127.0.0.1:0.
	Listen string `yaml:"listen"`
	// Advertise is the address that others dial. Default: Listen.
	Advertise string `yaml:"advertise"`
	// Members lists the control members that form the group, this one included.
	Members []Peer `yaml:"members"`
	// Join is set on a member that is to be admitted by an operator. Default false.
	Join bool `yaml:"join"`
	// Seeds lists control listeners at which a group can be found, in place of
	// Members. A member whose folder is empty asks there to be admitted. Default:
	// discovery.seeds.
	Seeds []string `yaml:"seeds"`
	// Form lets the seeds, and only them, form the group when none of them belongs
	// to one. Set it at the very first start of the whole deployment only. Default false.
	Form bool `yaml:"form"`
	// Voters is how many members vote; those beyond are learners, and take the place
	// of a voter that is lost. Zero: members change by operators' commands only.
	// Default 0, or what ToleratedLosses needs.
	Voters int `yaml:"voters"`
	// ToleratedLosses is how many voters may be lost at once; Voters is then twice
	// that and one. Zero: Voters says it. Default 0.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// ReplaceAfter is how long a voter may be silent before a learner takes its
	// place. Default 3s.
	ReplaceAfter time.Duration `yaml:"replace_after"`
	// DialOverrides replaces the address under which this process reaches a
	// member (name: host:port), where addresses are translated on the way.
	DialOverrides map[string]string `yaml:"dial_overrides"`
	Timing        Timing            `yaml:"timing"`
	// LeaseLength is how long a node may act after sending a renewal. Default 500ms.
	LeaseLength time.Duration `yaml:"lease_length"`
	// RenewEvery is the interval of renewals. Default 100ms.
	RenewEvery time.Duration `yaml:"renew_every"`
	// PlaceEvery is the interval of placement rounds. Default 1s.
	PlaceEvery time.Duration `yaml:"place_every"`
	// SnapshotEvery is the number of log entries after which the log is compacted. Default 2000.
	SnapshotEvery int `yaml:"snapshot_every"`
	// SegmentBytes is the size of a log segment. Default 67108864.
	SegmentBytes int64 `yaml:"segment_bytes"`
	// PlatformURL is the address of the platform's machine list. Empty: none.
	PlatformURL string `yaml:"platform_url"`
	// PlatformEvery is the interval at which the list is read. Default 1s.
	PlatformEvery time.Duration `yaml:"platform_every"`
	// Placement is weighted, hash or greedy; the latter two are baselines. Default weighted.
	Placement string `yaml:"placement"`
	// WarmUp is how long a new node counts for less than its capacity. Default 10s.
	WarmUp time.Duration `yaml:"warm_up"`
	// LoadHalfLife smooths the measured load of shards. Default 5s.
	LoadHalfLife time.Duration `yaml:"load_half_life"`
}

// Timing configures the replication protocol; all members need the same values.
type Timing struct {
	// Heartbeat of the leader. Default 40ms.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// ElectionMin is the shortest silence before an election. Default 200ms.
	ElectionMin time.Duration `yaml:"election_min"`
	// ElectionMax is the longest silence before an election. Default 350ms.
	ElectionMax time.Duration `yaml:"election_max"`
	// DriftPermille bounds the rate error between two machines' clocks. Default 10.
	DriftPermille int `yaml:"drift_permille"`
}

// Router configures a router.
type Router struct {
	// Listen is host:port for callers. Default 127.0.0.1:0.
	Listen string `yaml:"listen"`
	// Control lists the addresses of control members, tried in turn. Required.
	Control []string `yaml:"control"`
	// Services limits the router to these services. Empty: all.
	Services []string `yaml:"services"`
	// ConfirmEvery is the interval at which the router confirms that its view
	// is current. Default 250ms.
	ConfirmEvery time.Duration `yaml:"confirm_every"`
	// MaxHeaderBytes bounds a request's header. Default 16384.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxConnections bounds the callers' connections. Default 20000.
	MaxConnections int `yaml:"max_connections"`
	// IdleTimeout closes callers' connections that are idle. Default 60s.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// DrainTimeout bounds how long a stopping router finishes requests. Default 30s.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// CloseNotice is how long a stopping router goes on serving callers that do not know
	// it yet, and keeps idle connections open for those that are about to use one.
	// Longer than callers keep theirs. Default 2s.
	CloseNotice time.Duration `yaml:"close_notice"`
	// Balance is own_observation or round_robin; the latter is a baseline.
	// Default own_observation.
	Balance string `yaml:"balance"`
	// Limits is adaptive (a shed answer lowers an instance's limit) or fixed (the
	// instance's slots at each router; a baseline). Default adaptive.
	Limits string `yaml:"limits"`
	// RetryAfter is the least time after which callers of the route table are told
	// to come back when their request has not run. Default 1s.
	RetryAfter time.Duration `yaml:"retry_after"`
	// FractionalRetryAfter writes Retry-After with fractions of seconds, for callers
	// that understand them. Default false.
	FractionalRetryAfter bool `yaml:"fractional_retry_after"`
	// Certificate and Key secure callers' connections. Empty: plain HTTP.
	Certificate string `yaml:"certificate"`
	// Key of the certificate.
	Key string `yaml:"key"`
}

// Agent configures an agent.
type Agent struct {
	// Backend is host:port of the back end that runs beside the agent. Required.
	Backend string `yaml:"backend"`
	// Advertise is the address under which routers reach the back end. Default: Backend.
	Advertise string `yaml:"advertise"`
	// Pool of services that the back end serves. Required.
	Pool string `yaml:"pool"`
	// Slots is how many requests the back end runs at once. Default 18.
	Slots int `yaml:"slots"`
	// Connections that the back end accepts. Default 100.
	Connections int `yaml:"connections"`
	// Control lists the addresses of control members, tried in turn. Required.
	Control []string `yaml:"control"`
	// ProbeEvery is the interval of health probes. Default 100ms.
	ProbeEvery time.Duration `yaml:"probe_every"`
	// StopTimeout bounds how long a stopping agent waits for its shards to be
	// moved away. Default 20s.
	StopTimeout time.Duration `yaml:"stop_timeout"`
	// StopMode is drain (move the shards away, then stop) or restart (stop at
	// once; the agent that follows within the lease keeps the shards). Default drain.
	StopMode string `yaml:"stop_mode"`
}

// Ingress configures the only way to the instance beside it.
type Ingress struct {
	// Listen is host:port for requests from routers. Required for a sidecar.
	Listen string `yaml:"listen"`
	// Instance is host:port of the instance. Required for a sidecar.
	Instance string `yaml:"instance"`
	// Readiness is host:port at which any GET is answered 200 while callers may be
	// sent here, 503 otherwise. Empty: none.
	Readiness string `yaml:"readiness"`
	// QueueTime bounds how long a request may wait for one of the instance's slots,
	// as a share of its target latency. Default 0.2.
	QueueTime float64 `yaml:"queue_time"`
	// SlotShare is the part of the instance's slots that are used at once: some get
	// slower when nearly all are. Default 1.
	SlotShare float64 `yaml:"slot_share"`
	// AnnounceEvery is how often the instance announces itself. Default 1s.
	AnnounceEvery time.Duration `yaml:"announce_every"`
	// DrainTime is how long after a departure was acknowledged requests may still
	// reach the instance. Default 2s.
	DrainTime time.Duration `yaml:"drain_time"`
	// ZoneDrainTime is how long after a zone was drained requests may still reach its
	// instances. Default 5s.
	ZoneDrainTime time.Duration `yaml:"zone_drain_time"`
	// HoldTime is the longest that the instance is given keys for at once. Default 10s.
	HoldTime time.Duration `yaml:"hold_time"`
	// GrantBy is how the instance is told which keys it holds: call (limehold calls it)
	// or heartbeat (in the answers to its heartbeats). Default call.
	GrantBy string `yaml:"grant_by"`
	// HeartbeatWait is how long the answer to a heartbeat may wait for something new to
	// tell, in the way heartbeat. Zero: it never waits. Default 0s.
	HeartbeatWait time.Duration `yaml:"heartbeat_wait"`
	// LinkMbps is the speed of the machine's link in megabits a second: large answers of
	// the instance are sent one after the other at a little less. Zero: it is not known,
	// and they are sent side by side. Default 0.
	LinkMbps float64 `yaml:"link_mbps"`
	// StopTime is how long a stopping sidecar finishes requests. Default 5s.
	StopTime time.Duration `yaml:"stop_time"`
	// StopNotice is how long, of that, it takes new requests of other machines: nobody
	// else can reach the instance. Default 2s.
	StopNotice time.Duration `yaml:"stop_notice"`
}

// Headers names the header fields at the callers and at the instances.
type Headers struct {
	// RequestID names a request. Default X-Request-Id.
	RequestID string `yaml:"request_id"`
	// Deadline is how many milliseconds the caller waits. Default Limehold-Timeout-Ms.
	Deadline string `yaml:"deadline"`
	// Caller is the service from whose machine the request comes; it is always
	// overwritten. Empty: not sent.
	Caller string `yaml:"caller"`
	// Key is the number that a keyed service is divided by.
	Key string `yaml:"key"`
	// Instance is the identity of the instance that a request is for.
	Instance string `yaml:"instance"`
	// NotRun marks an instance's answer to a request that it did not run.
	NotRun string `yaml:"not_run"`
	// Load is an instance's load: running, waiting, slots.
	Load string `yaml:"load"`
	// Identity is, in answers of an instance's health path, the identity of the one that
	// answers. Empty: it does not say.
	Identity string `yaml:"identity"`
	// Cold is, in the same answers, for how many milliseconds the instance is still cold.
	// Empty: it does not say.
	Cold string `yaml:"cold"`
}

// Runtime bounds what the process takes of its machine.
type Runtime struct {
	// MemoryMB is the memory that the process may use; its garbage collector keeps
	// below seven tenths of it. Zero: no bound. Default 0.
	MemoryMB int `yaml:"memory_mb"`
}

// Default returns the tree with every default filled in.
func Default() Settings {
	return Settings{
		Cluster: "limehold",
		Log:     Log{Level: "info"},
		Admin:   Admin{Listen: "127.0.0.1:0"},
		Control: Control{
			Listen: "127.0.0.1:0",
			Timing: Timing{
				Heartbeat: 40 * time.Millisecond, ElectionMin: 200 * time.Millisecond,
				ElectionMax: 350 * time.Millisecond, DriftPermille: 10,
			},
			LeaseLength: 500 * time.Millisecond, RenewEvery: 100 * time.Millisecond,
			PlaceEvery: time.Second, SnapshotEvery: 2000, SegmentBytes: 64 << 20,
			PlatformEvery: time.Second, Placement: PlacementWeighted,
			WarmUp: 10 * time.Second, LoadHalfLife: 5 * time.Second, ReplaceAfter: 3 * time.Second,
		},
		Router: Router{
			Listen: "127.0.0.1:0", ConfirmEvery: 250 * time.Millisecond,
			MaxHeaderBytes: 16 << 10, MaxConnections: 20_000,
			IdleTimeout: time.Minute, DrainTimeout: 30 * time.Second, CloseNotice: 2 * time.Second, Balance: BalanceOwn, Limits: LimitsAdaptive, RetryAfter: time.Second,
		},
		Ingress: Ingress{QueueTime: 0.2, SlotShare: 1, AnnounceEvery: time.Second, DrainTime: 2 * time.Second, ZoneDrainTime: 5 * time.Second, HoldTime: 10 * time.Second, GrantBy: GrantByCall, StopTime: 5 * time.Second, StopNotice: 2 * time.Second},
		Headers: Headers{RequestID: "X-Request-Id", Deadline: "Limehold-Timeout-Ms"},
		Agent:   Agent{Slots: 18, Connections: 100, StopMode: StopDrain, ProbeEvery: 100 * time.Millisecond, StopTimeout: 20 * time.Second},
	}
}

// Values of Control.Placement.
const (
	PlacementWeighted = "weighted"
	PlacementHash     = "hash"
	PlacementGreedy   = "greedy"
)

// Values of Agent.StopMode.
const (
	StopDrain   = "drain"
	StopRestart = "restart"
)

// Values of Ingress.GrantBy.
const (
	GrantByCall      = "call"
	GrantByHeartbeat = "heartbeat"
)

// Values of Router.Limits.
const (
	LimitsAdaptive = "adaptive"
	LimitsFixed    = "fixed"
)

// Values of Router.Balance.
const (
	BalanceOwn        = "own_observation"
	BalanceRoundRobin = "round_robin"
)
