// Package cost measures what limehold adds to a request, against the same request
// sent directly to its back ends in the same run: throughput, processor time,
// memory while slow readers receive large answers, and added load while all
// instances of a pool are overloaded.
package cost

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"limehold/bench/fleet"
	"limehold/bench/shape"
	"limehold/bench/standin"
	"limehold/version"
)

// Options configures a measurement.
type Options struct {
	Shape *shape.Shape
	Seed  uint64
	// Duration is the length of each part of the measurement.
	Duration time.Duration
	// Limehold and Limebench are the paths of the two binaries.
	Limehold  string
	Limebench string
}

// Report holds the results of all parts.
type Report struct {
	Shape      string     `json:"shape"`
	Seed       uint64     `json:"seed"`
	Version    string     `json:"version"`
	Throughput Throughput `json:"throughput"`
	Streaming  Streaming  `json:"streaming"`
	Overload   Overload   `json:"overload"`
}

// minServiceTimeFactor shortens the service time of the back ends to almost nothing, so that it does
// not dominate the measurement.
const minServiceTimeFactor = 0.0001

// Run starts a deployment without network delays and runs the parts one after the other.
func Run(ctx context.Context, options Options) (*Report, error) {
	folder, err := os.MkdirTemp("", "limehold-cost-")
	if err != nil {
		return nil, eris.Wrap(err, "create run folder")
	}
	deployment, err := fleet.Start(fleet.Options{
		Shape: options.Shape, Folder: folder, Limehold: options.Limehold, Limebench: options.Limebench,
		NoDelays: true, DirectBackendPaths: true,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "start the deployment (its logs are in %s)", folder)
	}
	defer deployment.Stop()
	m := &measurement{options: options, fleet: deployment}
	report := &Report{Shape: options.Shape.Name, Seed: options.Seed, Version: version.Text()}
	for _, part := range []func(context.Context, *Report) error{m.throughput, m.streaming, m.overload} {
		if err := part(ctx, report); err != nil {
			return nil, eris.Wrapf(err, "logs are in %s", folder)
		}
	}
	deployment.Stop()
	return report, eris.Wrap(os.RemoveAll(folder), "remove run folder")
}

type measurement struct {
	options Options
	fleet   *fleet.Fleet
}

// stream returns the compared stream: the last one, which is repeatable and not keyed.
func (m *measurement) stream() *shape.Stream {
	streams := m.options.Shape.Streams
	return &streams[len(streams)-1]
}

// nodes returns the nodes that serve the compared stream.
func (m *measurement) nodes() []*fleet.Node {
	return m.fleet.NodesInPool(m.options.Shape.PoolOf(m.stream().Prefixes[0]))
}

func (m *measurement) setKnobs(nodes []*fleet.Node, knobs standin.Knobs) error {
	knobs.ReportedLoad = -1
	for _, node := range nodes {
		if err := node.SetKnobs(knobs); err != nil {
			return err
		}
	}
	return nil
}

// cpuSeconds returns the processor time used by all processes of a role so far.
func (m *measurement) cpuSeconds(role string) float64 {
	sum := 0.0
	for _, process := range m.fleet.Processes() {
		if process.Role == role {
			sum += process.Usage().CPUSeconds
		}
	}
	return sum
}
