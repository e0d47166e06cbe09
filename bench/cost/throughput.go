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
	// workers of the closed loop: fewer than the slots of the smallest pool, so that
	// nothing is shed and the two ways do the same work.
	workers = 32
	rounds  = 3
)

// Throughput compares a closed loop through the routers with one straight to the
// back ends, in turns.
type Throughput struct {
	Stream  string `json:"stream"`
	Workers int    `json:"workers"`
	// Requests a second, the best of the rounds.
	ThroughPerSecond float64 `json:"through_per_second"`
	DirectPerSecond  float64 `json:"direct_per_second"`
	// TimeRatio is direct over through: how many times as long a request takes.
	TimeRatio float64 `json:"time_ratio"`
	// Processor time of all routers, and of all back ends, in microseconds a request
	// through limehold; BackendDirect is that of a request sent straight.
	RouterMicros        float64 `json:"router_us"`
	BackendMicros       float64 `json:"backend_us"`
	BackendDirectMicros float64 `json:"backend_direct_us"`
	Failed              int     `json:"failed"`
	Latency             Pair    `json:"latency_us"`
}

// Pair holds times through limehold and straight to the back ends.
type Pair struct {
	ThroughP50 float64 `json:"through_p50"`
	DirectP50  float64 `json:"direct_p50"`
	ThroughP99 float64 `json:"through_p99"`
	DirectP99  float64 `json:"direct_p99"`
}

func (m *measurement) throughput(ctx context.Context, report *Report) error {
	if err := m.setKnobs(m.nodes(), standin.Knobs{SlowFactor: quickFactor}); err != nil {
		return err
	}
	into := &report.Throughput
	into.Stream, into.Workers = m.stream().Name, workers
	var through, direct load.ClosedResult
	for range rounds {
		routerBefore, backendBefore := m.processorSeconds("router"), m.processorSeconds("backend")
		through.Add(m.loop(ctx, m.routers()))
		backendBetween := m.processorSeconds("backend")
		into.RouterMicros += m.processorSeconds("router") - routerBefore
		into.BackendMicros += backendBetween - backendBefore
		direct.Add(m.loop(ctx, m.backends()))
		into.BackendDirectMicros += m.processorSeconds("backend") - backendBetween
	}
	if through.OK == 0 || direct.OK == 0 {
		return eris.New("no request of the closed loop succeeded")
	}
	const microsOfSecond = 1e6
	into.RouterMicros *= microsOfSecond / float64(through.OK)
	into.BackendMicros *= microsOfSecond / float64(through.OK)
	into.BackendDirectMicros *= microsOfSecond / float64(direct.OK)
	into.ThroughPerSecond, into.DirectPerSecond = through.BestRate, direct.BestRate
	into.TimeRatio = direct.BestRate / through.BestRate
	into.Failed = through.Failed + direct.Failed
	into.Latency.ThroughP50, into.Latency.ThroughP99 = through.Quantiles()
	into.Latency.DirectP50, into.Latency.DirectP99 = direct.Quantiles()
	return nil
}

func (m *measurement) loop(ctx context.Context, targets []load.Target) load.ClosedResult {
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

// target is a process reached without a proxy in between.
func target(process *fleet.Process, direct bool) load.Target {
	address := process.Field("address")
	return load.Target{Name: process.Name, Direct: direct, Dial: func() (net.Conn, error) {
		return net.DialTimeout("tcp", address, time.Second)
	}}
}
