package experiment

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"limehold/bench/report"
)

// FaultKind names an unplanned fault, a planned stop or a planned change.
type FaultKind string

// Unplanned faults.
const (
	KillNode         FaultKind = "kill-node"
	KillBackend      FaultKind = "kill-backend"
	KillAgent        FaultKind = "kill-agent"
	FreezeNode       FaultKind = "freeze-node"
	FreezeBackend    FaultKind = "freeze-backend"
	KillLeader       FaultKind = "kill-leader"
	FreezeLeader     FaultKind = "freeze-leader"
	CutLeader        FaultKind = "cut-leader"
	CutLeaderOneWay  FaultKind = "cut-leader-one-way"
	KillLeaderNode   FaultKind = "kill-leader-and-node"
	WipeMember       FaultKind = "wipe-member"
	KillRouter       FaultKind = "kill-router"
	CutRouterControl FaultKind = "cut-router-from-control"
	CutNodeControl   FaultKind = "cut-node-from-control"
	CutNodeRouters   FaultKind = "cut-node-from-routers"
	ResetConnections FaultKind = "reset-connections"
	CutBefore        FaultKind = "cut-before-answer"
	CutWithin        FaultKind = "cut-within-answer"
	CrossedAnswers   FaultKind = "crossed-answers"
	DoubleAnswers    FaultKind = "double-answers"
	LateAnswers      FaultKind = "late-answers"
	LyingLoad        FaultKind = "lying-load"
	SlowNode         FaultKind = "slow-node"
	FailingNode      FaultKind = "failing-node"
	// FailingPool lets every instance of a pool cut most of its answers, where retries
	// only add load. Its target is the pool. The standard schedule does not contain it.
	FailingPool FaultKind = "failing-pool"
	// CrashingRequest repeatedly sends a request that crashes the back end that runs it.
	// Its target is the request's stream. The standard schedule does not contain it.
	CrashingRequest FaultKind = "deadly-request"
)

// Planned stops and changes.
const (
	RestartRouters FaultKind = "restart-routers"
	RestartBackend FaultKind = "restart-back-end"
	RestartAgent   FaultKind = "restart-agent"
	RestartControl FaultKind = "restart-control"
	DrainNode      FaultKind = "drain-node"
	ListLeaving    FaultKind = "list-says-leaving"
	ListGone       FaultKind = "list-says-gone"
	AddNode        FaultKind = "add-cold-node"
)

// plannedKinds are the kinds that must not cut any request.
var plannedKinds = []FaultKind{RestartRouters, RestartBackend, RestartAgent, RestartControl, DrainNode, ListLeaving, ListGone, AddNode}

// unplannedKinds are the unplanned kinds of the standard schedule. Their order is
// an input of the seeded shuffle.
var unplannedKinds = []FaultKind{
	KillNode, KillLeader, CutWithin, FreezeNode, CutLeader, CrossedAnswers, KillBackend, KillLeaderNode,
	ResetConnections, FreezeLeader, LateAnswers, CutNodeControl, CutBefore, WipeMember, KillAgent,
	CutLeaderOneWay, DoubleAnswers, KillRouter, LyingLoad, CutNodeRouters, FailingNode, SlowNode,
	CutRouterControl, FreezeBackend,
}

// Planned reports whether the kind is a planned stop or change, which must not affect callers.
func (k FaultKind) Planned() bool { return slices.Contains(plannedKinds, k) }

// Fault is one entry of a schedule.
type Fault struct {
	Kind FaultKind `yaml:"kind"`
	// Target is the name of a node or router, of a pool for FailingPool, and of a stream for CrashingRequest.
	// If it is empty, a node or router is chosen at random, and CrashingRequest uses directStream. Other kinds
	// ignore it.
	Target string `yaml:"target"`
	// At is the start of the fault, counted from the start of the load.
	At time.Duration `yaml:"at"`
	// For is how long the fault lasts. Restarts ignore it and end when they are done.
	For time.Duration `yaml:"for"`
}

// LoadFaults returns the schedule called none or standard, or reads one from a YAML file.
func LoadFaults(name string, seed uint64, duration time.Duration) ([]Fault, error) {
	switch name {
	case "", report.FaultsNone:
		return nil, nil
	case "standard":
		return StandardFaults(seed, duration), nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "--faults: use none, standard, or the name of a YAML file")
	}
	var faults []Fault
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&faults); err != nil {
		return nil, eris.Wrapf(err, "--faults %s: write a list of {kind, target, at, for}", name)
	}
	for i, fault := range faults {
		if injectors[fault.Kind] == nil {
			return nil, eris.Errorf("--faults %s: entry %d has kind %q: use one of %s", name, i+1, fault.Kind, kindNames())
		}
	}
	return faults, nil
}

func kindNames() string {
	var names []string
	for kind := range injectors {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

const (
	firstFaultAt = time.Second
	// unplannedShare is the share of the run that has unplanned faults. A pause
	// follows, and then the planned stops.
	unplannedShare   = 0.58
	plannedPause     = 5 * time.Second
	faultSpacing     = 1400 * time.Millisecond
	plannedSpacing   = 3500 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// StandardFaults returns the standard schedule in an order drawn from the seed. Faults
// are close enough that one often occurs while the system recovers from another.
func StandardFaults(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 2))
	kinds := slices.Clone(unplannedKinds)
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	var faults []Fault
	end := time.Duration(float64(duration) * unplannedShare)
	for i, at := 0, firstFaultAt; at < end-maxFaultDuration; i++ {
		length := 500*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultDuration-500*time.Millisecond)))
		faults = append(faults, Fault{Kind: kinds[i%len(kinds)], At: at, For: length})
		at += faultSpacing/2 + time.Duration(random.Int64N(int64(faultSpacing)))
	}
	planned := slices.Clone(plannedKinds)
	random.Shuffle(len(planned), func(i, j int) { planned[i], planned[j] = planned[j], planned[i] })
	for i, at := 0, end+plannedPause; at < duration-plannedSpacing && i < len(planned); i++ {
		faults = append(faults, Fault{Kind: planned[i], At: at, For: time.Second})
		at += plannedSpacing
	}
	return faults
}

func (f Fault) String() string { return fmt.Sprintf("%s %s", f.Kind, f.Target) }
