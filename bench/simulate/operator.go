package simulate

import (
	"fmt"
	"time"

	"limehold/catalog"
	"limehold/fleet"
)

const (
	operatorPause  = 300 * time.Millisecond
	commandTimeout = 400 * time.Millisecond
	readPoll       = 5 * time.Millisecond
	readTimeout    = 300 * time.Millisecond
)

// operator changes services: it reads a service, updates it with the revision that it read as the
// expected one, and resends the command to a random member while no answer arrives.
type operator struct {
	*process
	sim    *simulation
	number int
	// currentTurn is the number of the newest turn; callbacks of earlier turns are ignored.
	currentTurn int
	target      int
}

func (w *simulation) newOperator(number int) *operator {
	o := &operator{process: w.newProcess(fmt.Sprintf("operator-%d", number)), sim: w, number: number}
	w.scheduleOn(o.process, w.randomDuration(time.Second, 2*time.Second), o.startTurn)
	return o
}

// startTurn reads a service and usually updates it. It does nothing after Options.workUntil.
func (o *operator) startTurn() {
	w := o.sim
	if w.now > w.options.workUntil() {
		return
	}
	o.currentTurn++
	turn := o.currentTurn
	service := serviceName(w.random.IntN(services))
	o.read(service, func(seen catalogView) {
		if w.random.IntN(3) == 0 {
			o.endTurn(turn)
			return
		}
		o.update(service, seen)
	})
}

// endTurn schedules the next turn; it does nothing if the turn has already ended.
func (o *operator) endTurn(turn int) {
	if turn == o.currentTurn {
		o.sim.scheduleOn(o.process, o.sim.randomDuration(operatorPause/4, operatorPause), func() {
			if turn == o.currentTurn {
				o.startTurn()
			}
		})
	}
}

// catalogView is what an operator reads of a service.
type catalogView struct {
	Revision uint64
	Value    string
}

// read does a linearizable read: the member gets an index from the leader first.
func (o *operator) read(service string, then func(catalogView)) {
	w := o.sim
	called, turn := w.now, o.currentTurn
	target := w.members[w.random.IntN(len(w.members))]
	answered := false
	w.send(o.process, target.process, "read", func() {
		target.readIndex(w.now, func(index uint64) {
			target.whenApplied(index, w.now, func() {
				view := viewOf(target.state, service)
				w.send(target.process, o.process, "read answer", func() {
					if answered {
						return
					}
					answered = true
					w.checker.history.addRead(o.number, service, called, w.now, view)
					then(view)
				})
			})
		})
	})
	w.scheduleOn(o.process, readTimeout, func() {
		if !answered {
			answered = true
			o.endTurn(turn)
		}
	})
}

func viewOf(state *fleet.State, service string) catalogView {
	found := state.Catalog.Services[service]
	if found == nil {
		return catalogView{}
	}
	return catalogView{found.Revision, found.Values["timeout"]}
}

// readIndex calls then with the log index that a read starting now must reflect. It may never call it, as
// when no leader holds its lease or a message is lost.
func (m *member) readIndex(started time.Duration, then func(uint64)) {
	w := m.sim
	if m.status.role == leaderRole {
		if m.status.ready && m.holdsLease() {
			then(max(m.status.commit, m.status.applied))
		}
		return
	}
	leader := w.memberByID(m.status.leader)
	if leader == nil || leader == m || w.now-started > readTimeout {
		return
	}
	w.send(m.process, leader.process, "read index", func() {
		if !leader.status.ready || !leader.holdsLease() {
			return
		}
		index := max(leader.status.commit, leader.status.applied)
		w.send(leader.process, m.process, "read index answer", func() { then(index) })
	})
}

// whenApplied calls then once the member has applied the index.
func (m *member) whenApplied(index uint64, started time.Duration, then func()) {
	if m.applied >= index {
		then()
		return
	}
	if m.sim.now-started < readTimeout {
		m.sim.scheduleOn(m.process, readPoll, func() { m.whenApplied(index, started, then) })
	}
}

