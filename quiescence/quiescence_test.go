package quiescence

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// maxInFlight bounds the claims, and the answers, in transit at once. maxClaims, maxTerms and
// maxProcesses bound their total numbers.
const (
	maxInFlight  = 2
	maxClaims    = 4
	maxTerms     = 2
	maxProcesses = 2
)

// world is the state of a node, its back end and the leader, with all messages in transit.
type world struct {
	node    NodeState
	process uint64
	// seenTerm is the newest term of a leader that answered the process.
	seenTerm   uint64
	claimsMade int
	// outstanding is set while the back end may apply a grant, sentByProcess if the current process
	// has sent it.
	outstanding, sentByProcess bool
	term                       uint64
	state                      ControlState
	claims                     [maxInFlight]Claim
	answers                    [maxInFlight]answer
}

// answer is an answer to a claim in transit to the process that made it.
type answer struct {
	claim Claim
	term  uint64
}

// disabledGuards disables guards, so that the search shows what each is needed for.
type disabledGuards struct {
	order, term, process, acknowledgement, reset, clearing bool
}

// next returns every possible successor state.
func (w world) next(disabled disabledGuards) []world {
	var list []world
	// The process makes a claim. It claims to be quiet only if no grant that it has sent may be applied;
	// a new process must have cleared the back end first.
	for _, quiet := range []bool{false, true} {
		if w.claimsMade >= maxClaims || quiet && w.outstanding && (w.sentByProcess || !disabled.clearing) {
			continue
		}
		v := w
		var claim Claim
		v.claimsMade++
		v.node, claim = v.node.WithClaim(quiet)
		claim.Process, claim.Term = v.process, v.seenTerm
		if disabled.acknowledgement {
			v.node = v.node.WithAcknowledged(claim)
		}
		for i := range v.claims {
			if v.claims[i] == (Claim{}) {
				v.claims[i] = claim
				list = append(list, v)
				break
			}
		}
	}
	// A grant is sent; a grant is answered, or the back end is cleared.
	if w.node.MaySend() {
		v := w
		v.outstanding, v.sentByProcess = true, true
		list = append(list, v)
	}
	if w.outstanding {
		v := w
		v.outstanding, v.sentByProcess = false, false
		list = append(list, v)
	}
	for i, claim := range w.claims {
		if claim == (Claim{}) {
			continue
		}
		lost := w
		lost.claims[i] = Claim{}
		// The claim reaches the leader, and may be delivered again.
		for _, v := range []world{w, lost} {
			if !disabled.process && !v.state.IsOf(claim) {
				continue
			}
			v.state = v.stateAfter(claim, disabled)
			for j := range v.answers {
				if v.answers[j] == (answer{}) {
					v.answers[j] = answer{claim, v.term}
					break
				}
			}
			list = append(list, v)
		}
		list = append(list, lost)
	}
	for i, received := range w.answers {
		if received == (answer{}) {
			continue
		}
		v := w
		v.answers[i] = answer{}
		list = append(list, v)
		if received.claim.Process == v.process {
			v.node = v.node.WithAcknowledged(received.claim)
			v.seenTerm = max(v.seenTerm, received.term)
			list = append(list, v)
		}
	}
	if w.term < maxTerms {
		v := w
		v.term, v.state = w.term+1, ControlState{}.WithProcess(w.process)
		list = append(list, v)
	}
	if w.process < maxProcesses {
		v := w
		v.process, v.node, v.seenTerm, v.sentByProcess = w.process+1, NodeState{}, w.term, false
		if !disabled.reset {
			v.state = v.state.WithProcess(v.process)
		}
		list = append(list, v)
	}
	return list
}

// stateAfter returns the leader's state after a claim, without the disabled guard.
func (w world) stateAfter(claim Claim, disabled disabledGuards) ControlState {
	term := w.term
	switch {
	case disabled.order:
		return ControlState{}.WithProcess(claim.Process).WithClaim(claim, term)
	case disabled.process:
		claim.Process = w.state.process
	case disabled.term:
		term = claim.Term
	}
	return w.state.WithClaim(claim, term)
}

// violated reports whether control believes that no grant can be applied, but one can be or may be sent.
func (w world) violated() bool { return w.state.Quiet() && (w.outstanding || w.node.MaySend()) }

// search explores all states. It returns their number, and whether one violates the rule.
func search(disabled disabledGuards) (states int, violated bool) {
	first := world{process: 1, term: 1, state: ControlState{}.WithProcess(1)}
	seen := map[world]bool{first: true}
	for level := []world{first}; len(level) > 0; {
		var following []world
		for _, from := range level {
			for _, to := range from.next(disabled) {
				slices.SortFunc(to.claims[:], compareClaims)
				slices.SortFunc(to.answers[:], func(a, b answer) int { return compareClaims(a.claim, b.claim) })
				if seen[to] {
					continue
				}
				if to.violated() {
					return len(seen), true
				}
				seen[to] = true
				following = append(following, to)
			}
		}
		level = following
	}
	return len(seen), false
}

func compareClaims(a, b Claim) int {
	return int(a.Process*100+a.Sequence) - int(b.Process*100+b.Sequence)
}

// Control must never believe wrongly that a node is quiet, in whatever order claims and answers arrive, are
// lost or duplicated, leaders change and the process restarts. Without any one of the guards it would.
func TestControlIsNeverMistakenOfAQuietNode(t *testing.T) {
	for name, c := range map[string]struct {
		disabled disabledGuards
		violated bool
	}{
		"all guards":                           {disabledGuards{}, false},
		"an older claim counts":                {disabledGuards{order: true}, true},
		"a claim counts under each leader":     {disabledGuards{term: true}, true},
		"a claim of another process counts":    {disabledGuards{process: true}, true},
		"grants do not wait for the answer":    {disabledGuards{acknowledgement: true}, true},
		"what the process before said counts":  {disabledGuards{reset: true}, true},
		"a new process is quiet until it says": {disabledGuards{clearing: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, violated := search(c.disabled)
			t.Logf("%d states", states)
			is.New(t).Equal(violated, c.violated)
		})
	}
}

// Guards against believing a claim of a process that has heard of a later leader than this one, as after the
// restore of an older snapshot.
func TestClaimUnderALaterTermIsNotBelieved(t *testing.T) {
	const restored, before = 3, 9
	is := is.New(t)
	_, claim := NodeState{}.WithClaim(true)
	claim.Process, claim.Term = 1, before
	state := ControlState{}.WithProcess(1)
	is.Equal(state.WithClaim(claim, restored).Quiet(), false)
	is.Equal(state.WithClaim(claim, before).Quiet(), true)
}
