package simulate

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"limehold/catalog"
	"limehold/consensus"
	"limehold/fleet"
)

const (
	services = 2
	shards   = 4
)

func serviceName(number int) string { return fmt.Sprintf("service-%d", number) }

// Options configures one simulated run.
type Options struct {
	Seed uint64
	// Members is the size of the control group. The default is 3, or 5 for every fourth seed.
	Members int
	// Nodes is the number of nodes that own shards. The default is 4.
	Nodes int
	// Length is the virtual time of the run. The default is 14 s.
	Length time.Duration
	// Trace records a description of the last events.
	Trace bool
	// Sync is the mean duration of a sync of a member's disk. Each sync takes between
	// half and one and a half times as long. If it is 0, syncs take up to 3 ms.
	Sync time.Duration
	// SlowDisks is the number of members that Sync applies to; 0 means all.
	SlowDisks int
	// FullDisks adds full disks to the faults.
	FullDisks bool
	// JointReplacements has operators replace a member by one joint change, in place of a removal and a promotion.
	JointReplacements bool
	// SkippedFaults holds the positions in the fault schedule of faults that are not injected.
	SkippedFaults map[int]bool

	recoveryTime      time.Duration
	meanFaultInterval time.Duration
	driftPermille     int
	lossPermille      int
	duplicatePermille int
	delayedPermille   int
}

func (o *Options) applyDefaults() {
	if o.Members == 0 {
		o.Members = 3
		if o.Seed%4 == 3 {
			o.Members = 5
		}
	}
	if o.Nodes == 0 {
		o.Nodes = 4
	}
	if o.Length == 0 {
		o.Length = 14 * time.Second
	}
	o.recoveryTime = 5 * time.Second
	o.meanFaultInterval = 400 * time.Millisecond
	// Odd seeds have clocks within the drift bound of the default settings. Even
	// seeds have a far larger drift, and settings that allow for it.
	o.driftPermille = 10
	if o.Seed%2 == 0 {
		o.driftPermille = 100
	}
	// A third of the seeds have no message faults, a third few and a third many.
	switch o.Seed % 3 {
	case 1:
		o.lossPermille, o.duplicatePermille, o.delayedPermille = 5, 10, 10
	case 2:
		o.lossPermille, o.duplicatePermille, o.delayedPermille = 40, 60, 60
	}
}

// faultsUntil returns the time before which all faults start, 2 s before endFaults.
func (o *Options) faultsUntil() time.Duration { return o.Length - o.recoveryTime - 2*time.Second }

func (o *Options) workUntil() time.Duration { return o.Length - 2*time.Second }

// Failure is a violated guarantee.
type Failure struct {
	Seed      uint64        `json:"seed"`
	Guarantee string        `json:"promise"`
	Message   string        `json:"message"`
	At        time.Duration `json:"at"`
	// Faults are the faults without which the failure does not occur.
	Faults []string `json:"faults"`
	Trace  []string `json:"trace"`
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("seed %d after %s: %s: %s", f.Seed, f.At, f.Guarantee, f.Message)
}

// Result is the result of one run.
type Result struct {
	Steps   int
	Virtual time.Duration
	Counts  map[string]int
	Failure *Failure
}

// Run simulates one seed.
func Run(options Options) *Result {
	options.applyDefaults()
	w := newSimulation(options)
	w.build()
	for number, fault := range drawFaults(&options) {
		if options.SkippedFaults[number] {
			continue
		}
		w.schedule(fault.At, func() { w.inject(fault) })
	}
	w.schedule(options.Length-options.recoveryTime, w.endFaults)
	w.run(options.Length)
	if w.failure == nil {
		w.checker.checkFinal()
	}
	return &Result{Steps: w.steps, Virtual: w.now, Counts: w.counts, Failure: w.failure}
}

// build creates a group whose members start from one snapshot, its services, nodes and
// operators.
func (w *simulation) build() {
	first := consensus.Snapshot{Index: 1, Term: 1}
	for i := range w.options.Members {
		first.Configuration.Members = append(first.Configuration.Members, consensus.Member{ID: consensus.MemberID(i + 1), Name: fmt.Sprintf("control-%d", i+1)})
	}
	state := fleet.NewState()
	for _, command := range setup() {
		if result, _ := state.Apply(state.Revision+1, &command); result.Failure != nil {
			w.fail("set-up", "%v", result.Failure)
			return
		}
	}
	data, err := state.Encode()
	if err != nil {
		w.fail("set-up", "%v", err)
		return
	}
	first.Index, first.Data = state.Revision, data
	for _, member := range first.Configuration.Members {
		w.members = append(w.members, w.newMember(member.Name, member.ID, first))
	}
	for i := range w.options.Nodes {
		name := fmt.Sprintf("node-%d", i+1)
		w.nodes = append(w.nodes, w.newNode(name, name))
	}
	for i := range 3 {
		w.operators = append(w.operators, w.newOperator(i+1))
	}
}

