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
	// slowFactor is the factor on the service time of every instance of the pool.
	slowFactor = 6
	// cutPercent is the share of answers that are cut in the second part.
	cutPercent    = 80
	offeredFactor = 1.5
	percent       = 100
)

// Overload is the load that limehold adds while every instance of a pool is slow or cuts its answers: the
// attempts that back ends received beyond the requests that callers sent.
type Overload struct {
	// Slow is the part in which every instance is slower by the factor slowFactor and
	// callers send offeredFactor times the remaining capacity of the pool.
	Slow OverloadResult `json:"slow"`
	// Broken is the part in which every instance cuts most of its answers.
	Broken OverloadResult `json:"broken"`
}

// OverloadResult is the result of one part.
type OverloadResult struct {
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
	report.Overload.Slow, err = m.measureOverload(ctx, offeredFactor*capacity/slowFactor, standin.Knobs{SlowFactor: slowFactor})
	if err != nil {
		return err
	}
	report.Overload.Broken, err = m.measureOverload(ctx, capacity/slowFactor, standin.Knobs{CutBeforePercent: cutPercent})
	return err
}

// capacity returns the capacity of the compared stream's pool in requests per second.
func (m *measurement) capacity() float64 {
	sum := 0.0
	for _, node := range m.nodes() {
		sum += float64(node.Pool.Slots) / node.Pool.ServiceTime.Seconds()
	}
	return sum
}

func (m *measurement) measureOverload(ctx context.Context, rate float64, knobs standin.Knobs) (OverloadResult, error) {
	nodes := m.nodes()
	if err := m.setKnobs(nodes, knobs); err != nil {
		return OverloadResult{}, err
	}
	before, err := received(nodes)
	if err != nil {
		return OverloadResult{}, err
	}
	singleStream := *m.options.Shape
	singleStream.Streams = []shape.Stream{*m.stream()}
	results := load.Run(ctx, load.Options{
		Shape: &singleStream, Rate: rate, Duration: m.options.Duration, Seed: m.options.Seed, Targets: m.routers(), RunPrefix: "storm-",
	})
	after, err := received(nodes)
	if err != nil {
		return OverloadResult{}, err
	}
	if len(results) == 0 {
		return OverloadResult{}, eris.New("no request was sent")
	}
	result := OverloadResult{Rate: rate, Offered: len(results), Attempts: after - before}
	result.AddedPercent = percent * (float64(result.Attempts)/float64(result.Offered) - 1)
	for i := range results {
		switch results[i].Outcome {
		case load.OutcomeOK:
			result.OK++
		case load.OutcomeNotRun:
			result.NotRun++
		case load.OutcomeUnknown:
			result.Unknown++
		default:
			result.Other++
		}
	}
	return result, m.setKnobs(nodes, standin.Knobs{})
}

// received returns the number of requests that the nodes' back ends have received.
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
