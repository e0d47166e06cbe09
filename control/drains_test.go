package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"limehold/fleet"
	"limehold/membership"
)

// Guards against an operator's drain that is lost with the session: the lease of a node ends, by a machine that stands
// still, before its shards have moved.
func TestNextSessionOfADrainedNodeBeginsDrained(t *testing.T) {
	is := is.New(t)
	m := newDiskGroup(t).leader()
	do := func(command fleet.Command) fleet.Result {
		result, err := m.execute(context.Background(), command)
		is.NoErr(err)
		return result
	}
	opened := do(fleet.Command{ID: "open", OpenSession: &fleet.OpenSession{Node: membership.Node{Name: "node-1", Incarnation: "1"}}})
	do(fleet.Command{ID: "drain", SetDraining: &fleet.SetDraining{Session: opened.Session, Draining: true, Cause: membership.DrainCauseOperator, Node: "node-1"}})
	do(fleet.Command{ID: "close", CloseSessions: &fleet.CloseSessions{Sessions: []membership.SessionID{opened.Session}, Cause: "its lease has expired"}})
	next := membership.Node{Name: "node-1", Incarnation: "1"}
	m.keepOperatorsDrain(&next)
	is.True(next.Draining)
	is.Equal(next.DrainCause, membership.DrainCauseOperator)
	do(fleet.Command{ID: "resume", SetDraining: &fleet.SetDraining{Cause: membership.DrainCauseOperator, Node: "node-1"}})
	next = membership.Node{Name: "node-1", Incarnation: "1"}
	m.keepOperatorsDrain(&next)
	is.True(!next.Draining)
}

// An operator's drain goes on when the platform no longer takes the node's machine away.
func TestOperatorsDrainOutlivesThatOfThePlatform(t *testing.T) {
	is := is.New(t)
	m := newDiskGroup(t).leader()
	opened, err := m.execute(context.Background(), fleet.Command{ID: "open", OpenSession: &fleet.OpenSession{Node: membership.Node{Name: "node-1", Incarnation: "1"}}})
	is.NoErr(err)
	draining := func() (draining bool) {
		m.replica.view(func(state *fleet.State) { draining = state.Membership.Sessions[opened.Session].Draining })
		return draining
	}
	m.applyPlatform(context.Background(), PlatformList{Machines: []PlatformMachine{{Name: "node-1", State: MachineLeaving}}})
	is.True(draining())
	_, err = m.execute(context.Background(), fleet.Command{ID: "drain", SetDraining: &fleet.SetDraining{Session: opened.Session, Draining: true, Cause: membership.DrainCauseOperator, Node: "node-1"}})
	is.NoErr(err)
	m.applyPlatform(context.Background(), PlatformList{})
	is.True(draining())
	_, err = m.execute(context.Background(), fleet.Command{ID: "resume", SetDraining: &fleet.SetDraining{Session: opened.Session, Cause: membership.DrainCauseOperator, Node: "node-1"}})
	is.NoErr(err)
	is.True(!draining())
}

// An operator's command that is applied while a session opens holds for that session.
func TestSessionThatOpensBesideAnOrderFollowsIt(t *testing.T) {
	for name, test := range map[string]struct{ opened, ordered bool }{
		"drained meanwhile": {opened: false, ordered: true},
		"resumed meanwhile": {opened: true, ordered: false},
		"neither":           {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			m := newDiskGroup(t).leader()
			node := membership.Node{Name: "node-1", Incarnation: "1", Draining: test.opened, DrainCause: membership.DrainCauseOperator}
			if test.ordered {
				_, err := m.execute(ctx, fleet.Command{ID: "drain", SetDraining: &fleet.SetDraining{Draining: true, Cause: membership.DrainCauseOperator, Node: "node-1"}})
				is.NoErr(err)
			}
			opened, err := m.execute(ctx, fleet.Command{ID: "open", OpenSession: &fleet.OpenSession{Node: node}})
			is.NoErr(err)
			is.NoErr(m.alignOperatorsDrain(ctx, opened.Session, "node-1"))
			m.replica.view(func(state *fleet.State) { is.Equal(state.Membership.Sessions[opened.Session].Draining, test.ordered) })
		})
	}
}

// Guards against a node that gets requests although an operator has drained it, or none although it was resumed: a
// decision of control on its drain was committed after an operator's order that it did not know.
func TestDecisionOnADrainUndoesNoNewerOrder(t *testing.T) {
	leavingList := PlatformList{Machines: []PlatformMachine{{Name: "node-1", State: MachineLeaving}}}
	type decide func(is *is.I, m *diskMember, session membership.SessionID) fleet.Command
	for name, c := range map[string]struct {
		opened membership.Node
		// before are operators' orders before the decision, newer is the one after it.
		before  []bool
		newer   bool
		decide  decide
		drained bool
	}{
		"a session opens beside an order to drain, then the node is resumed": {
			before: []bool{true}, newer: false, drained: false,
			decide: func(is *is.I, m *diskMember, session membership.SessionID) fleet.Command {
				command, needed := m.drainAlignment(session, "node-1")
				is.True(needed)
				return command
			},
		},
		"the platform keeps the machine, then the node is drained": {
			newer: true, drained: true,
			decide: func(is *is.I, m *diskMember, _ membership.SessionID) fleet.Command {
				m.applyPlatform(context.Background(), leavingList)
				changes := m.platformChanges(PlatformList{})
				is.Equal(len(changes), 1)
				return changes[0].command
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newDiskGroup(t).leader()
			do := func(command fleet.Command) fleet.Result {
				result, err := m.execute(context.Background(), command)
				is.NoErr(err)
				return result
			}
			order := func(draining bool) {
				command := fleet.Command{SetDraining: &fleet.SetDraining{Draining: draining, Cause: membership.DrainCauseOperator, Node: "node-1"}}
				m.replica.view(func(state *fleet.State) {
					command, _ = state.Sequence(command, fleet.Order{Resource: fleet.NodeResource("node-1"), Action: "act"}, &state.Revision)
				})
				is.Equal(do(command).Failure, nil)
			}
			for _, draining := range c.before {
				order(draining)
			}
			session := do(fleet.Command{OpenSession: &fleet.OpenSession{Node: membership.Node{Name: "node-1", Incarnation: "1"}}}).Session
			decision := c.decide(is, m, session)
			order(c.newer)
			do(decision)
			m.replica.view(func(state *fleet.State) {
				is.Equal(state.Membership.Sessions[session].Draining, c.drained)
			})
		})
	}
}
