package hollow

// Size is what was measured at one size.
type Size struct {
	Nodes    int `json:"nodes"`
	Shards   int `json:"shards"`
	Routers  int `json:"routers"`
	Services int `json:"services"`

	CreatesPerSecond float64 `json:"service_creations_per_s"`
	// AssignsPerSecond counts shards from the first service's creation until the
	// last shard had an owner, synced on a majority.
	AssignsPerSecond float64 `json:"assigned_shards_per_s"`
	// StartSeconds until every node had a lease.
	StartSeconds float64 `json:"start_s"`

	RenewalsPerSecond         float64 `json:"renewals_per_s"`
	ConfirmsPerSecond         float64 `json:"confirms_per_s"`
	LeaderCPU                 float64 `json:"leader_cpu_cores"`
	FollowersCPU              float64 `json:"followers_cpu_cores"`
	LeaderSentPerSecond       float64 `json:"leader_sent_bytes_per_s"`
	LeaderReceivedPerSecond   float64 `json:"leader_received_bytes_per_s"`
	SessionsLostInSetUp       int64   `json:"sessions_lost_in_set_up"`
	SessionsLostInSteadyState int64   `json:"sessions_lost_in_steady_state"`
	PeakRSSMB                 float64 `json:"peak_rss_mb"`

	// SnapshotBytes of a router's first update, ChangeBytesPerRouter of a change.
	SnapshotBytes        int64   `json:"snapshot_bytes"`
	ChangeBytesPerRouter int64   `json:"change_bytes_per_router"`
	InForceMsMedian      float64 `json:"in_force_ms_median"`
	InForceMsMax         float64 `json:"in_force_ms_max"`

	NewOwnerMsMedian            float64 `json:"new_owner_ms_median"`
	NewOwnerMsMax               float64 `json:"new_owner_ms_max"`
	MassRestartNodes            int     `json:"mass_restart_nodes"`
	MassRestartMsMedian         float64 `json:"mass_restart_ms_median"`
	MassRestartMsMax            float64 `json:"mass_restart_ms_max"`
	ZoneLossNodes               int     `json:"zone_loss_nodes"`
	ZoneLossMsMedian            float64 `json:"zone_loss_ms_median"`
	ZoneLossMsMax               float64 `json:"zone_loss_ms_max"`
	LeaderAndNodeLossMsMax      float64 `json:"leader_and_node_loss_ms_max"`
	AllRenewedAfterLeaderLossMs float64 `json:"all_renewed_after_leader_loss_ms"`
	SessionsLostWithLeader      int64   `json:"sessions_lost_with_leader"`
}

// Slope is a straight line through what was measured at several sizes.
type Slope struct {
	Of        string  `json:"of"`
	Against   string  `json:"against"`
	PerUnit   float64 `json:"per_unit"`
	Intercept float64 `json:"intercept"`
}

// Report of all sizes.
type Report struct {
	Version string  `json:"version"`
	Sizes   []*Size `json:"sizes"`
	Slopes  []Slope `json:"slopes"`
}

// measured pairs a measure with what it is expected to grow with.
var measured = []struct {
	of, against string
	y, x        func(*Size) float64
}{
	{"leader processor, cores", "nodes", func(s *Size) float64 { return s.LeaderCPU }, nodesOf},
	{"leader processor, cores", "renewals a second", func(s *Size) float64 { return s.LeaderCPU }, func(s *Size) float64 { return s.RenewalsPerSecond }},
	{"leader bytes sent a second", "nodes", func(s *Size) float64 { return s.LeaderSentPerSecond }, nodesOf},
	{"leader bytes received a second", "nodes", func(s *Size) float64 { return s.LeaderReceivedPerSecond }, nodesOf},
	{"member memory, MB", "shards", func(s *Size) float64 { return s.PeakRSSMB }, shardsOf},
	{"router's first snapshot, bytes", "shards", func(s *Size) float64 { return float64(s.SnapshotBytes) }, shardsOf},
	{"new owner after a loss, ms", "shards", func(s *Size) float64 { return s.NewOwnerMsMax }, shardsOf},
}

func nodesOf(s *Size) float64  { return float64(s.Nodes) }
func shardsOf(s *Size) float64 { return float64(s.Shards) }

// Slopes fits a line to each measure by least squares.
func Slopes(sizes []*Size) []Slope {
	var slopes []Slope
	for _, pair := range measured {
		perUnit, intercept := fit(sizes, pair.x, pair.y)
		slopes = append(slopes, Slope{pair.of, pair.against, perUnit, intercept})
	}
	return slopes
}

func fit(sizes []*Size, x, y func(*Size) float64) (slope, intercept float64) {
	count := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for _, size := range sizes {
		sumX += x(size)
		sumY += y(size)
		sumXX += x(size) * x(size)
		sumXY += x(size) * y(size)
	}
	spread := count*sumXX - sumX*sumX
	if spread == 0 {
		return 0, sumY / max(1, count)
	}
	slope = (count*sumXY - sumX*sumY) / spread
	return slope, (sumY - slope*sumX) / count
}
