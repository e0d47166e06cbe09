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

	Log     Log     `yaml:"log"`
	Admin   Admin   `yaml:"admin"`
	TLS     TLS     `yaml:"tls"`
	Control Control `yaml:"control"`
	Router  Router  `yaml:"router"`
	Agent   Agent   `yaml:"agent"`
}

// Log configures logging to standard error.
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
	// CloseNotice is how long a stopping router keeps idle connections open for
	// callers that are about to use them. Longer than callers keep theirs. Default 2s.
	CloseNotice time.Duration `yaml:"close_notice"`
	// Balance is own_observation or round_robin; the latter is a baseline.
	// Default own_observation.
	Balance string `yaml:"balance"`
	// Limits is adaptive (a shed answer lowers an instance's limit) or fixed (the
	// instance's slots at each router; a baseline). Default adaptive.
	Limits string `yaml:"limits"`
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
			WarmUp: 10 * time.Second, LoadHalfLife: 5 * time.Second,
		},
		Router: Router{
			Listen: "127.0.0.1:0", ConfirmEvery: 250 * time.Millisecond,
			MaxHeaderBytes: 16 << 10, MaxConnections: 20_000,
			IdleTimeout: time.Minute, DrainTimeout: 30 * time.Second, CloseNotice: 2 * time.Second, Balance: BalanceOwn, Limits: LimitsAdaptive,
		},
		Agent: Agent{Slots: 18, Connections: 100, StopMode: StopDrain, ProbeEvery: 100 * time.Millisecond, StopTimeout: 20 * time.Second},
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
