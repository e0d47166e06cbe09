// Package orders searches the interleavings of operators' orders on a zone for one in which a late order undoes a newer
// acknowledged one. Orders, members' reads, proposals and answers are delayed, reordered, repeated and lost at will; the
// state machine and the decision on an order are the real ones (fleet.State).
package orders

import (
	"fmt"
	"slices"
	"strings"

	"limehold/fleet"
)

const zone = "z"

// Rule is how a member carries out an order that it has received.
type Rule uint8

// Rules.
const (
	// RuleNamedBasis carries out only orders that name the revision which their sender has seen.
	RuleNamedBasis Rule = iota
	// RuleReadBasis bases an order on the revision that the member reads when it handles the order, as members did before.
	RuleReadBasis
	// RuleEffects is RuleNamedBasis with a state machine that compares only with orders that changed the zone, as before.
	RuleEffects
)

// Bounds limit the search.
type Bounds struct {
	// Orders is the number of orders of each operator.
	Orders []int
	// Copies is how often an operator sends one order.
	Copies int
	// Applications is how often a proposal is applied at most: it is proposed again if its outcome is not known.
	Applications int
}

// Result is the outcome of a search.
type Result struct {
	States int
	// Trace is a shortest interleaving that violates the rule, nil if there is none.
	Trace []string
}

