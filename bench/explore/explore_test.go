package explore

import (
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A search by hand with 25,000,000 visits all states of three of the four cases, in
// 5 minutes with 7 GB (-parallel 3); the default takes a second.
var statesFlag = flag.Int("explore-states", 50_000, "states that each search in wide bounds visits at most, 0: all")

// mostStates is above what any case here needs, and keeps a change of the model from
// filling the memory.
const mostStates = 1_000_000

func above(r *Rules)         { r.FenceAboveClear = true }
func aboveAnew(r *Rules)     { r.FenceAboveClear, r.OpensAnew = true, true }
func endsNamed(r *Rules)     { r.EndNamesEpoch = true }
func endsByProcess(r *Rules) { r.EndNamesProcess = true }
func byListEarly(r *Rules)   { r.ByList, r.EndNamesProcess, r.ByListEarly = true, true, true }
func byListSame(r *Rules)    { r.ByList, r.EndNamesProcess, r.ByListSameFence = true, true, true }
func handedBack(b *Bounds)   { b.HandedBackIsFree = true }
func oneAndOne(b *Bounds)    { b.Lives = [nodes]uint8{1, 1} }
func lateLists(b *Bounds)    { b.LateLists = 1 }
func lateEnds(b *Bounds)     { b.LateEnds = true }
func afterward(b *Bounds)    { b.LateAfterLease = true }
func single(b *Bounds)       { b.LateAfterLease, b.Doubled = true, false }

// bounds of the cases: one instance starts twice, the other once, which tells the
// guards apart at half the states of two and two.
func bounds(beats, restarts, sessions, assignments, moves uint8, changes ...func(*Bounds)) Bounds {
	b := Bounds{Lives: [nodes]uint8{2, 1}, Beats: beats, Restarts: restarts, Sessions: sessions, Assignments: assignments, Moves: moves, LateCalls: 1, Doubled: true, States: mostStates}
	for _, change := range changes {
		change(&b)
	}
	return b
}

func twoAndTwo(b *Bounds) { b.Lives = [nodes]uint8{2, 2} }

func report(t *testing.T, r Result) {
	t.Helper()
	t.Logf("%d states, %.0f a second, depth %d, complete %v", r.States, r.StatesPerSecond, r.Depth, r.Complete)
	if len(r.Trace) > 0 {
		t.Logf("counter-example of %d events\n%s", len(r.Trace), r.Trace)
	}
}

func TestNewRulesKeepOneHolder(t *testing.T) {
	t.Parallel()
	cases := map[string]Options{
		"starts of both":             {newRules(), bounds(2, 0, 2, 2, 0, twoAndTwo)},
		"heartbeat of a former life": {newRules(), bounds(3, 0, 3, 2, 0)},
		"sidecar starts again":       {newRules(), bounds(3, 1, 2, 2, 0)},
		"move":                       {newRules(), bounds(2, 0, 2, 2, 1)},
		"late end names its epoch":   {changed(endsNamed), bounds(3, 1, 2, 2, 0, lateEnds)},
		"late end names its process": {changed(endsByProcess), bounds(3, 1, 2, 2, 0, lateEnds)},
		// The rule that the product has in place of the exact one.
		"by list, starts of both":             {changed(byList), bounds(2, 0, 2, 2, 0, twoAndTwo)},
		"by list, heartbeat of a former life": {changed(byList), bounds(3, 0, 3, 2, 0)},
		"by list, restart and late list":      {changed(byList), bounds(2, 1, 1, 2, 0, lateLists)},
		"by list, handed back to anyone":      {changed(byList), bounds(2, 1, 2, 2, 0, handedBack, lateLists, oneAndOne)},
		"by list, move":                       {changed(byList), bounds(2, 0, 2, 2, 1)},
		"by list, restart and late end":       {changed(byList), bounds(3, 1, 2, 2, 0, lateEnds)},
		// Grants may be carried out after the lease that they were sent under.
		"quiet, starts of both":             {changed(quiet), bounds(2, 0, 2, 2, 0, twoAndTwo, single)},
		"quiet, restart and late list":      {changed(quiet), bounds(3, 1, 2, 2, 0, lateLists, oneAndOne, single)},
		"quiet, restart and late end":       {changed(quiet), bounds(3, 1, 2, 2, 0, lateEnds, oneAndOne, single)},
		"quiet, handed back, two late ones": {changed(quiet), bounds(2, 1, 2, 2, 0, handedBack, oneAndOne, single, func(b *Bounds) { b.LateCalls = 2 })},
		"quiet, move":                       {changed(quiet), bounds(2, 0, 2, 2, 1, single)},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Search(options)
			report(t, r)
			is := is.New(t)
			is.Equal(len(r.Trace), 0)
			is.True(r.Complete)
		})
	}
}

