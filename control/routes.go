package control

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"limehold/fleet"
	"limehold/routing"
	"limehold/wire"
)

// ChangeRoutes changes the route table. The outcome is final if the error is nil.
// After an error the change may or may not have taken effect; the same change may be
// sent again, to any member.
func (m *Member) ChangeRoutes(ctx context.Context, change *routing.Change) (routing.Outcome, error) {
	if !m.hasStarted() {
		return routing.Outcome{}, m.notStarted("change routes")
	}
	result, err := m.execute(ctx, fleet.Command{ChangeRoutes: change})
	if err != nil {
		return routing.Outcome{}, err
	}
	if result.Routes == nil {
		return routing.Outcome{}, eris.New("the command's result holds no outcome for the route table")
	}
	return *result.Routes, nil
}

// Routes returns the route table with every change that was acknowledged before the
// call. It fails if no leader confirms that the table is current.
func (m *Member) Routes(ctx context.Context) (routing.Document, error) {
	if !m.hasStarted() {
		return routing.Document{}, m.notStarted("read routes")
	}
	if err := m.linearize(ctx); err != nil {
		return routing.Document{}, err
	}
	var document routing.Document
	m.replica.view(func(state *fleet.State) {
		document = state.Routing.Document
		document.Items = slices.Clone(document.Items)
	})
	return document, nil
}

func (m *Member) hasStarted() bool {
	select {
	case <-m.started:
		return true
	default:
		return false
	}
}

func (m *Member) notStarted(step string) *wire.Error {
	return &wire.Error{Code: wire.CodeNotReady, Message: "the group is not formed yet", Step: step, Peer: m.options.Settings.Name}
}
