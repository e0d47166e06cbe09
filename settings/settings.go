// Package settings holds the configuration of all processes as one typed tree.
//
// Values come from four sources; a later one overrides an earlier one: the defaults
// below, the settings file (YAML), the environment (LIMEHOLD_ and the path in
// capitals, for example LIMEHOLD_CONTROL_LISTEN), and flags
// (--set control.listen=ADDRESS).
package settings

import "time"

// Settings is the root of the tree. Each process reads the common settings and the
// section of its role.
type Settings struct {
	// Cluster must be the same in all processes of a deployment. Default "limehold".
	Cluster string `yaml:"cluster"`
	// Name of this process, unique within its role. Required.
	Name string `yaml:"name"`
	// Zone in which this process runs. Required for routers and agents.
	Zone string `yaml:"zone"`
	// Zones lists all zones of the deployment. Zone must be one of them unless the list is empty.
	Zones []string `yaml:"zones"`
	// Regions maps zones to their regions. Routers need it where routes or tenants are bound to regions: a zone that
	// is missing is in none.
	Regions map[string]string `yaml:"regions"`
	// DataFolder holds the data that must survive restarts. Required for control.
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
	Quota   Quota   `yaml:"quota"`
	Runtime Runtime `yaml:"runtime"`
}

// Discovery lists addresses through which processes find the control members, for deployments in
// which only some addresses are known in advance. The members that are reached send the addresses
// of the others.
type Discovery struct {
	// Seeds lists IP:port of processes on whose machines a control listener runs.
	Seeds []string `yaml:"seeds"`
	// Port is the port of every control listener and replaces the ports of the seeds.
	// 0 if the seeds are control listeners themselves. Default 0.
	Port int `yaml:"port"`
}

// Log configures logging to standard output.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level"`
}

// Admin configures the HTTP listener for operators.
type Admin struct {
	// Listen is host:port. Default 127.0.0.1:0 (a free port, which is logged).
	Listen string `yaml:"listen"`
	// TokenFile holds the token that operators must present. If empty, none is required.
	TokenFile string `yaml:"token_file"`
}

// TLS names the PEM files that secure connections between limehold processes.
type TLS struct {
	// Certificate of this process, with the common name "role:name". If empty, plain TCP is used.
	Certificate string `yaml:"certificate"`
	// Key of the certificate.
	Key string `yaml:"key"`
	// Authorities is the file of the certificate authorities that sign the certificates of all processes.
	Authorities string `yaml:"authorities"`
}

// Peer is a control member's name and address.
type Peer struct {
	// Name as in the settings of that member.
	Name string `yaml:"name"`
	// Address is host:port of its control listener.
	Address string `yaml:"address"`
}