// Search explores all interleavings within the bounds, breadth first.
func Search(rule Rule, bounds Bounds) Result {
	first := &world{state: fleet.NewState(), operators: make([]operator, len(bounds.Orders))}
	seen := map[string]bool{first.key(): true}
	queue := []*world{first}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		for _, next := range current.successors(rule, bounds) {
			if next.violated {
				return Result{States: len(seen), Trace: next.trace()}
			}
			if key := next.withoutSpentCopies(bounds).key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return Result{States: len(seen)}
}

// world is a state of the model. Worlds are immutable; a step makes a new one.
type world struct {
	state     *fleet.State
	operators []operator
	copies    []orderCopy
	orders    []order
	// late has a bit set for each order that must not take effect any more.
	late uint64

	violated bool
	previous *world
	step     string
}

// operator gives one order after another. current is the number of the order that it waits for, or -1.
type operator struct {
	given   int
	waiting bool
	current int
}

// order is an order that an operator has given.
type order struct {
	operator int
	drain    bool
	copies   int
	// after has a bit set for each order whose operator had stopped waiting when this one was given.
	after uint64
	// ended is set once the operator no longer waits.
	ended bool
}

// stage is how far a copy of an order has come.
type stage uint8

const (
	stageSent stage = iota
	// stageRedirected: a member has read the newest revision and told the operator.
	stageRedirected
	// stageBased: the operator has sent the order again with that revision.
	stageBased
	// stageProposed: a member has proposed the command.
	stageProposed
	// stageAccepted: the command has been applied, and its answer is on the way.
	stageAccepted
	stageDone
)

// orderCopy is one sending of an order.
type orderCopy struct {
	order   int
	stage   stage
	basis   uint64
	applied int
	id      string
	command *fleet.Command
}

func (w *world) successors(rule Rule, bounds Bounds) []*world {
	var next []*world
	for number := range w.operators {
		next = append(next, w.operatorSteps(number, bounds)...)
	}
	for index := range w.copies {
		next = append(next, w.copySteps(index, rule, bounds)...)
	}
	return next
}

// operatorSteps: an idle operator gives an order; one that waits sends a further copy or gives up.
func (w *world) operatorSteps(number int, bounds Bounds) []*world {
	operator := w.operators[number]
	var next []*world
	if !operator.waiting {
		for _, drain := range []bool{true, false} {
			if operator.given < bounds.Orders[number] {
				next = append(next, w.give(number, drain))
			}
		}
		return next
	}
	if w.orders[operator.current].copies < bounds.Copies {
		next = append(next, w.send(operator.current))
	}
	return append(next, w.end(operator.current, "gives up"))
}

func (w *world) give(number int, drain bool) *world {
	n := w.clone(fmt.Sprintf("operator %d gives order %d: drain=%t", number, len(w.orders), drain))
	given := order{operator: number, drain: drain}
	for index, other := range w.orders {
		if other.ended {
			given.after |= 1 << index
		}
	}
	n.operators[number] = operator{given: n.operators[number].given + 1, waiting: true, current: len(n.orders)}
	n.orders = append(n.orders, given)
	return n
}

func (w *world) send(index int) *world {
	n := w.clone(fmt.Sprintf("order %d is sent", index))
	n.orders[index].copies++
	n.copies = append(n.copies, orderCopy{order: index, id: fmt.Sprint(index, "-", n.orders[index].copies)})
	return n
}

// end ends the wait of an order's operator.
func (w *world) end(index int, how string) *world {
	n := w.clone(fmt.Sprintf("operator %d %s order %d", w.orders[index].operator, how, index))
	n.orders[index].ended = true
	n.operators[n.orders[index].operator].waiting = false
	return n
}

// copySteps: a copy is read, followed, proposed, applied or answered. What is lost takes no further step.
func (w *world) copySteps(index int, rule Rule, bounds Bounds) []*world {
	sent := w.copies[index]
	waits := !w.orders[sent.order].ended
	var next []*world
	switch sent.stage {
	case stageSent:
		next = append(next, w.read(index, rule))
	case stageRedirected:
		if waits {
			next = append(next, w.advance(index, stageBased, "follows"))
		}
	case stageBased:
		next = append(next, w.propose(index, rule))
	case stageProposed:
		next = append(next, w.apply(index))
	case stageAccepted:
		if waits {
			acknowledged := w.end(sent.order, "has an acknowledgement of")
			acknowledged.late |= acknowledged.orders[sent.order].after
			next = append(next, acknowledged)
		}
		if sent.applied < bounds.Applications {
			next = append(next, w.apply(index))
		}
	}
	return next
}

func (w *world) advance(index int, to stage, what string) *world {
	n := w.clone(fmt.Sprintf("copy %s %s", w.copies[index].id, what))
	n.copies[index].stage = to
	return n
}

// read handles an order without a basis.
func (w *world) read(index int, rule Rule) *world {
	if rule == RuleReadBasis {
		return w.propose(index, rule)
	}
	n := w.advance(index, stageRedirected, fmt.Sprint("is told revision ", w.state.Revision))
	n.copies[index].basis = w.state.Revision
	return n
}

// propose decides on an order in the way of the rule. The command is applied later, or never.
func (w *world) propose(index int, rule Rule) *world {
	n := w.advance(index, stageProposed, "is proposed")
	sent := &n.copies[index]
	drain := n.orders[sent.order].drain
	command := fleet.Command{SetZoneDraining: &fleet.SetZoneDraining{Zone: zone, Draining: drain}}
	switch rule {
	case RuleNamedBasis:
		command, _ = w.state.Sequence(command, fleet.Order{Resource: fleet.ZoneResource(zone)}, &sent.basis)
		command.ID = sent.id
	case RuleReadBasis:
		command = command.WithExpected(w.state.Zones[zone].Revision)
	case RuleEffects:
		command, _ = w.state.Sequence(command, fleet.Order{Resource: fleet.ZoneResource(zone)}, &sent.basis)
		command = command.WithoutOrder()
	}
	sent.command = &command
	return n
}

// apply applies a proposal to the state, which is restored from a snapshot first.
func (w *world) apply(index int) *world {
	n := w.clone("")
	sent := &n.copies[index]
	n.state = restored(w.state)
	before := n.state.Zones[zone].Draining
	result, _ := n.state.Apply(n.state.Revision+1, sent.command)
	sent.applied++
	accepted := result.Failure == nil && result.Stale == 0
	sent.stage = stageDone
	if accepted {
		sent.stage = stageAccepted
	}
	n.step = fmt.Sprintf("copy %s is applied at revision %d: accepted=%t draining=%t", sent.id, n.state.Revision, accepted, n.state.Zones[zone].Draining)
	n.violated = n.state.Zones[zone].Draining != before && w.late&(1<<sent.order) != 0
	return n
}

func restored(state *fleet.State) *fleet.State {
	data, err := state.Encode()
	if err != nil {
		panic(err) // states that commands have led to can be encoded
	}
	copied, err := fleet.DecodeState(data)
	if err != nil {
		panic(err)
	}
	return copied
}

func (w *world) clone(step string) *world {
	return &world{
		state: w.state, operators: slices.Clone(w.operators), copies: slices.Clone(w.copies),
		orders: slices.Clone(w.orders), late: w.late, previous: w, step: step,
	}
}

// key identifies what can still happen in a world. Revisions stand in it only as what they compare to, and orders only as
// long as they can have an effect.
func (w *world) key() string {
	var text strings.Builder
	fmt.Fprint(&text, w.state.Zones[zone].Draining)
	for _, operator := range w.operators {
		fmt.Fprint(&text, " ", operator.given, operator.waiting)
	}
	live := map[int]bool{}
	for _, sent := range w.copies {
		live[sent.order] = true
	}
	for index, order := range w.orders {
		if !order.ended || live[index] {
			fmt.Fprint(&text, "|", order.operator, order.drain, order.copies, order.ended, w.late&(1<<index) != 0)
			for other := range index {
				if live[other] {
					fmt.Fprint(&text, order.after&(1<<other) != 0)
				}
			}
			text.WriteString(w.copiesKey(index))
		}
	}
	return text.String()
}

func (w *world) copiesKey(order int) string {
	var copies []string
	for _, sent := range w.copies {
		if sent.order != order {
			continue
		}
		fits := sent.basis >= w.state.OrderRevision(fleet.ZoneResource(zone))
		expected := sent.command != nil && sent.command.SetZoneDraining.Expected == w.state.Zones[zone].Revision
		_, recorded := w.state.Records[sent.id]
		copies = append(copies, fmt.Sprint(sent.stage, fits, expected, sent.applied, recorded))
	}
	slices.Sort(copies)
	return strings.Join(copies, ",")
}

// withoutSpentCopies drops the copies that take no further step.
func (w *world) withoutSpentCopies(bounds Bounds) *world {
	w.copies = slices.DeleteFunc(w.copies, func(sent orderCopy) bool {
		ended := w.orders[sent.order].ended
		return sent.stage == stageDone || sent.stage == stageRedirected && ended || sent.stage == stageAccepted && ended && sent.applied >= bounds.Applications
	})
	return w
}

func (w *world) trace() []string {
	var steps []string
	for at := w; at.previous != nil; at = at.previous {
		steps = append(steps, at.step)
	}
	slices.Reverse(steps)
	return steps
}
