package explore

import (
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// With -explore-states 25000000, the searches in wide bounds take minutes and about 7 GB (-parallel 3).
// The default takes a second.
var statesFlag = flag.Int("explore-states", 50_000, "states that each search in wide bounds visits at most, 0: all")

// maxStates is above the number of states in any case here, and limits the memory if the model changes.
const maxStates = 1_000_000

func fenceAboveClear(r *Rules)     { r.FenceAboveClear = true }
func newSessionOnRestart(r *Rules) { r.FenceAboveClear, r.NewSessionOnRestart = true, true }
func closeNamesEpoch(r *Rules)     { r.CloseNamesEpoch = true }
func closeNamesProcess(r *Rules)   { r.CloseNamesProcess = true }
func early(r *Rules)               { r.ClearAfterList, r.CloseNamesProcess, r.ClearBeforeList = true, true, true }
func sameFence(r *Rules)           { r.ClearAfterList, r.CloseNamesProcess, r.ClearSameFence = true, true, true }
func staleReleaseFrees(b *Bounds)  { b.StaleReleaseFrees = true }
func oneIncarnation(b *Bounds)     { b.Incarnations = [nodes]uint8{1, 1} }
func lateList(b *Bounds)           { b.LateLists = 1 }
func lateCloses(b *Bounds)         { b.LateCloses = true }
func lateAfterLease(b *Bounds)     { b.LateAfterLease = true }
func singleLateCalls(b *Bounds)    { b.LateAfterLease, b.DuplicateCalls = true, false }

// bounds returns the bounds of a case: one instance has two incarnations and the other has one. This
// shows the same differences between the rules as two of each, with half as many states.
func bounds(heartbeats, restarts, sessions, assignments, moves uint8, changes ...func(*Bounds)) Bounds {
	b := Bounds{Incarnations: [nodes]uint8{2, 1}, Heartbeats: heartbeats, Restarts: restarts, Sessions: sessions, Assignments: assignments, Moves: moves, LateCalls: 1, DuplicateCalls: true, States: maxStates}
	for _, change := range changes {
		change(&b)
	}
	return b
}

func twoIncarnations(b *Bounds) { b.Incarnations = [nodes]uint8{2, 2} }

func logResult(t *testing.T, r Result) {
	t.Helper()
	t.Logf("%d states, %.0f a second, depth %d, complete %v", r.States, r.StatesPerSecond, r.Depth, r.Complete)
	if len(r.Trace) > 0 {
		t.Logf("counter-example of %d events\n%s", len(r.Trace), r.Trace)
	}
}

func TestNewRulesKeepOneHolder(t *testing.T) {
	t.Parallel()
	cases := map[string]Options{
		"starts of both":             {baseRules(), bounds(2, 0, 2, 2, 0, twoIncarnations)},
		"heartbeat of a former life": {baseRules(), bounds(3, 0, 3, 2, 0)},
		"sidecar starts again":       {baseRules(), bounds(3, 1, 2, 2, 0)},
		"move":                       {baseRules(), bounds(2, 0, 2, 2, 1)},
		"late end names its epoch":   {baseRulesWith(closeNamesEpoch), bounds(3, 1, 2, 2, 0, lateCloses)},
		"late end names its process": {baseRulesWith(closeNamesProcess), bounds(3, 1, 2, 2, 0, lateCloses)},
		// ClearAfterList, the form in which the product implements ClearedConnection.
		"by list, starts of both":             {baseRulesWith(clearAfterList), bounds(2, 0, 2, 2, 0, twoIncarnations)},
		"by list, heartbeat of a former life": {baseRulesWith(clearAfterList), bounds(3, 0, 3, 2, 0)},
		"by list, restart and late list":      {baseRulesWith(clearAfterList), bounds(2, 1, 1, 2, 0, lateList)},
		"by list, handed back to anyone":      {baseRulesWith(clearAfterList), bounds(2, 1, 2, 2, 0, staleReleaseFrees, lateList, oneIncarnation)},
		"by list, move":                       {baseRulesWith(clearAfterList), bounds(2, 0, 2, 2, 1)},
		"by list, restart and late end":       {baseRulesWith(clearAfterList), bounds(3, 1, 2, 2, 0, lateCloses)},
		// Grants may be executed after the end of the lease under which they were sent.
		"quiet, starts of both":             {baseRulesWith(quiescence), bounds(2, 0, 2, 2, 0, twoIncarnations, singleLateCalls)},
		"quiet, restart and late list":      {baseRulesWith(quiescence), bounds(3, 1, 2, 2, 0, lateList, oneIncarnation, singleLateCalls)},
		"quiet, restart and late end":       {baseRulesWith(quiescence), bounds(3, 1, 2, 2, 0, lateCloses, oneIncarnation, singleLateCalls)},
		"quiet, handed back, two late ones": {baseRulesWith(quiescence), bounds(2, 1, 2, 2, 0, staleReleaseFrees, oneIncarnation, singleLateCalls, func(b *Bounds) { b.LateCalls = 2 })},
		"quiet, move":                       {baseRulesWith(quiescence), bounds(2, 0, 2, 2, 1, singleLateCalls)},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Search(options)
			logResult(t, r)
			is := is.New(t)
			is.Equal(len(r.Trace), 0)
			is.True(r.Complete)
		})
	}
}