// Control configures a control member.
type Control struct {
	// Listen is host:port for connections from members, agents and routers. Default 127.0.0.1:0.
	Listen string `yaml:"listen"`
	// Advertise is the address that other processes dial. Default: Listen.
	Advertise string `yaml:"advertise"`
	// Members lists the members that form the control group, including this one.
	Members []Peer `yaml:"members"`
	// Join is set on a member that an operator adds to an existing group. Default false.
	Join bool `yaml:"join"`
	// Seeds lists control listeners through which an existing group can be found, as an
	// alternative to Members. A member with an empty data folder requests admission to the
	// group through them. Default: discovery.seeds.
	Seeds []string `yaml:"seeds"`
	// Form lets the seeds, and no other process, form a group if none of them belongs
	// to one. Set it only for the very first start of the deployment. Default false.
	Form bool `yaml:"form"`
	// Voters is the number of voting members. Further members are learners, and a
	// learner replaces a voter that is lost. If 0, only operators' commands change the
	// members. Default 0, or 2*ToleratedLosses+1 if ToleratedLosses is set.
	Voters int `yaml:"voters"`
	// ToleratedLosses is the number of voters that may be lost at the same time. If it is
	// set, Voters defaults to 2*ToleratedLosses+1. Default 0.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// ReplaceAfter is the time without contact after which a learner replaces a voter.
	// Default 3s.
	ReplaceAfter time.Duration `yaml:"replace_after"`
	// DialOverrides maps names of members to the addresses (host:port) at which this
	// process dials them, for networks that translate addresses.
	DialOverrides map[string]string `yaml:"dial_overrides"`
	Timing        Timing            `yaml:"timing"`
	// LeaseLength is how long a lease is valid after the node sends a renewal. Default 500ms.
	LeaseLength time.Duration `yaml:"lease_length"`
	// RenewEvery is the interval between lease renewals. Default 100ms.
	RenewEvery time.Duration `yaml:"renew_every"`
	// PlaceEvery is the interval between placement rounds. Default 1s.
	PlaceEvery time.Duration `yaml:"place_every"`
	// SnapshotEvery is the number of log entries between snapshots; each snapshot compacts the log. Default 2000.
	SnapshotEvery int `yaml:"snapshot_every"`
	// SegmentBytes is the size of a log segment in bytes. Default 67108864.
	SegmentBytes int64 `yaml:"segment_bytes"`
	// PlatformURL is the URL of the platform's machine list. Empty if there is none.
	PlatformURL string `yaml:"platform_url"`
	// PlatformEvery is the interval at which the machine list is read. Default 1s.
	PlatformEvery time.Duration `yaml:"platform_every"`
	// Placement is weighted, hash or greedy; hash and greedy are baselines for experiments. Default weighted.
	Placement string `yaml:"placement"`
	// PlacementPace lets placement weigh instances by their measured pace. Without it, all slots count alike. Default
	// false.
	PlacementPace bool `yaml:"placement_pace"`
	// WarmUp is how long placement counts a new node at less than its capacity. Default 10s.
	WarmUp time.Duration `yaml:"warm_up"`
	// LoadHalfLife is the half-life over which the measured load of shards is smoothed. Default 5s.
	LoadHalfLife time.Duration `yaml:"load_half_life"`
	// MaxGrantDelay is the longest time after which an instance may still apply a grant that it has not
	// answered. Keys of a lost node that may have sent such a grant are given to others only after this time,
	// or on proof that the grant cannot be applied. 0 means that there is no limit: only proof counts. Set it
	// to the same value as Ingress.MaxGrantDelay of every sidecar. Default 0s.
	MaxGrantDelay time.Duration `yaml:"max_grant_delay"`
}

// Timing configures the replication protocol. All members must have the same values.
type Timing struct {
	// Heartbeat is the interval between heartbeats of the leader. Default 40ms.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// ElectionMin is the minimum election timeout. Default 200ms.
	ElectionMin time.Duration `yaml:"election_min"`
	// ElectionMax is the maximum election timeout. Default 350ms.
	ElectionMax time.Duration `yaml:"election_max"`
	// DriftPermille bounds the rate difference between the clocks of two machines, in
	// thousandths. Default 10.
	DriftPermille int `yaml:"drift_permille"`
}

// Router configures a router.
type Router struct {
	// Listen is host:port for connections from callers. Default 127.0.0.1:0.
	Listen string `yaml:"listen"`
	// Control lists the addresses of control members, tried in turn. Required.
	Control []string `yaml:"control"`
	// Services limits the router to these services. If empty, it serves all.
	Services []string `yaml:"services"`
	// ConfirmEvery is the interval at which the router requests confirmation that its
	// view is current. Default 250ms.
	ConfirmEvery time.Duration `yaml:"confirm_every"`
	// MaxHeaderBytes bounds the header of a request. Default 16384.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxConnections bounds the number of connections from callers. Default 20000.
	MaxConnections int `yaml:"max_connections"`
	// IdleTimeout is the time after which idle connections from callers are closed. Default 60s.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// DrainTimeout bounds the time in which a stopping router finishes requests. Default 30s.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// CloseNotice is how long a stopping router still accepts requests and keeps idle
	// connections open, for callers that are not yet aware of the stop. It should exceed
	// the time for which callers keep idle connections. Default 2s.
	CloseNotice time.Duration `yaml:"close_notice"`
	// Balance is own_observation or round_robin; round_robin is a baseline for
	// experiments. Default own_observation.
	Balance string `yaml:"balance"`
	// Limits is adaptive (the limit of an instance is lowered when its answer rejects a request
	// for overload) or fixed (each router uses the instance's number of slots; for comparison
	// in experiments). Default adaptive.
	Limits string `yaml:"limits"`
	// RetryAfter is the minimum Retry-After for callers of the route table whose
	// request has not run. Default 1s.
	RetryAfter time.Duration `yaml:"retry_after"`
	// AdvisedRetryAfter passes the time that an ingress advises on as Retry-After. By default that is at least 1s.
	AdvisedRetryAfter bool `yaml:"advised_retry_after"`
	// FractionalRetryAfter writes Retry-After in fractions of seconds, for callers that
	// accept them. Default false.
	FractionalRetryAfter bool `yaml:"fractional_retry_after"`
	// RetrySlack is how many retries of a service's requests all routers of a deployment together may make beyond the
	// service's retry budget, however many routers there are. Each router saves its share of it. If 0, a router saves
	// up to 50. Default 0.
	RetrySlack float64 `yaml:"retry_slack"`
	// RetryRatio is how many retries of a service's requests all routers together may make for each request, if
	// RetrySlack is set. What it exceeds the service's retry budget by can be saved in part. Default 0.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RequireRequestID rejects requests without an ID. By default the router generates one for them. Default false.
	RequireRequestID bool `yaml:"require_request_id"`
	// LoadView makes the router learn the load of the instances of services that are not divided by key from other routers
	// too: requests and answers carry load reports of other instances, up to 150 bytes each. Default false.
	LoadView bool `yaml:"load_view"`
	// Certificate of the router for connections from callers. If it is empty, plain HTTP is used.
	Certificate string `yaml:"certificate"`
	// Key of the certificate.
	Key string `yaml:"key"`
}

