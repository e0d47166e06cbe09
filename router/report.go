package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/crashreport"
	"limehold/logging"
	"limehold/transport"
	"limehold/wire"
)

const (
	// reportRetryInterval is the delay after which unacknowledged reports are sent again, over
	// whichever connection is then available. A report has to reach all processes within three
	// seconds.
	reportRetryInterval = 500 * time.Millisecond
	// maxReportsPerMessage bounds the reports in one message, and maxReportsInFlight the messages
	// that wait for a response: on a saturated link a response takes more than a second.
	maxReportsPerMessage = 32
	maxReportsInFlight   = 8
)

// CrashReports returns what this process and all others have observed of requests.
func (r *Router) CrashReports() *crashreport.Exchange { return r.crashReports }

// sendReports sends the observations of this process to control until they are acknowledged.
func (r *Router) sendReports(ctx context.Context) error {
	ticker := time.NewTicker(reportRetryInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxReportsInFlight)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.crashReports.Wake():
		case <-ticker.C:
		}
		reports, through := r.crashReports.Pending(maxReportsPerMessage)
		conn := r.follower.conn()
		if len(reports) == 0 || conn == nil {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		go func() {
			defer func() { <-slots }()
			r.sendReport(ctx, conn, &wire.Report{Router: r.options.Settings.Name, Reports: reports}, through)
		}()
	}
}

// sendReport sends reports once. A member that cannot commit them returns an error, and the next
// attempt may go to another member.
func (r *Router) sendReport(ctx context.Context, conn *transport.Conn, report *wire.Report, through uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	if err := conn.Call(ctx, wire.KindReport, report, nil); err != nil {
		r.logger.Info("report_not_taken", append(logging.ErrorFields("report", conn.Peer.Name, err), zap.Int("reports", len(report.Reports)))...)
		return
	}
	r.crashReports.Acknowledge(through)
	r.logger.Info("reported", zap.String("peer", conn.Peer.Name), zap.Int("reports", len(report.Reports)), zap.Duration("took", clock.Now()-sent))
}

// conn returns the connection to a member that delivers updates, otherwise to any member,
// or nil if there is none.
func (f *follower) conn() *transport.Conn {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var fallback *transport.Conn
	for _, s := range f.subscriptions {
		conn := s.conn.Load()
		if conn == nil {
			continue
		}
		if s.delivers() {
			return conn
		}
		fallback = conn
	}
	return fallback
}
