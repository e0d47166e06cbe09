package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/adminapi"
	"limehold/catalog"
	"limehold/fleet"
)

// BasisMissing is the error for an order that does not name the revision on which it is based. A member may read such
// an order long after it was sent, when its sender has sent newer ones to other members. The sender is told the newest
// revision and has to send the order again, which only happens if it still waits.
type BasisMissing struct {
	// Revision is that of the state that reflects every order acknowledged before.
	Revision uint64
}

// Error implements error.
func (b *BasisMissing) Error() string {
	return fmt.Sprintf("the order does not name the revision on which it is based: send it again with %s=%d if it still applies", adminapi.QueryRevision, b.Revision)
}

// basisOf returns the revision on which an order is based, or nil if the request does not name one.
func basisOf(request *fasthttp.RequestCtx) (*uint64, error) {
	text := string(request.QueryArgs().Peek(adminapi.QueryRevision))
	if text == "" {
		return nil, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, &catalog.Failure{Code: catalog.FailureInvalid, Message: adminapi.QueryRevision + " is " + strconv.Quote(text) + ": use the number that 'list' printed"}
	}
	return &revision, nil
}

// order is an operator's order on a resource.
type order struct {
	resource string
	action   string
	// basis is the revision of the state that the sender has seen, nil if it does not name one.
	basis   *uint64
	command fleet.Command
}

// basisText returns the basis for the log, "none" if the order does not name one.
func (o *order) basisText() string {
	if o.basis == nil {
		return "none"
	}
	return strconv.FormatUint(*o.basis, 10)
}

// maxSenderBytes bounds the description of an order's sender in the replicated state.
const maxSenderBytes = 128

// carryOut executes an order on its basis. The result has a Failure if the order is based on an earlier order than the
// newest one on its resource.
func (m *Member) carryOut(ctx context.Context, request *fasthttp.RequestCtx, order order) (fleet.Result, error) {
	result, err := m.executeOrder(ctx, request, order)
	m.logOrder(request, order, result, err)
	return result, err
}

func (m *Member) executeOrder(ctx context.Context, request *fasthttp.RequestCtx, order order) (fleet.Result, error) {
	if order.basis == nil {
		if err := m.linearize(ctx); err != nil {
			return fleet.Result{}, err
		}
	}
	var command fleet.Command
	var hasBasis bool
	missing := &BasisMissing{}
	m.replica.view(func(state *fleet.State) {
		command, hasBasis = state.Sequence(order.command, fleet.Order{Resource: order.resource, Action: order.action, Sender: m.senderOf(request)}, order.basis)
		missing.Revision = state.Revision
	})
	if !hasBasis {
		return fleet.Result{}, missing
	}
	command.ID = commandID(request)
	return m.execute(ctx, command)
}

// senderOf describes the sender of an order to operators.
func (m *Member) senderOf(request *fasthttp.RequestCtx) string {
	sender := request.RemoteAddr().String() + " at " + m.options.Settings.Name
	return sender[:min(len(sender), maxSenderBytes)]
}

// Outcomes of an order in the log.
const (
	orderAccepted     = "accepted"
	orderRejected     = "rejected"
	orderBasisMissing = "basis_missing"
	orderUnknown      = "unknown"
)

// logOrder logs and counts who sent an order, the revision on which it is based, and what became of it.
func (m *Member) logOrder(request *fasthttp.RequestCtx, order order, result fleet.Result, err error) {
	outcome := orderOutcome(result, err)
	fields := []zap.Field{
		zap.String("resource", order.resource), zap.String("action", order.action), zap.Stringer("caller", request.RemoteAddr()),
		zap.ByteString("command_id", request.Request.Header.Peek(adminapi.HeaderCommandID)),
		zap.String("basis", order.basisText()), zap.String("outcome", outcome),
		zap.Uint64("revision", result.Revision), zap.Duration("took", time.Since(request.Time())),
	}
	if err != nil && outcome != orderBasisMissing {
		fields = append(fields, zap.Error(err))
	}
	m.logger.Info("operator_order", fields...)
	m.orders.WithLabelValues(outcome).Inc()
}

func orderOutcome(result fleet.Result, err error) string {
	var missing *BasisMissing
	var unknownZone *UnknownZone
	var failure *catalog.Failure
	switch {
	case errors.As(err, &missing):
		return orderBasisMissing
	case errors.As(err, &unknownZone), errors.As(err, &failure):
		return orderRejected
	case err != nil:
		return orderUnknown
	case result.Stale > 0 || result.Failure != nil:
		return orderRejected
	}
	return orderAccepted
}
