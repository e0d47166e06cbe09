// Package explore goes through a small model of limehold whole: one key, two nodes,
// whatever may happen in whatever order, within bounds. It looks for a state in which
// the key has two holders, or was taken under a fence that another life had already.
//
// The simulator (bench/simulate) draws long runs of the real cores at random; this
// package visits every run of a model, but only short ones, and prints the shortest
// that breaks a rule. Each guard of the design is an option: what is found without it
// says what it is for.
package explore

import (
	"hash/maphash"
	"time"
)

// Rules are the guards of the design. The zero value is the code before them.
type Rules struct {
	// Connection: grants of a session go only over the one connection that was
	// cleared, and only under fences that were assigned after it was made.
	// Without it they reach whoever listens, under the fence of the session.
	Connection bool
	// FenceAboveClear is a weaker reading of Connection: a fence counts as assigned
	// after the connection if it is above the fence of its clear, which is all that a
	// sidecar can tell by itself. It takes OpensAnew.
	FenceAboveClear bool
	// Clear: the first call of a session and of a connection is a release of all keys
	// under a fence above all that the sidecar knows; nothing is granted before its
	// answer, and what was assigned before it is handed back and assigned anew.
	Clear bool
	// FreeOnProof: the key of a session that was superseded gets free by the clear of
	// a later session or by the end of its lease; without it at once.
	FreeOnProof bool
	// Ended: a session is ended for refused connections only if none was made since
	// the first of them, and nothing of it is granted from then on.
	Ended bool
	// Epochs: epochs and numbers of sessions are revisions of control's log; without
	// it both rise by one, each for itself.
	Epochs bool
	// EndNamesEpoch closes what LateEnds opens: the end of a session names the highest epoch that its sidecar
	// knows; control refuses it if it has assigned the session a higher one.
	EndNamesEpoch bool
	// EndNamesProcess closes the same in the way that the product does: the end of a session names the
	// process that says it; control refuses it once another one has taken the session up.
	EndNamesProcess bool
	// ByList is Connection as the product decides it, in place of the exact time of assignment, which no
	// sidecar knows. A session that opened over the connection that is cleared first is cleared under its
	// number. Otherwise the clear waits for a list of the session, and its fence is one above the highest
	// revision of the lists that the sidecar had; what they named is handed back. It takes Connection,
	// Clear and Epochs.
	ByList bool
	// ByListEarly is ByList whose clear doesn't wait for the list.
	ByListEarly bool
	// ByListSameFence is ByList whose clear shows the highest revision itself.
	ByListSameFence bool
	// Quiet closes what LateAfterLease opens: control frees what a session owned with the end of its lease
	// only if the node has said that no grant of it can be carried out any more, and none is sent until
	// control knows of it; else once none can be. It takes single calls: one that is doubled has no end.
	Quiet bool
	// QuietUncleared is Quiet whose sidecar says so of what an earlier process sent as well, though it has
	// not cleared the instance.
	QuietUncleared bool
	// QuietUntold is Quiet whose sidecar sends grants while control believes that it is quiet.
	QuietUntold bool
	// OpensAnew closes the same in another way: a sidecar that comes back gets a new
	// session for the same life, too.
	OpensAnew bool
}

// Bounds limit the search. Events that have no bound of their own (connections, calls
// that are lost, holds and leases that end) are free.
type Bounds struct {
	// Lives is how often the instance of each node runs.
	Lives [nodes]uint8
	// Beats is how often a sidecar changes the life that it believes in; late
	// heartbeats are among them. Counted over both nodes, as all that follows.
	Beats uint8
	// Restarts of sidecars.
	Restarts uint8
	// Sessions is how many are opened.
	Sessions uint8
	// Assignments of the key, those after it was handed back included.
	Assignments uint8
	// Moves is how often the key is released at control's wish.
	Moves uint8
	// LateCalls is how many different grants may be under way to a life at once, at
	// most maxCalls. Each may be lost.
	LateCalls uint8
	// Doubled grants are carried out any number of times, late, while the life runs.
	Doubled bool
	// LateAfterLease: grants are carried out even when the lease of their session is
	// over. Without it the model assumes that all that a session gave ends with its lease.
	LateAfterLease bool
	// LateEnds: the end of a session reaches control late, possibly after the sidecar
	// that sent it has started again.
	LateEnds bool
	// HandedBackIsFree: a key that was handed back is anyone's; without it the same session gets it again
	// at once.
	HandedBackIsFree bool
	// LateLists is how many lists reach their sidecar late, or never; the others at once.
	LateLists uint8
	// States that are visited at most; 0 is no limit.
	States int
}