// Guards against a model that cannot detect violations: each safeguard is needed, and the gaps
// that the safeguards leave open produce counter-examples.
func TestCounterExamples(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		options   Options
		violation violation
	}{
		"old":                   {Options{Rules{}, bounds(2, 0, 2, 2, 0)}, staleFence},
		"without connection":    {Options{baseRulesWith(func(r *Rules) { r.ClearedConnection = false }), bounds(2, 0, 2, 2, 0)}, staleFence},
		"without clear":         {Options{baseRulesWith(func(r *Rules) { r.ClearFirst = false }), bounds(3, 0, 3, 2, 0)}, twoHolders},
		"without free on proof": {Options{baseRulesWith(func(r *Rules) { r.FreeOnClear = false }), bounds(3, 0, 3, 2, 0)}, twoHolders},
		"without ended":         {Options{baseRulesWith(func(r *Rules) { r.FinalClose = false }), bounds(2, 0, 2, 2, 0)}, twoHolders},
		"without epochs":        {Options{baseRulesWith(func(r *Rules) { r.RevisionEpochs = false }), bounds(3, 0, 3, 3, 0)}, twoHolders},
		// A clear that does not wait for a list misses what an earlier process received. A clear under the highest
		// revision itself does not exclude a late grant with that revision as its fence.
		"by list, clear before the list": {Options{baseRulesWith(early), bounds(2, 1, 1, 1, 0)}, staleFence},
		"by list, clear under the same":  {Options{baseRulesWith(sameFence), bounds(2, 0, 2, 2, 0, staleReleaseFrees, oneIncarnation)}, twoHolders},
		// Gaps that the safeguards leave open.
		"fence only above the clear":     {Options{baseRulesWith(fenceAboveClear), bounds(2, 1, 1, 1, 0)}, staleFence},
		"end of a session is late":       {Options{baseRules(), bounds(3, 1, 2, 2, 0, lateCloses)}, twoHolders},
		"grant later than the lease":     {Options{baseRules(), bounds(2, 0, 2, 2, 0, lateAfterLease)}, twoHolders},
		"old, grant later, one life all": {Options{Rules{}, bounds(2, 0, 2, 2, 0, lateAfterLease, oneIncarnation)}, twoHolders},
		// The product's rules without quiescence reports, and with one of the two requirements dropped.
		"by list, grant later than the lease":  {Options{baseRulesWith(clearAfterList), bounds(2, 0, 2, 2, 0, singleLateCalls, oneIncarnation)}, twoHolders},
		"quiet, said of an earlier process":    {Options{baseRulesWith(quiescenceUncleared), bounds(3, 1, 2, 2, 0, singleLateCalls, oneIncarnation)}, twoHolders},
		"quiet, grants sent before it is told": {Options{baseRulesWith(quiescenceUnnotified), bounds(2, 0, 2, 2, 0, singleLateCalls, oneIncarnation)}, twoHolders},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Search(c.options)
			logResult(t, r)
			is := is.New(t)
			is.True(len(r.Trace) > 0)
			is.Equal(r.Trace[len(r.Trace)-1].to.violation, c.violation)
			is.True(strings.Contains(r.Trace.String(), c.violation.String()))
		})
	}
}

