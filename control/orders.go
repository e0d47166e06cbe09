package control

import (
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
	// Revision is that of the newest order on the resource, 0 if there was none.
	Revision uint64
}

// Error implements error.
func (b *BasisMissing) Error() string {
	return fmt.Sprintf("the order does not name the revision on which it is based: send it again with %s=%d if it still applies, as the header Location says", adminapi.QueryRevision, b.Revision)
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

// redirectToBasis answers an order with a redirect to itself that adds the revision on which it has to be based.
func redirectToBasis(request *fasthttp.RequestCtx, missing *BasisMissing) {
	var location fasthttp.URI
	request.URI().CopyTo(&location)
	location.QueryArgs().Set(adminapi.QueryRevision, strconv.FormatUint(missing.Revision, 10))
	request.Response.Header.SetBytesV(fasthttp.HeaderLocation, location.FullURI())
	writeError(request, fasthttp.StatusTemporaryRedirect, &adminapi.Error{Code: "basis_missing", Message: missing.Error(), Revision: missing.Revision})
}

// Outcomes of an order in the log.
const (
	orderAccepted   = "accepted"
	orderRejected   = "rejected"
	orderRedirected = "redirected"
	orderUnknown    = "unknown"
)

// logOrder logs an operator's order on a resource: who sent it, the revision on which it is based, and what became of it.
func (m *Member) logOrder(request *fasthttp.RequestCtx, resource, action string, basis *uint64, result fleet.Result, err error) {
	fields := []zap.Field{
		zap.String("resource", resource), zap.String("action", action), zap.Stringer("caller", request.RemoteAddr()),
		zap.ByteString("command_id", request.Request.Header.Peek(adminapi.HeaderCommandID)),
		zap.Uint64p("basis", basis), zap.String("outcome", orderOutcome(result, err)),
		zap.Uint64("revision", result.Revision), zap.Duration("took", time.Since(request.Time())),
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	m.logger.Info("operator_order", fields...)
}

func orderOutcome(result fleet.Result, err error) string {
	var missing *BasisMissing
	switch {
	case errors.As(err, &missing):
		return orderRedirected
	case err != nil:
		return orderUnknown
	case result.Stale > 0 || result.Failure != nil:
		return orderRejected
	}
	return orderAccepted
}
