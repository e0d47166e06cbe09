// Package explore is a model checker for a small model of limehold: one key, two nodes and
// every order of events within bounds. It searches for a state in which two instances hold
// the key, or in which one acquired it under a fence that is not above that of another
// incarnation.
//
// The simulator (bench/simulate) runs the real cores in long random runs. This package visits
// every short run of a model and prints the shortest one that violates a rule. Each safeguard
// of the protocol is an option; a search without it shows which failure it prevents.
package explore

import (
	"hash/maphash"
	"time"
)

// Rules are the safeguards of the protocol. The zero value is the protocol without them.
type Rules struct {
	// ClearedConnection: grants of a session are sent only over the one connection that was
	// cleared, and only under fences that were assigned after it was made. Without it they
	// reach whichever incarnation is running, under the fence of the session.
	ClearedConnection bool
	// FenceAboveClear is a weaker form of ClearedConnection: a fence counts as assigned after
	// the connection if it is above the fence of the clear, which a sidecar can determine
	// on its own. It requires NewSessionOnRestart.
	FenceAboveClear bool
	// ClearFirst: the first call of a session and of a connection releases all keys, under the higher of
	// the session number and the highest epoch that the sidecar has received. Nothing is granted before
	// its answer; what was assigned earlier is released and assigned again.
	ClearFirst bool
	// FreeOnClear: the key of a superseded session becomes free when a later session is
	// cleared or when its lease ends; without it, at once.
	FreeOnClear bool
	// FinalClose: a session is closed for refused connections only if none was made since the
	// first refused one, and nothing is granted in the session after that.
	FinalClose bool
	// RevisionEpochs: epochs and session numbers are revisions of control's log. Without it
	// they are two separate counters.
	RevisionEpochs bool
	// CloseNamesEpoch prevents the violation that LateCloses makes possible: the close of a session names the
	// highest epoch that its sidecar received. Control rejects it if it has assigned the session a higher one.
	CloseNamesEpoch bool
	// CloseNamesProcess prevents the same violation as the product does: the close of a session names the
	// process that sends it. Control rejects it after another process has resumed the session.
	CloseNamesProcess bool
	// ClearAfterList is ClearedConnection as implemented in the product, where a sidecar does not know the exact
	// time of an assignment. The clear of a session that opened over the connection uses the session number as
	// its fence. Any other clear waits for a list of the session; its fence is one above the highest revision of
	// the lists that the sidecar received, and the sidecar releases what they contained. It requires
	// ClearedConnection, ClearFirst and RevisionEpochs.
	ClearAfterList bool
	// ClearBeforeList modifies ClearAfterList: the clear does not wait for the list.
	ClearBeforeList bool
	// ClearSameFence modifies ClearAfterList: the fence of the clear is the highest revision itself.
	ClearSameFence bool
	// Quiescence prevents the violation that LateAfterLease makes possible. A node reports to control whether no
	// grant of it can be executed any more, and sends a grant only while control knows that one may be. Unless
	// control has that report, it frees what a session owned only once no grant of the session can be executed.
	// It requires DuplicateCalls to be off, as a duplicated call can be executed forever.
	Quiescence bool
	// QuiescenceUncleared modifies Quiescence: the sidecar also reports that no grant can be executed while grants
	// of an earlier process may be, although it has not cleared the instance.
	QuiescenceUncleared bool
	// QuiescenceUnnotified modifies Quiescence: the sidecar sends grants while control considers the node quiescent.
	QuiescenceUnnotified bool
	// NewSessionOnRestart prevents the violation that LateCloses makes possible in another way: a
	// restarted sidecar gets a new session for the same incarnation too.
	NewSessionOnRestart bool
}

// Bounds limit the search. Events without a bound (connections, lost calls, released keys,
// leases that end) can occur any number of times.
type Bounds struct {
	// Incarnations is the number of incarnations of each node's instance.
	Incarnations [nodes]uint8
	// Heartbeats is the number of times that a sidecar changes the incarnation that it believes is running, by a
	// timely or a late heartbeat. This bound and the following ones count the events of both nodes together.
	Heartbeats uint8
	// Restarts is the number of sidecar restarts.
	Restarts uint8
	// Sessions is the number of opened sessions.
	Sessions uint8
	// Assignments is the number of assignments of the key, including those after a release.
	Assignments uint8
	// Moves is the number of releases that control requests.
	Moves uint8
	// LateCalls is the number of different grants that may be in flight to an incarnation
	// at once, at most maxCalls. Each of them may be lost.
	LateCalls uint8
	// DuplicateCalls: a grant may be executed any number of times, late, in the same incarnation.
	DuplicateCalls bool
	// LateAfterLease: grants may be executed after the lease of their session has ended. Without
	// it the model assumes that all grants of a session end with its lease.
	LateAfterLease bool
	// LateCloses: the close of a session may reach control late, possibly after the sidecar
	// that sent it has restarted.
	LateCloses bool
	// StaleReleaseFrees: a key that a sidecar releases because its epoch is stale becomes free for any session.
	// Without it the same session gets it again at once.
	StaleReleaseFrees bool
	// LateLists is the number of lists that reach their sidecar late or never; all others arrive at once.
	LateLists uint8
	// States is the maximum number of visited states; 0 means no limit.
	States int
}

