package control

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/adminapi"
	"limehold/catalog"
	"limehold/clock"
	"limehold/consensus"
	"limehold/fleet"
	"limehold/logging"
	"limehold/quarantine"
	"limehold/transport"
	"limehold/wire"
)

const (
	// quarantineAgeInterval is the interval at which suspect requests are checked for expiry and
	// for trials, both of which are due after minutes.
	quarantineAgeInterval = 5 * time.Second
	// maxReports bounds the reports in one message; a message with more is rejected.
	maxReports = 64
)

// handleReport commits the reports of a process, so that they are durable and reach all members.
func (m *Member) handleReport(ctx context.Context, conn *transport.Conn, request *wire.Report) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if len(request.Reports) == 0 || len(request.Reports) > maxReports {
		return nil, &wire.Error{Code: wire.CodeInvalid, Message: "a report tells 1 to 64 things", Step: "take report", Peer: m.options.Settings.Name}
	}
	if _, err := m.executeOnce(ctx, fleet.Command{RecordReports: &fleet.RecordReports{Reports: request.Reports}}); err != nil {
		m.logger.Info("report_not_committed", append(logging.ErrorFields("commit report", conn.Peer.Name, err), zap.Int("reports", len(request.Reports)))...)
		return nil, err
	}
	return struct{}{}, nil
}

// handleTrial grants a trial to the first router that requests it.
func (m *Member) handleTrial(ctx context.Context, request *wire.Trial) (*wire.TrialReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := m.executeOnce(ctx, fleet.Command{ClaimTrial: &fleet.ClaimTrial{Digest: request.Digest, Number: request.Number, Holder: request.Router}})
	if err != nil {
		return nil, err
	}
	return &wire.TrialReply{Granted: result.Stale == 0}, nil
}

// ageQuarantine proposes the expiry of suspect requests and the offer of trials while this
// member leads. Every member tracks ages, so that a new leader continues with them.
func (m *Member) ageQuarantine(ctx context.Context) error {
	ages := &quarantine.AgeTracker{}
	ticker := time.NewTicker(quarantineAgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		command := m.dueCommand(ages)
		if command == nil || m.replica.status.Load().Role != consensus.RoleLeader {
			continue
		}
		executing, cancel := context.WithTimeout(ctx, forwardTimeout)
		if _, err := m.executeLocally(executing, fleet.Command{UpdateQuarantine: command}); err != nil {
			m.logger.Info("quarantine_not_aged", logging.ErrorFields("age quarantine", m.options.Settings.Name, err)...)
		}
		cancel()
	}
}

// dueCommand returns the expiries and trials that are due, or nil if there are none.
func (m *Member) dueCommand(ages *quarantine.AgeTracker) *fleet.UpdateQuarantine {
	command := &fleet.UpdateQuarantine{}
	m.replica.view(func(state *fleet.State) {
		expired, offers := ages.Due(&state.Quarantine, func(service string) []string { return versionsOf(state, service) }, clock.Now())
		command.Expired = expired
		for _, offer := range offers {
			command.Trials = append(command.Trials, fleet.TrialOffer{Record: offer.Record, Version: offer.Version, Cause: offer.Cause})
		}
	})
	if len(command.Expired) == 0 && len(command.Trials) == 0 {
		return nil
	}
	return command
}