// Agent configures an agent.
type Agent struct {
	// Backend is host:port of the back end on the agent's machine. Required.
	Backend string `yaml:"backend"`
	// Advertise is the address under which routers reach the back end. Default: Backend.
	Advertise string `yaml:"advertise"`
	// Pool is the pool of services that the back end serves. Required.
	Pool string `yaml:"pool"`
	// Slots is the number of requests that the back end runs concurrently. Default 18.
	Slots int `yaml:"slots"`
	// Connections is the number of connections that the back end accepts. Default 100.
	Connections int `yaml:"connections"`
	// Control lists the addresses of control members, tried in turn. Required.
	Control []string `yaml:"control"`
	// ProbeEvery is the interval between health probes. Default 100ms.
	ProbeEvery time.Duration `yaml:"probe_every"`
	// StopTimeout bounds how long a stopping agent waits until its shards have moved to
	// other nodes. Default 20s.
	StopTimeout time.Duration `yaml:"stop_timeout"`
	// StopMode is drain (move the shards to other nodes, then stop) or restart (stop
	// immediately; an agent that starts within the lease keeps the shards). Default drain.
	StopMode string `yaml:"stop_mode"`
}

// Ingress configures the proxy through which all requests to the local instance pass.
type Ingress struct {
	// Listen is host:port for requests from routers. Required for a sidecar.
	Listen string `yaml:"listen"`
	// Instance is host:port of the instance. Required for a sidecar.
	Instance string `yaml:"instance"`
	// Readiness is host:port of a listener that answers any request with 200 while callers
	// may use this sidecar, and with 503 otherwise. If empty, there is no such listener.
	Readiness string `yaml:"readiness"`
	// QueueTime bounds how long a request may wait for a slot of the instance, as a
	// share of the request's target latency. Default 0.2.
	QueueTime float64 `yaml:"queue_time"`
	// PlanRuns rejects requests whose run would most likely outlast their deadline, by the run times that their
	// route has had at the instance, instead of beginning them. Default false.
	PlanRuns bool `yaml:"plan_runs"`
	// SpreadReturns tells requests that the instance has no room for to return at different times after its backlog
	// has drained, so that they do not return together; see Router.AdvisedRetryAfter. Default false.
	SpreadReturns bool `yaml:"spread_returns"`
	// SlotShare is the share of the instance's slots that are used concurrently. Lower it
	// for instances that slow down when nearly all slots are in use. Default 1.
	SlotShare float64 `yaml:"slot_share"`
	// AnnounceEvery is the interval at which the instance announces itself. Default 1s.
	AnnounceEvery time.Duration `yaml:"announce_every"`
	// DrainTime is how long requests may still reach the instance after it announced that it
	// is draining or departed. Default 2s.
	DrainTime time.Duration `yaml:"drain_time"`
	// ZoneDrainTime is how long requests may still reach the instances of a zone after
	// the zone was drained. Default 5s.
	ZoneDrainTime time.Duration `yaml:"zone_drain_time"`
	// HoldTime is the maximum duration of one grant of keys to the instance. Default 10s.
	HoldTime time.Duration `yaml:"hold_time"`
	// MaxGrantDelay is the longest time after which the instance may still apply a grant that it has not
	// answered; see Control.MaxGrantDelay. 0 means that there is no limit. Default 0s.
	MaxGrantDelay time.Duration `yaml:"max_grant_delay"`
	// GrantBy is how keys are granted to the instance: call (limehold calls the
	// instance) or heartbeat (in the answers to the instance's heartbeats). Default call.
	GrantBy string `yaml:"grant_by"`
	// CallsFirst admits the calls that other instances make while they run requests before callers' requests, as
	// far as more urgent ones still begin in time. Set it alike on all sidecars. Default false.
	CallsFirst bool `yaml:"calls_first"`
	// HeartbeatWait is how long the answer to a heartbeat may be delayed until there is
	// a change to report, if GrantBy is heartbeat. If 0, answers are not delayed. Default 0s.
	HeartbeatWait time.Duration `yaml:"heartbeat_wait"`
	// LinkMbps is the speed of the machine's network link in megabits per second. Large
	// answers of the instance are then sent one after the other, slightly below that
	// speed. If 0, the speed is unknown and they are sent concurrently. Default 0.
	LinkMbps float64 `yaml:"link_mbps"`
	// StopTime bounds the time in which a stopping sidecar finishes requests. Default 5s.
	StopTime time.Duration `yaml:"stop_time"`
	// StopNotice is the first part of StopTime, in which the sidecar still accepts new
	// requests from other machines: they cannot reach the instance in any other way.
	// Default 2s.
	StopNotice time.Duration `yaml:"stop_notice"`
}