// WithLives lets the instance of each node start as often.
func (b Bounds) WithLives(each uint8) Bounds {
	for i := range b.Lives {
		b.Lives[i] = each
	}
	return b
}

// Options are what a search is made with.
type Options struct {
	Rules
	Bounds
}

// Result is what a search found.
type Result struct {
	// States is how many different ones were visited.
	States int
	// Depth is how many events the longest of the shortest ways to a state has.
	Depth int
	// StatesPerSecond of real time.
	StatesPerSecond float64
	// Trace leads to the first state that breaks a rule; empty if there is none.
	Trace Trace
	// Complete: every state within the bounds of events was visited.
	Complete bool
}

// origin is how a state was reached: which successor of which state it is. Whole
// states are kept only for two levels; a trace is made by going its way again.
type origin struct {
	parent uint32
	choice uint16
}

// form is what of a state is compared.
type form func(Options, state) state

// search is one breadth-first search. Two states with the same 64-bit digest count as
// one: with ten million states the odds of that are below one in 300,000, and the
// seed differs from run to run.
type search struct {
	options Options
	form    form
	seed    maphash.Seed
	// buffer and steps are written over for each state.
	buffer  []byte
	steps   []step
	seen    map[uint64]struct{}
	origins []origin
	level   []state
	next    []state
	// first is the index in origins of the first state of level.
	first int
}

// Search visits the states of the model level by level, until a rule is broken, all
// are visited, or their bound is reached.
func Search(options Options) Result { return searchBy(options, canonical) }

func searchBy(options Options, form form) Result {
	s := &search{options: options, form: form, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	started := time.Now()
	s.add(state{}, origin{})
	s.level, s.next = s.next, nil
	result := Result{}
	for len(s.level) > 0 {
		broken, index := s.expand()
		if broken {
			result.Trace = s.trace(index)
			break
		}
		if s.full() {
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

func (s *search) full() bool {
	return s.options.States > 0 && len(s.origins) >= s.options.States
}

// digest is the same for two states that differ only in which node is the first, if
// the bounds don't tell them apart, or in what no later event can tell.
func (s *search) digest(v state) uint64 {
	v = s.form(s.options, v)
	if s.options.Lives[0] != s.options.Lives[1] {
		return s.hash(v)
	}
	return min(s.hash(v), s.hash(v.withNodesSwapped()))
}

// hash is of the state's fields, one after the other.
func (s *search) hash(v state) uint64 {
	s.buffer = v.appendTo(s.buffer[:0])
	return maphash.Bytes(s.seed, s.buffer)
}

// add keeps a state that is new.
func (s *search) add(v state, from origin) bool {
	digest := s.digest(v)
	if _, found := s.seen[digest]; found {
		return false
	}
	s.seen[digest] = struct{}{}
	s.origins = append(s.origins, from)
	s.next = append(s.next, v)
	return true
}

// expand visits the successors of a level; it returns the index of one that is broken.
func (s *search) expand() (bool, int) {
	for i, from := range s.level {
		s.steps = successors(s.options, from, s.steps)
		for choice, step := range s.steps {
			if !s.add(step.to, origin{uint32(s.first + i), uint16(choice)}) {
				continue
			}
			if step.to.broken != unbroken {
				return true, len(s.origins) - 1
			}
		}
		if s.full() {
			break
		}
	}
	return false, 0
}

// trace goes the way to a state again, from the first one on.
func (s *search) trace(index int) Trace {
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