// The canonical form must not change results: the shortest violation has as many events as
// without it.
func TestCanonicalFormHidesNothing(t *testing.T) {
	t.Parallel()
	cases := map[string]Options{
		"new":                        {baseRules(), bounds(2, 0, 2, 1, 1)},
		"old":                        {Rules{}, bounds(2, 0, 2, 2, 0)},
		"without connection":         {baseRulesWith(func(r *Rules) { r.ClearedConnection = false }), bounds(2, 0, 2, 2, 0)},
		"fence only above the clear": {baseRulesWith(fenceAboveClear), bounds(2, 1, 1, 1, 0)},
		"grant later than the lease": {baseRules(), bounds(2, 0, 2, 2, 0, lateAfterLease)},
		"by list, move":              {baseRulesWith(clearAfterList), bounds(1, 1, 1, 2, 1, lateList, oneIncarnation)},
		"by list, two sessions":      {baseRulesWith(clearAfterList), bounds(2, 0, 2, 2, 0, oneIncarnation)},
		"quiet, before it is told":   {baseRulesWith(quiescenceUnnotified), bounds(2, 0, 2, 2, 0, singleLateCalls, oneIncarnation)},
		"by list, before the list":   {baseRulesWith(early), bounds(2, 1, 1, 1, 0, lateList)},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reduced, plain := Search(options), searchWithForm(options, func(_ Options, v state) state { return v })
			t.Logf("%d states instead of %d", reduced.States, plain.States)
			is := is.New(t)
			is.Equal(len(reduced.Trace), len(plain.Trace))
			is.Equal(reduced.Complete, plain.Complete)
		})
	}
}

// Searches wide bounds as far as -explore-states allows. It goes further than the cases above
// only with millions of states.
func TestNewRulesInWideBounds(t *testing.T) {
	t.Parallel()
	wide := Bounds{Incarnations: [nodes]uint8{3, 2}, Heartbeats: 4, Restarts: 1, Sessions: 4, Assignments: 4, Moves: 1, LateCalls: 2, DuplicateCalls: true, LateCloses: true, States: *statesFlag}
	middle := bounds(3, 1, 3, 3, 0, twoIncarnations, lateCloses)
	middle.States = *statesFlag
	byListWide := bounds(3, 1, 3, 3, 1, twoIncarnations, lateCloses, lateList, staleReleaseFrees)
	byListWide.States = *statesFlag
	threeIncarnations := Bounds{Incarnations: [nodes]uint8{3, 1}, Heartbeats: 4, Restarts: 1, Sessions: 4, Assignments: 3, LateCalls: 1, DuplicateCalls: true, States: *statesFlag}
	cases := map[string]Options{
		"all events":                 {baseRulesWith(closeNamesEpoch), wide},
		"end names its epoch":        {baseRulesWith(closeNamesEpoch), middle},
		"end names its process":      {baseRulesWith(closeNamesProcess), middle},
		"by list":                    {baseRulesWith(clearAfterList), byListWide},
		"above clear, sessions anew": {baseRulesWith(newSessionOnRestart), middle},
		"three lives":                {baseRules(), threeIncarnations},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Search(options)
			logResult(t, r)
			is := is.New(t)
			is.Equal(len(r.Trace), 0)
		})
	}
}

// The product's rules must hold in bounds in which rules without working quiescence reports are violated.
func TestNamedRules(t *testing.T) {
	t.Parallel()
	for name, violated := range map[string]bool{ProductRules: false, "without-quiet": true, "quiet-untold": true, "none": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rules, known := NamedRules()[name]
			is := is.New(t)
			is.True(known)
			r := Search(Options{rules, bounds(2, 0, 2, 2, 0, singleLateCalls, oneIncarnation)})
			logResult(t, r)
			is.Equal(len(r.Trace) > 0, violated)
			is.Equal(r.Complete, !violated)
		})
	}
}
