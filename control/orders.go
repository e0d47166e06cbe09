package control

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/fleet"
)

// orderSource describes the request by which an operator sent an order.
type orderSource struct {
	// caller is the address that the request came from.
	caller string
	// readAt is when this process had read the request. The bytes may have arrived earlier if the process
	// was not running.
	readAt time.Time
}

func sourceOf(request *fasthttp.RequestCtx) orderSource {
	return orderSource{caller: request.RemoteAddr().String(), readAt: request.Time()}
}

// Outcomes of an order in the log.
const (
	orderAccepted = "accepted"
	orderRejected = "rejected"
	orderUnknown  = "unknown"
)

// logZoneOrder logs an order on a zone with the revision of the zone that it was based on and what became of it.
func (m *Member) logZoneOrder(source orderSource, command *fleet.Command, result fleet.Result, err error) {
	order := command.SetZoneDraining
	action := "undrain"
	if order.Draining {
		action = "drain"
	}
	fields := []zap.Field{
		zap.String("resource", "zone/"+order.Zone), zap.String("action", action), zap.String("caller", source.caller),
		zap.String("command_id", command.ID), zap.Uint64("basis", order.Expected), zap.String("outcome", orderOutcome(result, err)),
		zap.Uint64("revision", result.Revision), zap.Duration("took", time.Since(source.readAt)),
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	m.logger.Info("operator_order", fields...)
}

func orderOutcome(result fleet.Result, err error) string {
	switch {
	case err != nil:
		return orderUnknown
	case result.Stale > 0 || result.Failure != nil:
		return orderRejected
	}
	return orderAccepted
}