// Headers names the header fields exchanged with callers and instances.
type Headers struct {
	// RequestID carries the ID of a request. Default X-Request-Id.
	RequestID string `yaml:"request_id"`
	// Deadline carries how long the caller waits, in milliseconds. Default Limehold-Timeout-Ms.
	Deadline string `yaml:"deadline"`
	// Caller carries the service of the machine from which the request comes. A value
	// sent by the caller is always overwritten. If empty, the field is not sent.
	Caller string `yaml:"caller"`
	// Key carries the numeric key of a request to a keyed service.
	Key string `yaml:"key"`
	// Instance carries the identity of the instance to which a request is addressed.
	Instance string `yaml:"instance"`
	// Tenant carries the name of the tenant to which the request's API key belongs. A value sent by the caller is
	// always removed. If empty, the field is not sent.
	Tenant string `yaml:"tenant"`
	// NotRun marks an answer of an instance to a request that it did not run.
	NotRun string `yaml:"not_run"`
	// Load carries the load of an instance: running, waiting, slots.
	Load string `yaml:"load"`
	// Limit carries how many requests a second an instance takes from all callers together, for as long as its answers
	// carry the field. If empty, instances do not send it.
	Limit string `yaml:"limit"`
	// Leaving is "1" in the answers of an instance that is about to end. If empty, instances do not send it.
	Leaving string `yaml:"leaving"`
	// Identity carries, in answers of an instance's health path, the identity of the
	// answering instance. If empty, instances do not send it.
	Identity string `yaml:"identity"`
	// Cold carries, in the same answers, the remaining time of the instance's cold start in
	// milliseconds. If empty, instances do not send it.
	Cold string `yaml:"cold"`
}

// Quota states how exactly the quotas of tenants hold over all routers: in each span of Window, at most
// (rate x Window + burst) x (1 + Overage) + Slack requests of a tenant run. Set it alike in all processes.
type Quota struct {
	// Window is the span over which quotas are judged. Default 5s.
	Window time.Duration `yaml:"window"`
	// Overage is the share of the quota by which it may be exceeded. Default 0.1.
	Overage float64 `yaml:"overage"`
	// Slack is the number of requests by which it may be exceeded in addition. Default 20.
	Slack float64 `yaml:"slack"`
}

// Runtime bounds the resources that the process uses.
type Runtime struct {
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes. The memory
	// limit of Go's runtime is set to 70% of it. If 0, no limit is set. Default 0.
	MemoryMB int `yaml:"memory_mb"`
}

// Default returns the settings with all defaults.
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
			IdleTimeout: time.Minute, DrainTimeout: 30 * time.Second, CloseNotice: 2 * time.Second, Balance: BalanceOwnObservation, Limits: LimitsAdaptive, RetryAfter: time.Second,
		},
		Ingress: Ingress{QueueTime: 0.2, SlotShare: 1, AnnounceEvery: time.Second, DrainTime: 2 * time.Second, ZoneDrainTime: 5 * time.Second, HoldTime: 10 * time.Second, GrantBy: GrantByCall, StopTime: 5 * time.Second, StopNotice: 2 * time.Second},
		Headers: Headers{RequestID: "X-Request-Id", Deadline: "Limehold-Timeout-Ms"},
		Quota:   Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
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
	BalanceOwnObservation = "own_observation"
	BalanceRoundRobin     = "round_robin"
)