// WithIncarnations returns the bounds with the same number of incarnations for each node's instance.
func (b Bounds) WithIncarnations(each uint8) Bounds {
	for i := range b.Incarnations {
		b.Incarnations[i] = each
	}
	return b
}

// Options configures a search.
type Options struct {
	Rules
	Bounds
}

// Result is the result of a search.
type Result struct {
	// States is the number of different states that were visited.
	States int
	// Depth is the largest number of events on a shortest path to a visited state.
	Depth int
	// StatesPerSecond is the number of states visited per second of real time.
	StatesPerSecond float64
	// Trace leads to the first state that violates a rule; it is empty if there is none.
	Trace Trace
	// Complete is true if every state within the event bounds was visited.
	Complete bool
}

// origin records how a state was reached: the index of its parent, and which successor of
// the parent it is. Only two levels of states are kept; a trace is rebuilt by replaying
// the choices.
type origin struct {
	parent uint32
	choice uint16
}

// stateForm is a function that returns the form in which states are compared.
type stateForm func(Options, state) state

// search is one breadth-first search. States are identified by a 64-bit digest: with ten
// million states, the probability of a collision is below one in 300,000, and the seed
// differs between runs.
type search struct {
	options Options
	form    stateForm
	seed    maphash.Seed
	// buffer and steps are reused for each state.
	buffer  []byte
	steps   []step
	visited map[uint64]struct{}
	origins []origin
	level   []state
	next    []state
	// first is the index in origins of the first state of level.
	first int
}

// Search visits the states of the model level by level until a rule is violated, all states
// are visited, or Bounds.States is reached.
func Search(options Options) Result { return searchWithForm(options, canonicalForm) }

func searchWithForm(options Options, form stateForm) Result {
	s := &search{options: options, form: form, seed: maphash.MakeSeed(), visited: map[uint64]struct{}{}}
	started := time.Now()
	s.add(state{}, origin{})
	s.level, s.next = s.next, nil
	result := Result{}
	for len(s.level) > 0 {
		violated, index := s.expand()
		if violated {
			result.Trace = s.traceTo(index)
			break
		}
		if s.isFull() {
			break
		}
		s.first += len(s.level)
		s.level, s.next = s.next, s.level[:0]
		if len(s.level) > 0 {
			result.Depth++
		}
	}
	result.States = len(s.origins)
	result.Complete = len(s.level) == 0
	result.StatesPerSecond = float64(result.States) / time.Since(started).Seconds()
	return result
}

func (s *search) isFull() bool {
	return s.options.States > 0 && len(s.origins) >= s.options.States
}

// digest returns the same value for states that have the same form, or that differ only in
// the order of the nodes if both nodes have the same bounds.
func (s *search) digest(v state) uint64 {
	v = s.form(s.options, v)
	if s.options.Incarnations[0] != s.options.Incarnations[1] {
		return s.hash(v)
	}
	return min(s.hash(v), s.hash(v.withNodesSwapped()))
}

// hash returns the hash of the state's fields.
func (s *search) hash(v state) uint64 {
	s.buffer = v.appendTo(s.buffer[:0])
	return maphash.Bytes(s.seed, s.buffer)
}

// add adds a state unless it has been visited, and reports whether it was added.
func (s *search) add(v state, from origin) bool {
	digest := s.digest(v)
	if _, found := s.visited[digest]; found {
		return false
	}
	s.visited[digest] = struct{}{}
	s.origins = append(s.origins, from)
	s.next = append(s.next, v)
	return true
}

// expand visits the successors of a level. It returns true and the index of the state if one
// violates a rule.
func (s *search) expand() (bool, int) {
	for i, from := range s.level {
		s.steps = successors(s.options, from, s.steps)
		for choice, step := range s.steps {
			if !s.add(step.to, origin{uint32(s.first + i), uint16(choice)}) {
				continue
			}
			if step.to.violation != noViolation {
				return true, len(s.origins) - 1
			}
		}
		if s.isFull() {
			break
		}
	}
	return false, 0
}

// traceTo replays the choices that lead from the initial state to the state with the index.
func (s *search) traceTo(index int) Trace {
	var choices []uint16
	for index != 0 {
		choices = append(choices, s.origins[index].choice)
		index = int(s.origins[index].parent)
	}
	at := state{}
	var trace Trace
	for i := len(choices) - 1; i >= 0; i-- {
		step := successors(s.options, at, nil)[choices[i]]
		trace = append(trace, step)
		at = step.to
	}
	return trace
}