// versionsOf returns the distinct software versions of a service's eligible instances, sorted.
func versionsOf(state *fleet.State, name string) []string {
	service := state.Catalog.Services[name]
	if service == nil {
		return nil
	}
	var versions []string
	for _, node := range state.Membership.Sessions {
		if node.Pool == service.Spec.Pool && node.Eligible() {
			versions = append(versions, node.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// routeQuarantine serves the operators' requests on suspect and quarantined requests.
func (m *Member) routeQuarantine(ctx context.Context, request *fasthttp.RequestCtx, method, name, action string) (any, error) {
	if method == http.MethodGet {
		return m.readQuarantine(ctx, request, name)
	}
	if method != http.MethodPost || action != "release" {
		return nil, methodNotAllowed(method)
	}
	basis, err := basisOf(request)
	if err != nil {
		return nil, err
	}
	reason := strings.TrimSpace(string(request.QueryArgs().Peek("reason")))
	if reason == "" {
		return nil, &catalog.Failure{Code: catalog.FailureInvalid, Message: "reason is empty: state why the request may run again (reason=...)"}
	}
	if err := m.linearize(ctx); err != nil {
		return nil, err
	}
	var digest quarantine.Digest
	var failure error
	m.replica.view(func(state *fleet.State) { digest, failure = findDigest(state, name) })
	if failure != nil {
		return nil, failure
	}
	return m.change(ctx, request, order{fleet.RequestResource(digest), "release", basis, fleet.Command{ReleaseRequest: &fleet.ReleaseRequest{Digest: digest, Reason: reason}}})
}

// findDigest returns the digest that begins with the given hexadecimal prefix. It fails if there
// is none or more than one.
func findDigest(state *fleet.State, prefix string) (quarantine.Digest, error) {
	var found []quarantine.Digest
	for _, record := range state.Quarantine.Records {
		if prefix != "" && strings.HasPrefix(record.Digest.Hex(), prefix) {
			found = append(found, record.Digest)
		}
	}
	switch len(found) {
	case 0:
		return quarantine.Digest{}, notFound("a record of request " + `"` + prefix + `"`)
	case 1:
		return found[0], nil
	}
	return quarantine.Digest{}, &catalog.Failure{Code: catalog.FailureInvalid, Message: "digest is " + `"` + prefix + `"` + ": several digests begin with it, use a longer prefix"}
}

func (m *Member) readQuarantine(ctx context.Context, request *fasthttp.RequestCtx, prefix string) (any, error) {
	list := []adminapi.SuspectRequest{}
	err := m.read(ctx, request, func(state *fleet.State) {
		for _, record := range state.Quarantine.Records {
			if strings.HasPrefix(record.Digest.Hex(), prefix) {
				list = append(list, suspectView(record))
			}
		}
	})
	slices.SortStableFunc(list, func(a, b adminapi.SuspectRequest) int { return len(b.Crashes) - len(a.Crashes) })
	return list, err
}

func suspectView(record *quarantine.Record) adminapi.SuspectRequest {
	answer := adminapi.SuspectRequest{
		Digest: record.Digest.Hex(), Service: record.Service, Sample: record.Sample, OneCaller: record.PerCaller,
		State: adminapi.RequestSuspected, Trials: int(record.Trials),
	}
	switch {
	case record.Trial.Offered():
		answer.State = adminapi.RequestOnTrial
	case record.Quarantined:
		answer.State = adminapi.RequestQuarantined
	}
	if record.Quarantined {
		answer.Since = formatMillis(record.Since)
	}
	for _, crash := range record.Crashes {
		answer.Crashes = append(answer.Crashes, adminapi.InstanceCrash{Instance: crash.Instance, Node: crash.Node, Version: crash.Version, At: formatMillis(crash.At)})
	}
	return answer
}

// formatMillis formats Unix milliseconds as RFC 3339 in UTC.
func formatMillis(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339Nano) }

// registerQuarantineMetrics registers the numbers of suspect and quarantined requests.
func (m *Member) registerQuarantineMetrics() {
	count := func(quarantined bool) func() float64 {
		return func() float64 {
			if !m.hasStarted() {
				return 0
			}
			number := 0
			m.replica.view(func(state *fleet.State) {
				for _, record := range state.Quarantine.Records {
					if record.Quarantined == quarantined {
						number++
					}
				}
			})
			return float64(number)
		}
	}
	m.options.Metrics.Gauge("control", "requests_quarantined", "Requests that no instance runs any more, as instances ended under them.", count(true))
	m.options.Metrics.Gauge("control", "requests_suspected", "Requests that were running when an instance ended, and have not run to a good end since.", count(false))
}
