// Package experiment runs a deployment under load and injected faults and checks
// the outcome.
package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"limehold/bench/faultproxy"
	"limehold/bench/fleet"
	"limehold/bench/judge"
	"limehold/bench/load"
	"limehold/bench/report"
	"limehold/bench/shape"
	"limehold/clock"
	"limehold/version"
)

// Options configures an experiment.
type Options struct {
	Shape     *shape.Shape
	Seed      uint64
	Duration  time.Duration
	Rate      float64
	FaultsSet string
	Faults    []Fault
	Baseline  Baseline
	// Limehold and Limebench are the paths of the two binaries.
	Limehold  string
	Limebench string
	// Folder holds data, logs and records. If it is empty, Run creates a temporary
	// folder.
	Folder string
	// ControlMembers is 3 or 5. Default 3.
	ControlMembers int
	// NoOperators turns off the concurrent configuration changes.
	NoOperators bool
	Skew        float64
	HotShift    time.Duration
	Workload    *load.Workload
}

const (
	// recoveryTime is how long after the end of an unplanned fault its effects are still attributed to it.
	recoveryTime = 4 * time.Second
	// faultLeadTime is how long before the recorded start of a fault its effects are already attributed to it.
	faultLeadTime = 50 * time.Millisecond
	// inForceBound is the templates' staleness bound plus one second for the observation.
	inForceBound       = 6 * time.Second
	directRateShare    = 0.05
	convergenceTimeout = 10 * time.Second
	keySkew            = 0.9
)

type run struct {
	options Options
	fleet   *fleet.Fleet
	random  *rand.Rand
	started time.Duration

	mutex        sync.Mutex
	reserved     map[string]bool
	faults       []report.Fault
	nodeFailures []judge.NodeFailure
	planned      []judge.Window
	unplanned    []judge.Window
}

// Run runs an experiment and returns its report.
func Run(ctx context.Context, options Options) (*report.Report, error) {
	if options.Folder == "" {
		folder, err := os.MkdirTemp("", "limehold-run-")
		if err != nil {
			return nil, eris.Wrap(err, "create run folder")
		}
		options.Folder = folder
	}
	started, err := fleet.Start(fleet.Options{
		Shape: options.Shape, Folder: options.Folder, Limehold: options.Limehold, Limebench: options.Limebench,
		ControlMembers: options.ControlMembers, Settings: options.Baseline.settings(), ColdStart: time.Second,
		TemplateSuffix: options.Baseline.templateSuffix(),
	})
	if err != nil {
		return nil, eris.Wrapf(err, "start the deployment (its logs are in %s)", options.Folder)
	}
	defer started.Stop()
	r := &run{options: options, fleet: started, random: rand.New(rand.NewPCG(options.Seed, 3)), reserved: map[string]bool{}}
	return r.execute(ctx)
}

func (r *run) execute(ctx context.Context) (*report.Report, error) {
	ctx, stopOperators := context.WithCancel(ctx)
	defer stopOperators()
	r.started = clock.Now()
	ops := newOperators(r)
	var workers, injections sync.WaitGroup
	if !r.options.NoOperators {
		workers.Add(1)
		go func() { defer workers.Done(); ops.changeServices(ctx) }()
	}
	for _, fault := range r.options.Faults {
		injections.Add(1)
		go func() { defer injections.Done(); r.inject(ctx, fault) }()
	}
	var direct []load.Result
	workers.Add(1)
	go func() { defer workers.Done(); direct = r.runDirect(ctx) }()
	results := r.runCallers(ctx)
	ended := clock.Now()
	injections.Wait()
	stopOperators()
	workers.Wait()
	return r.judge(results, direct, ops, ended)
}

func (r *run) runCallers(ctx context.Context) []load.Result {
	options := load.Options{
		Shape: r.options.Shape, Rate: r.options.Rate, Duration: r.options.Duration, Seed: r.options.Seed,
		RunPrefix: "run-", Skew: r.options.Skew, HotShift: r.options.HotShift, Workload: r.options.Workload,
	}
	for _, router := range r.fleet.Routers {
		options.Targets = append(options.Targets, load.Target{Name: router.Name, Dial: router.Callers.Dial})
	}
	return load.Run(ctx, options)
}

// directStream returns the stream that is also sent directly to its back ends:
// the last one of the shape, which is not keyed and so needs no owner.
func (r *run) directStream() *shape.Stream {
	streams := r.options.Shape.Streams
	return &streams[len(streams)-1]
}

