package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"limehold/catalog"
	"limehold/codec"
	"limehold/decisions"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/routing"
)

// drainRun applies commands to a state in order.
type drainRun struct {
	state   *State
	session membership.SessionID
}

func (r *drainRun) apply(command Command) Result {
	result, _ := r.state.Apply(r.state.Revision+1, &command)
	return result
}

func (r *drainRun) open() {
	r.session = r.apply(Command{OpenSession: &OpenSession{Node: membership.Node{Name: "node-1", Incarnation: fmt.Sprint(r.state.Revision)}}}).Session
}

func (r *drainRun) close() {
	r.apply(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{r.session}, Cause: "its lease has expired"}})
}

func (r *drainRun) order(draining bool) Result {
	return r.apply(Command{SetDraining: &SetDraining{Session: r.session, Draining: draining, Cause: membership.DrainCauseOperator, Node: "node-1"}})
}

func (r *drainRun) drainByAgent() {
	r.apply(Command{SetDraining: &SetDraining{Session: r.session, Draining: true, Cause: "the agent is being stopped"}})
}

func (r *drainRun) end() {
	r.apply(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{r.session}, EndedNode: "node-1"}})
}

// An operator drains a node whose session ends at any time, by its lease, a restart or a lost machine.
func TestOperatorsOrderOutlivesTheSession(t *testing.T) {
	for name, test := range map[string]struct {
		steps   func(*drainRun)
		ordered bool
	}{
		"never drained":               {func(r *drainRun) { r.open() }, false},
		"drained":                     {func(r *drainRun) { r.open(); r.order(true) }, true},
		"lease over":                  {func(r *drainRun) { r.open(); r.order(true); r.close() }, true},
		"lease over before the order": {func(r *drainRun) { r.open(); r.close(); r.order(true) }, true},
		"restarted":                   {func(r *drainRun) { r.open(); r.order(true); r.open() }, true},
		"resumed":                     {func(r *drainRun) { r.open(); r.order(true); r.order(false) }, false},
		"resumed while away":          {func(r *drainRun) { r.open(); r.order(true); r.close(); r.order(false) }, false},
		"machine off":                 {func(r *drainRun) { r.open(); r.order(true); r.close(); r.end() }, false},
		"drained by its agent":        {func(r *drainRun) { r.open(); r.drainByAgent(); r.order(true) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &drainRun{state: NewState()}
			test.steps(r)
			is.Equal(r.state.IsDrainOrdered("node-1"), test.ordered)
			data, err := r.state.Encode()
			is.NoErr(err)
			restored, err := DecodeState(data)
			is.NoErr(err)
			is.Equal(restored.IsDrainOrdered("node-1"), test.ordered) // a snapshot keeps it
		})
	}
}

// An order that reaches the group after the session has been superseded applies to the current one.
func TestOrderAppliesToTheCurrentSession(t *testing.T) {
	is := is.New(t)
	r := &drainRun{state: NewState()}
	r.open()
	former := r.session
	r.open()
	current := r.session
	r.session = former
	r.order(true)
	is.True(r.state.Membership.Sessions[current].Draining)
	r.order(false)
	is.True(!r.state.Membership.Sessions[current].Draining)
}

func TestOrdersAreBounded(t *testing.T) {
	is := is.New(t)
	r := &drainRun{state: NewState()}
	for i := range maxDrainOrders {
		r.state.DrainOrders[fmt.Sprintf("other-%d", i)] = DrainOrder{}
	}
	failure := r.order(true).Failure
	is.True(failure != nil)
	is.Equal(failure.Code, catalog.FailureConflict)
	delete(r.state.DrainOrders, "other-1")
	is.True(r.order(true).Failure == nil)
	is.True(r.order(true).Failure == nil) // a repeated order takes no further place
}

// A snapshot of an earlier version has no orders. Those of open sessions are taken over.
func TestOrdersOfAnEarlierVersionAreKept(t *testing.T) {
	is := is.New(t)
	r := &drainRun{state: NewState()}
	r.open()
	r.order(true)
	data, err := codec.Marshal(&struct {
		Revision    uint64
		Catalog     *catalog.Catalog
		Membership  *membership.Table
		Ownership   *ownership.Table
		Journal     *decisions.Journal
		Records     map[string]Record
		RecordOrder []string
		LastEpoch   uint64
		Routing     routing.Store
		Zones       map[string]Zone
		Quarantine  quarantine.Table
	}{Revision: r.state.Revision, Catalog: r.state.Catalog, Membership: r.state.Membership, Ownership: r.state.Ownership, Journal: r.state.Journal})
	is.NoErr(err)
	restored, err := DecodeState(data)
	is.NoErr(err)
	is.True(restored.IsDrainOrdered("node-1"))
}

// Logs that an earlier version wrote are read.
func TestCommandsOfAnEarlierVersionAreRead(t *testing.T) {
	is := is.New(t)
	var draining SetDraining
	is.NoErr(codec.Unmarshal(codec.MustMarshal(&struct {
		Session  membership.SessionID
		Draining bool
		Cause    string
	}{7, true, "operator"}), &draining))
	is.Equal(draining, SetDraining{Session: 7, Draining: true, Cause: "operator"})
	var ended CloseSessions
	is.NoErr(codec.Unmarshal(codec.MustMarshal(&struct {
		Process    uint64
		Superseded membership.SessionID
		Sessions   []membership.SessionID
		Cause      string
	}{Process: 1, Sessions: []membership.SessionID{7}, Cause: "ended"}), &ended))
	is.Equal(ended, CloseSessions{Process: 1, Sessions: []membership.SessionID{7}, Cause: "ended"})
}
