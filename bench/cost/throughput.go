package cost

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"limehold/bench/fleet"
	"limehold/bench/load"
	"limehold/bench/standin"
	"limehold/clock"
)

const (
	// workers is the number of workers of the closed loop. It is below the number of slots
	// of the smallest pool, so that no request is rejected and both ways do the same work.
	workers = 32
	rounds  = 3
)

// Throughput compares a closed loop through the routers with one directly to the
// back ends. The two run in alternating rounds.
type Throughput struct {
	Stream  string `json:"stream"`
	Workers int    `json:"workers"`
	// ThroughPerSecond and DirectPerSecond are requests per second in the best round.
	ThroughPerSecond float64 `json:"through_per_second"`
	DirectPerSecond  float64 `json:"direct_per_second"`
	// TimeRatio is DirectPerSecond over ThroughPerSecond: the factor on the time per request.
	TimeRatio float64 `json:"time_ratio"`
	// RouterMicros and BackendMicros are the processor time of all routers and of all
	// back ends per request through limehold, in microseconds. BackendDirectMicros is
	// that of the back ends per request sent directly.
	RouterMicros        float64     `json:"router_us"`
	BackendMicros       float64     `json:"backend_us"`
	BackendDirectMicros float64     `json:"backend_direct_us"`
	Failed              int         `json:"failed"`
	Latency             LatencyPair `json:"latency_us"`
}

// LatencyPair holds latency quantiles through limehold and directly to the back ends, in microseconds.
type LatencyPair struct {
	ThroughP50 float64 `json:"through_p50"`
	DirectP50  float64 `json:"direct_p50"`
	ThroughP99 float64 `json:"through_p99"`
	DirectP99  float64 `json:"direct_p99"`
}

func (m *measurement) throughput(ctx context.Context, report *Report) error {
	if err := m.setKnobs(m.nodes(), standin.Knobs{SlowFactor: minServiceTimeFactor}); err != nil {
		return err
	}
	result := &report.Throughput
	result.Stream, result.Workers = m.stream().Name, workers
	var through, direct load.ClosedResult
	for range rounds {
		routerBefore, backendBefore := m.cpuSeconds("router"), m.cpuSeconds("backend")
		through.Add(m.runLoop(ctx, m.routers()))
		backendBetween := m.cpuSeconds("backend")
		result.RouterMicros += m.cpuSeconds("router") - routerBefore
		result.BackendMicros += backendBetween - backendBefore
		direct.Add(m.runLoop(ctx, m.backends()))
		result.BackendDirectMicros += m.cpuSeconds("backend") - backendBetween
	}
	if through.OK == 0 || direct.OK == 0 {
		return eris.New("no request of the closed loop succeeded")
	}
	const microsOfSecond = 1e6
	result.RouterMicros *= microsOfSecond / float64(through.OK)
	result.BackendMicros *= microsOfSecond / float64(through.OK)
	result.BackendDirectMicros *= microsOfSecond / float64(direct.OK)
	result.ThroughPerSecond, result.DirectPerSecond = through.BestRate, direct.BestRate
	result.TimeRatio = direct.BestRate / through.BestRate
	result.Failed = through.Failed + direct.Failed
	result.Latency.ThroughP50, result.Latency.ThroughP99 = through.Quantiles()
	result.Latency.DirectP50, result.Latency.DirectP99 = direct.Quantiles()
	return nil
}

func (m *measurement) runLoop(ctx context.Context, targets []load.Target) load.ClosedResult {
	return load.RunClosed(ctx, load.ClosedOptions{
		Stream: m.stream(), Targets: targets, Workers: workers,
		Duration: m.options.Duration / (2 * rounds), RunPrefix: "cost-" + clock.Now().String() + "-",
	})
}

func (m *measurement) routers() []load.Target {
	var targets []load.Target
	for _, router := range m.fleet.Routers {
		targets = append(targets, target(router.Process, false))
	}
	return targets
}

func (m *measurement) backends() []load.Target {
	var targets []load.Target
	for _, node := range m.nodes() {
		targets = append(targets, target(node.Backend, true))
	}
	return targets
}

// target returns a load target that connects to the process without a fault proxy.
func target(process *fleet.Process, direct bool) load.Target {
	address := process.Field("address")
	return load.Target{Name: process.Name, Direct: direct, Dial: func() (net.Conn, error) {
		return net.DialTimeout("tcp", address, time.Second)
	}}
}
