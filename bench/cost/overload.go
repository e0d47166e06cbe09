package cost

import (
	"context"

	"github.com/rotisserie/eris"

	"limehold/bench/fleet"
	"limehold/bench/load"
	"limehold/bench/shape"
	"limehold/bench/standin"
)

const (
	// slowdown of every instance of the pool.
	slowdown = 6
	// brokenPercent of the answers break off in the second part.
	brokenPercent = 80
	overOffered   = 1.5
	percent       = 100
)

// Overload is how much load limehold adds while every instance of a pool is in
// trouble: attempts that reached back ends over requests that callers sent.
type Overload struct {
	// Slow: every instance takes slowdown times as long, and callers send half as
	// much again as the pool can carry.
	Slow Storm `json:"slow"`
	// Broken: most answers of every instance break off.
	Broken Storm `json:"broken"`
}

// Storm is one part.
type Storm struct {
	Rate         float64 `json:"rate"`
	Offered      int     `json:"offered"`
	Attempts     int64   `json:"attempts"`
	AddedPercent float64 `json:"added_percent"`
	OK           int     `json:"ok"`
	NotRun       int     `json:"not_run"`
	Unknown      int     `json:"unknown"`
	Other        int     `json:"other"`
}

func (m *measurement) overload(ctx context.Context, report *Report) error {
	capacity := m.capacity()
	var err error
	report.Overload.Slow, err = m.storm(ctx, overOffered*capacity/slowdown, standin.Knobs{SlowFactor: slowdown})
	if err != nil {
		return err
	}
	report.Overload.Broken, err = m.storm(ctx, capacity/slowdown, standin.Knobs{CutBeforePercent: brokenPercent})
	return err
}

// capacity of the compared stream's pool in requests a second.
func (m *measurement) capacity() float64 {
	sum := 0.0
	for _, node := range m.nodes() {
		sum += float64(node.Pool.Slots) / node.Pool.ServiceTime.Seconds()
	}
	return sum
}

func (m *measurement) storm(ctx context.Context, rate float64, knobs standin.Knobs) (Storm, error) {
	nodes := m.nodes()
	if err := m.setKnobs(nodes, knobs); err != nil {
		return Storm{}, err
	}
	before, err := received(nodes)
	if err != nil {
		return Storm{}, err
	}
	narrowed := *m.options.Shape
	narrowed.Streams = []shape.Stream{*m.stream()}
	results := load.Run(ctx, load.Options{
		Shape: &narrowed, Rate: rate, Duration: m.options.Duration, Seed: m.options.Seed, Targets: m.routers(), RunPrefix: "storm-",
	})
	after, err := received(nodes)
	if err != nil {
		return Storm{}, err
	}
	if len(results) == 0 {
		return Storm{}, eris.New("nothing was offered")
	}
	storm := Storm{Rate: rate, Offered: len(results), Attempts: after - before}
	storm.AddedPercent = percent * (float64(storm.Attempts)/float64(storm.Offered) - 1)
	for i := range results {
		switch results[i].Outcome {
		case load.OutcomeOK:
			storm.OK++
		case load.OutcomeNotRun:
			storm.NotRun++
		case load.OutcomeUnknown:
			storm.Unknown++
		default:
			storm.Other++
		}
	}
	return storm, m.setKnobs(nodes, standin.Knobs{})
}

// received counts the requests that have reached the nodes' back ends.
func received(nodes []*fleet.Node) (int64, error) {
	sum := int64(0)
	for _, node := range nodes {
		count, err := node.Received()
		if err != nil {
			return 0, err
		}
		sum += count
	}
	return sum, nil
}
