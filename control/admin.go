package control

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/adminapi"
	"limehold/catalog"
	"limehold/fleet"
	"limehold/wal"
	"limehold/wire"
)

const (
	// maxInForceWait bounds an operator's wait until a change is in force. adminCallTimeout
	// bounds the whole call, including the forwarding to the leader.
	maxInForceWait   = 30 * time.Second
	adminCallTimeout = 40 * time.Second
)

// handleAdmin checks the operator's token and serves the request.
func (m *Member) handleAdmin(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	if !m.authorized(request) {
		writeError(request, fasthttp.StatusUnauthorized, &adminapi.Error{Code: "unauthorized", Message: "present the operator's token: Authorization: Bearer TOKEN"})
		return
	}
	select {
	case <-m.started:
	default:
		writeError(request, fasthttp.StatusServiceUnavailable, &adminapi.Error{Code: "not_ready", Message: "the group is not formed yet", Step: "start", Peer: m.options.Settings.Name})
		return
	}
	ctx, cancel := context.WithTimeout(m.runContext, adminCallTimeout)
	defer cancel()
	answer, err := m.route(ctx, request, path)
	if err != nil {
		m.writeFailure(request, err)
		return
	}
	if file, ok := answer.(rawFile); ok {
		request.SetContentType("application/octet-stream")
		request.SetBody(file)
		return
	}
	writeJSON(request, fasthttp.StatusOK, answer)
}

// rawFile is an answer that is sent unchanged instead of as JSON.
type rawFile []byte

func (m *Member) authorized(request *fasthttp.RequestCtx) bool {
	if m.options.Token == "" {
		return true
	}
	presented := strings.TrimPrefix(string(request.Request.Header.Peek(adminapi.HeaderAuthorization)), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(presented), []byte(m.options.Token)) == 1
}

func (m *Member) route(ctx context.Context, request *fasthttp.RequestCtx, path string) (any, error) {
	parts := strings.Split(strings.TrimPrefix(path, "/v1/"), "/")
	resource, name, action := parts[0], "", ""
	if len(parts) > 1 {
		name = parts[1]
	}
	if len(parts) > 2 {
		action = parts[2]
	}
	method := string(request.Method())
	switch resource {
	case "status":
		return m.adminStatus(ctx, request)
	case "templates":
		return m.routeTemplates(ctx, request, method, name)
	case "services":
		return m.routeServices(ctx, request, method, name)
	case "nodes":
		return m.routeNodes(ctx, request, method, name, action)
	case "zones":
		return m.routeZones(ctx, request, method, name, action)
	case "tenants":
		return m.routeTenants(ctx, request, method)
	case "load":
		return m.routeLoad(ctx, request, method, name)
	case "quarantine":
		return m.routeQuarantine(ctx, request, method, name, action)
	case "members":
		return m.routeMembers(ctx, request, method, name)
	case "explain":
		return m.adminExplain(ctx, request)
	case "journal":
		return m.adminJournal(ctx, request)
	case "snapshot":
		return m.adminSnapshot(ctx, request)
	}
	return nil, notFound("path " + path)
}

func notFound(what string) error {
	return &catalog.Failure{Code: catalog.FailureNotFound, Message: what + " does not exist"}
}

func methodNotAllowed(method string) error {
	return &catalog.Failure{Code: catalog.FailureInvalid, Message: "method " + method + " is not supported on this path"}
}

// commandID returns the command ID of the request. A request without one is given a random one.
func commandID(request *fasthttp.RequestCtx) string {
	if id := request.Request.Header.Peek(adminapi.HeaderCommandID); len(id) > 0 {
		return string(id)
	}
	var random [16]byte
	_, _ = rand.Read(random[:])
	id := hex.EncodeToString(random[:])
	request.Request.Header.Set(adminapi.HeaderCommandID, id)
	return id
}

// change carries out an order; see answerChange.
func (m *Member) change(ctx context.Context, request *fasthttp.RequestCtx, order order) (any, error) {
	result, err := m.carryOut(ctx, request, order)
	if err != nil {
		return nil, err
	}
	if order.command.SetZoneDraining != nil && result.Stale > 0 {
		return nil, m.zoneChanged(order.command.SetZoneDraining.Zone)
	}
	return m.answerChange(ctx, request, result)
}

// answerChange returns the answer for a change. If the query parameter "wait" is set, it
// first waits up to that long until the change is in force at every router.
func (m *Member) answerChange(ctx context.Context, request *fasthttp.RequestCtx, result fleet.Result) (any, error) {
	if result.Failure != nil {
		return nil, result.Failure
	}
	answer := &adminapi.ChangeResult{Revision: result.Revision, CommandID: commandID(request)}
	wait := string(request.QueryArgs().Peek("wait"))
	if wait == "" {
		return answer, nil
	}
	length, err := time.ParseDuration(wait)
	if err != nil || length < 0 || length > maxInForceWait {
		return nil, &catalog.Failure{Code: catalog.FailureInvalid, Message: "wait is " + strconv.Quote(wait) + ": use a time span up to " + maxInForceWait.String() + "; the change itself was accepted at revision " + strconv.FormatUint(result.Revision, 10)}
	}
	waitContext, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	// This member must have published the change before routers can be compared with it.
	if err := m.replica.waitApplied(waitContext, result.Revision); err != nil {
		return answer, nil
	}
	behind, everywhere := m.waitInForce(waitContext, result.Revision)
	for _, router := range behind {
		answer.LaggingRouters = append(answer.LaggingRouters, routerView(router))
	}
	answer.InForce = everywhere
	return answer, nil
}

func (m *Member) writeFailure(request *fasthttp.RequestCtx, err error) {
	var missing *BasisMissing
	if errors.As(err, &missing) {
		writeError(request, fasthttp.StatusPreconditionRequired, &adminapi.Error{Code: adminapi.CodeBasisMissing, Message: missing.Error(), Revision: missing.Revision})
		return
	}
	var failure *catalog.Failure
	if errors.As(err, &failure) {
		writeError(request, statusOf(failure.Code), &adminapi.Error{Code: string(failure.Code), Message: failure.Message, Revision: failure.Revision})
		return
	}
	var remote *wire.Error
	if errors.As(err, &remote) {
		if remote.Code == wire.CodeDiskFull {
			request.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(fullDiskRetrySeconds))
		}
		writeError(request, fasthttp.StatusServiceUnavailable, &adminapi.Error{Code: string(remote.Code), Message: remote.Message, Step: remote.Step, Peer: remote.Peer})
		return
	}
	if errors.Is(err, wal.ErrDiskFull) {
		writeError(request, fasthttp.StatusServiceUnavailable, &adminapi.Error{Code: string(wire.CodeDiskFull), Message: err.Error(), Peer: m.options.Settings.Name})
		return
	}
	writeError(request, fasthttp.StatusServiceUnavailable, &adminapi.Error{Code: "internal", Message: err.Error(), Peer: m.options.Settings.Name})
}

func statusOf(code catalog.FailureCode) int {
	switch code {
	case catalog.FailureNotFound:
		return fasthttp.StatusNotFound
	case catalog.FailureConflict, catalog.FailureDuplicate, catalog.FailureInUse, catalog.FailureReadOnly:
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusBadRequest
}

func writeError(request *fasthttp.RequestCtx, status int, failure *adminapi.Error) {
	writeJSON(request, status, failure)
}

func writeJSON(request *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	request.SetStatusCode(status)
	request.SetContentType("application/json")
	request.SetBody(append(encoded, '\n'))
}
