package quiescence

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// mostInFlight bounds the claims, and the answers to them, that are under way at once, and mostClaims,
// mostTerms and mostProcesses how many there are in all.
const (
	mostInFlight  = 2
	mostClaims    = 4
	mostTerms     = 2
	mostProcesses = 2
)

// world is a node with its back end, whoever leads, and all that is under way between them.
type world struct {
	node    Node
	process uint64
	// seen is the newest term of a leader that answered the process.
	seen uint64
	made int
	// late: the back end may still carry a grant out; known: the process has sent it.
	late, known bool
	term        uint64
	belief      Belief
	claims      [mostInFlight]Claim
	answers     [mostInFlight]answer
}

// answer is one to a claim, on its way to the process that made it.
type answer struct {
	claim Claim
	term  uint64
}

// without leaves one of the guards out, for the search to show what it is for.
type without struct {
	order, term, process, acknowledgement, reset, clearing bool
}

// next lists every state that may follow.
func (w world) next(out without) []world {
	var list []world
	// The process makes a claim. It says "quiet" if it knows of no grant that may be carried out; one
	// that has just started knows once the back end was cleared.
	for _, quiet := range []bool{false, true} {
		if w.made >= mostClaims || quiet && w.late && (w.known || !out.clearing) {
			continue
		}
		v := w
		var claim Claim
		v.made++
		v.node, claim = v.node.WithClaim(quiet)
		claim.Process, claim.Term = v.process, v.seen
		if out.acknowledgement {
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
	// A grant is sent, and answered; the back end is cleared.
	if w.node.MaySend() {
		v := w
		v.late, v.known = true, true
		list = append(list, v)
	}
	if w.late {
		v := w
		v.late, v.known = false, false
		list = append(list, v)
	}
	for i, claim := range w.claims {
		if claim == (Claim{}) {
			continue
		}
		lost := w
		lost.claims[i] = Claim{}
		// It reaches the leader, and may come again.
		for _, v := range []world{w, lost} {
			if !out.process && !v.belief.IsOf(claim) {
				continue
			}
			v.belief = v.taking(claim, out)
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
	for i, came := range w.answers {
		if came == (answer{}) {
			continue
		}
		v := w
		v.answers[i] = answer{}
		list = append(list, v)
		if came.claim.Process == v.process {
			v.node = v.node.WithAcknowledged(came.claim)
			v.seen = max(v.seen, came.term)
			list = append(list, v)
		}
	}
	if w.term < mostTerms {
		v := w
		v.term, v.belief = w.term+1, Belief{}.WithProcess(w.process)
		list = append(list, v)
	}
	if w.process < mostProcesses {
		v := w
		v.process, v.node, v.seen, v.known = w.process+1, Node{}, w.term, false
		if !out.reset {
			v.belief = v.belief.WithProcess(v.process)
		}
		list = append(list, v)
	}
	return list
}

// taking is the leader's belief with a claim, but for the guard that is left out.
func (w world) taking(claim Claim, out without) Belief {
	term := w.term
	switch {
	case out.order:
		return Belief{}.WithProcess(claim.Process).WithClaim(claim, term)
	case out.process:
		claim.Process = w.belief.process
	case out.term:
		term = claim.Term
	}
	return w.belief.WithClaim(claim, term)
}

// broken reports whether control believes of a node that no grant can be carried out, and one can, or
// may be sent.
func (w world) broken() bool { return w.belief.Quiet() && (w.late || w.node.MaySend()) }

// search goes through all states; it returns how many there are, and whether one is broken.
func search(out without) (states int, broken bool) {
	first := world{process: 1, term: 1, belief: Belief{}.WithProcess(1)}
	seen := map[world]bool{first: true}
	for level := []world{first}; len(level) > 0; {
		var following []world
		for _, from := range level {
			for _, to := range from.next(out) {
				slices.SortFunc(to.claims[:], compareClaims)
				slices.SortFunc(to.answers[:], func(a, b answer) int { return compareClaims(a.claim, b.claim) })
				if seen[to] {
					continue
				}
				if to.broken() {
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

// Control is never mistaken when it believes that a node is quiet, in whatever order claims and answers
// come, are lost or doubled, leaders change and the process starts again; each guard is needed for that.
func TestControlIsNeverMistakenOfAQuietNode(t *testing.T) {
	for name, c := range map[string]struct {
		out    without
		broken bool
	}{
		"all guards":                           {without{}, false},
		"an older claim counts":                {without{order: true}, true},
		"a claim counts under each leader":     {without{term: true}, true},
		"a claim of another process counts":    {without{process: true}, true},
		"grants do not wait for the answer":    {without{acknowledgement: true}, true},
		"what the process before said counts":  {without{reset: true}, true},
		"a new process is quiet until it says": {without{clearing: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, broken := search(c.out)
			t.Logf("%d states", states)
			is.New(t).Equal(broken, c.broken)
		})
	}
}