// runDirect sends a low rate of requests directly to the back ends, for comparison.
func (r *run) runDirect(ctx context.Context) []load.Result {
	stream := *r.directStream()
	stream.Keys = 0
	singleStream := *r.options.Shape
	singleStream.Streams = []shape.Stream{stream}
	options := load.Options{
		Shape: &singleStream, Rate: max(2, r.options.Rate*directRateShare), Duration: r.options.Duration,
		Seed: r.options.Seed, RunPrefix: judge.BaselinePrefix,
	}
	pool := r.options.Shape.PoolOf(stream.Prefixes[0])
	for _, node := range r.fleet.AllNodes() {
		if node.Pool.Name != pool {
			continue
		}
		path, err := faultproxy.New(r.options.Shape.ClientDelay)
		if err != nil {
			return nil
		}
		defer path.Close()
		path.SetTarget(node.Backend.Field("address"))
		options.Targets = append(options.Targets, load.Target{Name: node.Name, Dial: path.Dial, Direct: true})
	}
	if len(options.Targets) == 0 {
		return nil
	}
	return load.Run(ctx, options)
}

// inject waits until a fault is due, injects it and records its target, times and result.
func (r *run) inject(ctx context.Context, fault Fault) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(fault.At):
	}
	from := clock.Now()
	target, err := injectors[fault.Kind](r, fault)
	until := clock.Now()
	entry := report.Fault{
		Kind: string(fault.Kind), Target: target, AtS: (from - r.started).Seconds(), UntilS: (until - r.started).Seconds(),
		TookEffect: err == nil, Planned: fault.Kind.Planned(),
	}
	if err != nil {
		entry.Error = err.Error()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, entry)
	if fault.Kind.Planned() {
		r.planned = append(r.planned, judge.Window{From: from, To: until + time.Second})
	} else {
		r.unplanned = append(r.unplanned, judge.Window{From: from - faultLeadTime, To: until + recoveryTime})
	}
}

func (r *run) judge(results, direct []load.Result, ops *operators, ended time.Duration) (*report.Report, error) {
	input := &judge.Input{
		Results: results, Pools: map[string]string{}, Window: judge.Window{From: r.started, To: ended},
		Planned: r.planned, Unplanned: r.unplanned, NodeFailures: r.nodeFailures,
		Changes: ops.changes, LostChanges: ops.lostChanges, Conflicts: ops.conflicts, RacesWonTwice: ops.racesWonTwice,
		InForceBound: inForceBound,
	}
	files := map[string]string{}
	for _, node := range r.fleet.AllNodes() {
		files[node.Name] = node.Records
		input.Pools[node.Name] = node.Pool.Name
	}
	used := r.usage()
	// The processes must stop before the records are read. Files read at different
	// times would show a shard that moves meanwhile with two owners.
	r.fleet.Stop()
	var err error
	if input.Records, err = judge.ReadAll(files); err != nil {
		return nil, err
	}
	input.KeyedShards, input.KeysPerShard = r.options.Shape.KeyedShards()
	slices.SortFunc(r.faults, func(a, b report.Fault) int { return int((a.AtS - b.AtS) * 1000) })
	result := &report.Report{
		Shape: r.options.Shape.Name, Seed: r.options.Seed, DurationS: r.options.Duration.Seconds(), Rate: r.options.Rate,
		Baseline: string(r.options.Baseline), Version: version.Text(), FaultsSet: r.options.FaultsSet,
		Faults: r.faults, Processes: used,
	}
	judge.Judge(input, result)
	r.compareDirect(results, direct, result)
	return result, nil
}

// compareDirect reports the latency of the same stream through limehold and sent directly.
func (r *run) compareDirect(results, direct []load.Result, result *report.Report) {
	stream := r.directStream().Name
	var routed []load.Result
	for i := range results {
		if results[i].Stream == stream {
			routed = append(routed, results[i])
		}
	}
	result.ComparedStream = stream
	result.ComparedLatency = judge.Latencies(routed)
	result.BaselineLatency = judge.Latencies(direct)
}

func (r *run) usage() []report.Process {
	byRole := map[string]*report.Process{}
	for _, process := range r.fleet.Processes() {
		sum := byRole[process.Role]
		if sum == nil {
			sum = &report.Process{Role: process.Role}
			byRole[process.Role] = sum
		}
		used := process.Usage()
		sum.Count++
		sum.CPUSeconds += used.CPUSeconds
		sum.PeakRSSMB = max(sum.PeakRSSMB, float64(used.PeakRSSBytes)/(1<<20))
		sum.SentBytes += used.SentBytes
		sum.ReceivedBytes += used.ReceivedBytes
	}
	var list []report.Process
	for _, role := range []string{"control", "router", "agent", "backend"} {
		if sum := byRole[role]; sum != nil {
			list = append(list, *sum)
		}
	}
	return list
}

// LogFolder returns the folder of a run's process logs.
func LogFolder(folder string) string { return filepath.Join(folder, "logs") }

// Describe summarizes a report in one line.
func Describe(result *report.Report) string {
	return fmt.Sprintf("%s seed %d: %d requests, %d ok, %d not run, %d unknown, %d cut, %d without answer, %d faults, %d moves",
		result.Shape, result.Seed, result.Requests, result.OK, result.NotRun, result.Unknown, result.Cut, result.NoAnswer, len(result.Faults), result.Churn.Moves)
}