// Each guard is needed, and what the guards leave open is seen: without a
// counter-example here the model would not be able to tell.
func TestCounterExamples(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		options Options
		broken  breach
	}{
		"old":                   {Options{Rules{}, bounds(2, 0, 2, 2, 0)}, oldFence},
		"without connection":    {Options{changed(func(r *Rules) { r.Connection = false }), bounds(2, 0, 2, 2, 0)}, oldFence},
		"without clear":         {Options{changed(func(r *Rules) { r.Clear = false }), bounds(3, 0, 3, 2, 0)}, twoHolders},
		"without free on proof": {Options{changed(func(r *Rules) { r.FreeOnProof = false }), bounds(3, 0, 3, 2, 0)}, twoHolders},
		"without ended":         {Options{changed(func(r *Rules) { r.Ended = false }), bounds(2, 0, 2, 2, 0)}, twoHolders},
		"without epochs":        {Options{changed(func(r *Rules) { r.Epochs = false }), bounds(3, 0, 3, 3, 0)}, twoHolders},
		// A clear that waits for no list misses what an earlier process told; one under the highest revision
		// itself lets a late grant through that carries it.
		"by list, clear before the list": {Options{changed(byListEarly), bounds(2, 1, 1, 1, 0)}, oldFence},
		"by list, clear under the same":  {Options{changed(byListSame), bounds(2, 0, 2, 2, 0, handedBack, oneAndOne)}, twoHolders},
		// What the guards leave open.
		"fence only above the clear":     {Options{changed(above), bounds(2, 1, 1, 1, 0)}, oldFence},
		"end of a session is late":       {Options{newRules(), bounds(3, 1, 2, 2, 0, lateEnds)}, twoHolders},
		"grant later than the lease":     {Options{newRules(), bounds(2, 0, 2, 2, 0, afterward)}, twoHolders},
		"old, grant later, one life all": {Options{Rules{}, bounds(2, 0, 2, 2, 0, afterward, oneAndOne)}, twoHolders},
		// The product's rule before and without each half of the claims.
		"by list, grant later than the lease":  {Options{changed(byList), bounds(2, 0, 2, 2, 0, single, oneAndOne)}, twoHolders},
		"quiet, said of an earlier process":    {Options{changed(quietUncleared), bounds(3, 1, 2, 2, 0, single, oneAndOne)}, twoHolders},
		"quiet, grants sent before it is told": {Options{changed(quietUntold), bounds(2, 0, 2, 2, 0, single, oneAndOne)}, twoHolders},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Search(c.options)
			report(t, r)
			is := is.New(t)
			is.True(len(r.Trace) > 0)
			is.Equal(r.Trace[len(r.Trace)-1].to.broken, c.broken)
			is.True(strings.Contains(r.Trace.String(), c.broken.String()))
		})
	}
}

// States that are taken for the same by canonical break the same rules after as many
// events as those that are compared as they are.
func TestCanonicalFormHidesNothing(t *testing.T) {
	t.Parallel()
	cases := map[string]Options{
		"new":                        {newRules(), bounds(2, 0, 2, 1, 1)},
		"old":                        {Rules{}, bounds(2, 0, 2, 2, 0)},
		"without connection":         {changed(func(r *Rules) { r.Connection = false }), bounds(2, 0, 2, 2, 0)},
		"fence only above the clear": {changed(above), bounds(2, 1, 1, 1, 0)},
		"grant later than the lease": {newRules(), bounds(2, 0, 2, 2, 0, afterward)},
		"by list, move":              {changed(byList), bounds(1, 1, 1, 2, 1, lateLists, oneAndOne)},
		"by list, two sessions":      {changed(byList), bounds(2, 0, 2, 2, 0, oneAndOne)},
		"quiet, before it is told":   {changed(quietUntold), bounds(2, 0, 2, 2, 0, single, oneAndOne)},
		"by list, before the list":   {changed(byListEarly), bounds(2, 1, 1, 1, 0, lateLists)},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			short, whole := Search(options), searchBy(options, func(_ Options, v state) state { return v })
			t.Logf("%d states instead of %d", short.States, whole.States)
			is := is.New(t)
			is.Equal(len(short.Trace), len(whole.Trace))
			is.Equal(short.Complete, whole.Complete)
		})
	}
}

// By hand, with -explore-states: only with millions of states does a search in wide
// bounds go further than the cases above.
func TestNewRulesInWideBounds(t *testing.T) {
	t.Parallel()
	wide := Bounds{Lives: [nodes]uint8{3, 2}, Beats: 4, Restarts: 1, Sessions: 4, Assignments: 4, Moves: 1, LateCalls: 2, Doubled: true, LateEnds: true, States: *statesFlag}
	middle := bounds(3, 1, 3, 3, 0, twoAndTwo, lateEnds)
	middle.States = *statesFlag
	byListWide := bounds(3, 1, 3, 3, 1, twoAndTwo, lateEnds, lateLists, handedBack)
	byListWide.States = *statesFlag
	former := Bounds{Lives: [nodes]uint8{3, 1}, Beats: 4, Restarts: 1, Sessions: 4, Assignments: 3, LateCalls: 1, Doubled: true, States: *statesFlag}
	cases := map[string]Options{
		"all events":                 {changed(endsNamed), wide},
		"end names its epoch":        {changed(endsNamed), middle},
		"end names its process":      {changed(endsByProcess), middle},
		"by list":                    {changed(byList), byListWide},
		"above clear, sessions anew": {changed(aboveAnew), middle},
		"three lives":                {newRules(), former},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Search(options)
			report(t, r)
			is := is.New(t)
			is.Equal(len(r.Trace), 0)
		})
	}
}

// The sets of rules that have a name: the product's holds where those without the claims of grants break.
func TestNamedRules(t *testing.T) {
	t.Parallel()
	for name, broken := range map[string]bool{ProductRules: false, "without-quiet": true, "quiet-untold": true, "none": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rules, known := NamedRules()[name]
			is := is.New(t)
			is.True(known)
			r := Search(Options{rules, bounds(2, 0, 2, 2, 0, single, oneAndOne)})
			report(t, r)
			is.Equal(len(r.Trace) > 0, broken)
			is.Equal(r.Complete, !broken)
		})
	}
}