func setup() []fleet.Command {
	timeout := "1s"
	template := catalog.Template{
		Name: "keyed",
		Parameters: []catalog.Parameter{
			{Name: "prefix", Type: catalog.ParameterName},
			{Name: "timeout", Type: catalog.ParameterDuration, Default: &timeout},
		},
		SpecText: fmt.Sprintf("match: {path_prefix: \"/${prefix}\"}\npool: %s\nkeyed: true\nkey: {source: path, segment: 0}\nshards: %d\nroutes:\n  - {timeout: \"${timeout}\"}\n", nodePool, shards),
	}
	commands := []fleet.Command{{ApplyTemplate: &fleet.ApplyTemplate{Template: template, Expected: catalog.AnyRevision}}}
	for number := range services {
		name := serviceName(number)
		commands = append(commands, fleet.Command{CreateService: &fleet.CreateService{Name: name, Template: "keyed", Values: map[string]string{"prefix": name}}})
	}
	return commands
}

// endFaults ends partitions, pauses, slow disks, and lost and delayed messages; crashed
// processes restart as scheduled. From then on the system must recover on its own.
func (w *simulation) endFaults() {
	w.options.lossPermille, w.options.delayedPermille = 0, 0
	for _, p := range w.processes {
		*w.connectivity[p] = connectivity{outgoing: true, incoming: true}
		w.resume(p)
	}
	for _, m := range w.members {
		m.disk.slowUntil, m.disk.fullUntil = 0, 0
	}
}

// Minimize leaves out every fault without which the same guarantee is still
// violated. It returns the failure with the remaining faults and a trace.
func Minimize(failure *Failure) *Failure {
	options := Options{Seed: failure.Seed}
	options.applyDefaults()
	faults := drawFaults(&options)
	skipped := map[int]bool{}
	for number := range faults {
		skipped[number] = true
		found := Run(Options{Seed: failure.Seed, SkippedFaults: skipped}).Failure
		if found == nil || found.Guarantee != failure.Guarantee {
			delete(skipped, number)
		}
	}
	minimal := Run(Options{Seed: failure.Seed, SkippedFaults: skipped, Trace: true}).Failure
	if minimal == nil {
		return failure
	}
	for number, fault := range faults {
		if !skipped[number] {
			minimal.Faults = append(minimal.Faults, fault.String())
		}
	}
	return minimal
}

// Summary is the result of many runs.
type Summary struct {
	Schedules      int            `json:"schedules"`
	FirstSeed      uint64         `json:"first_seed"`
	Steps          int            `json:"steps"`
	VirtualSeconds float64        `json:"virtual_seconds"`
	WallSeconds    float64        `json:"wall_seconds"`
	Events         map[string]int `json:"events_per_kind"`
	Failures       []*Failure     `json:"failures"`
}

// RunMany simulates count seeds on all processors. It continues
// after a failure and stops once there are maxFailures.
func RunMany(first uint64, count int, maxFailures int) *Summary {
	summary := &Summary{Schedules: count, FirstSeed: first, Events: map[string]int{}}
	started := time.Now()
	seeds := make(chan uint64)
	var mutex sync.Mutex
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				result := Run(Options{Seed: seed})
				mutex.Lock()
				summary.add(result)
				mutex.Unlock()
			}
		}()
	}
	for i := range count {
		mutex.Lock()
		failed := len(summary.Failures)
		mutex.Unlock()
		if failed >= maxFailures {
			break
		}
		seeds <- first + uint64(i)
	}
	close(seeds)
	workers.Wait()
	summary.WallSeconds = time.Since(started).Seconds()
	summary.checkCoverage()
	return summary
}

// requiredEvents lists the events that must occur in a large number of runs. A guarantee whose events
// never occur would not be checked.
var requiredEvents = []string{
	"executions", "executions refused by lease or epoch", "grants", "transfers begun", "renewals", "sessions lost",
	"commands answered", "conflicts", "commands sent again", "snapshots installed", "torn writes", "members replaced",
	"lists sent as differences", "lists sent whole",
	"operations checked for linearizability", "whole states compared", "messages repeated", "messages lost",
}

const minSchedulesForCoverage = 100

func (s *Summary) checkCoverage() {
	if s.Schedules < minSchedulesForCoverage || len(s.Failures) > 0 {
		return
	}
	for _, kind := range requiredEvents {
		if s.Events[kind] == 0 {
			s.Failures = append(s.Failures, &Failure{Seed: s.FirstSeed, Guarantee: "the runs check something", Message: "it never came to: " + kind})
		}
	}
}

func (s *Summary) add(result *Result) {
	s.Steps += result.Steps
	s.VirtualSeconds += result.Virtual.Seconds()
	for kind, count := range result.Counts {
		s.Events[kind] += count
	}
	if result.Failure != nil {
		s.Failures = append(s.Failures, result.Failure)
	}
}