// update updates the service with the read revision as the expected one, under one command ID.
func (o *operator) update(service string, seen catalogView) {
	w := o.sim
	id := fmt.Sprintf("command-%d-%d", o.number, o.currentTurn)
	value := fmt.Sprintf("%dms", 1000+o.number*100_000+o.currentTurn)
	command := &fleet.Command{ID: id, At: int64(w.now / time.Millisecond), UpdateService: &fleet.UpdateService{
		Name: service, Values: map[string]string{"timeout": value}, Expected: seen.Revision,
	}}
	attempt := &commandAttempt{operator: o, turn: o.currentTurn, command: command, called: w.now, service: service, expected: seen.Revision, value: value}
	w.checker.history.addAttempt(attempt)
	attempt.send(0)
}

// commandAttempt is one command with all its resends.
type commandAttempt struct {
	operator *operator
	command  *fleet.Command
	turn     int
	service  string
	expected uint64
	value    string
	called   time.Duration
	answered bool
	ended    time.Duration
	answer   fleet.Result
}

func (a *commandAttempt) send(attempts int) {
	o := a.operator
	w := o.sim
	if a.answered {
		return
	}
	const maxResends = 12
	if attempts > maxResends {
		o.endTurn(a.turn)
		return
	}
	if attempts > 0 {
		w.counts["commands sent again"]++
	}
	o.target = w.random.IntN(len(w.members))
	member := w.members[o.target]
	w.send(o.process, member.process, "command", func() { a.receiveOn(member) })
	w.scheduleOn(o.process, w.randomDuration(commandTimeout/2, commandTimeout), func() { a.send(attempts + 1) })
}

// receiveOn handles the command on a member, which forwards it to its leader.
func (a *commandAttempt) receiveOn(m *member) {
	w := a.operator.sim
	if m.status.role != leaderRole {
		leader := w.memberByID(m.status.leader)
		if leader != nil && leader != m {
			w.send(m.process, leader.process, "forward", func() { a.execute(leader) })
		}
		return
	}
	a.execute(m)
}

func (a *commandAttempt) execute(m *member) {
	w := a.operator.sim
	if m.status.role != leaderRole {
		return
	}
	m.propose(a.command, func(result fleet.Result, known bool) {
		if known {
			w.send(m.process, a.operator.process, "command answer", func() { a.receiveAnswer(result) })
		}
	})
}

// receiveAnswer records the first answer and checks that every later one equals it.
func (a *commandAttempt) receiveAnswer(result fleet.Result) {
	w := a.operator.sim
	if a.answered {
		if !sameAnswer(a.answer, result) {
			w.fail("a resent command gets the first answer", "command %s was answered %s first, then %s", a.command.ID, describe(a.answer), describe(result))
		}
		return
	}
	a.answered, a.answer, a.ended = true, result, w.now
	w.counts["commands answered"]++
	if result.Failure != nil && result.Failure.Code == catalog.FailureConflict {
		w.counts["conflicts"]++
	}
	a.operator.endTurn(a.turn)
	// Some commands are sent again up to 5 s after their answer.
	if w.random.IntN(3) == 0 {
		w.scheduleOn(a.operator.process, w.randomDuration(0, 5*time.Second), func() {
			w.counts["commands sent again after the answer"]++
			member := w.members[w.random.IntN(len(w.members))]
			w.send(a.operator.process, member.process, "command again", func() { a.receiveOn(member) })
		})
	}
}

func sameAnswer(a, b fleet.Result) bool {
	return a.Revision == b.Revision && describe(a) == describe(b)
}

func describe(result fleet.Result) string {
	if result.Failure != nil {
		return fmt.Sprintf("%s: %s", result.Failure.Code, result.Failure.Message)
	}
	return fmt.Sprintf("revision %d", result.Revision)
}
