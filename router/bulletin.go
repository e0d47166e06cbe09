package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limehold/bulletin"
	"limehold/clock"
	"limehold/logging"
	"limehold/transport"
	"limehold/wire"
)

const (
	// reportAgain is after how long reports are told again, by whatever way there is then, while
	// control has not acknowledged them. Everybody is to know within three seconds what is told.
	reportAgain = 500 * time.Millisecond
	// maxReports bounds the reports of one message, and maxReporting the messages that wait for
	// their answers: on a full link one takes more than a second.
	maxReports   = 32
	maxReporting = 8
)

// Board is what this process and all others have observed of requests.
func (r *Router) Board() *bulletin.Board { return r.board }

// report tells control what this process has observed, until it is acknowledged.
func (r *Router) report(ctx context.Context) error {
	ticker := time.NewTicker(reportAgain)
	defer ticker.Stop()
	slots := make(chan struct{}, maxReporting)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.board.Wake():
		case <-ticker.C:
		}
		reports, through := r.board.Pending(maxReports)
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
			r.tell(ctx, conn, &wire.Report{Router: r.options.Settings.Name, Reports: reports}, through)
		}()
	}
}

// tell makes one try. A member that cannot commit says so, and the next try may be another's.
func (r *Router) tell(ctx context.Context, conn *transport.Conn, report *wire.Report, through uint64) {
	ctx, cancel := context.WithTimeout(ctx, answerPatience)
	defer cancel()
	sent := clock.Now()
	if err := conn.Call(ctx, wire.KindReport, report, nil); err != nil {
		r.logger.Info("report_not_taken", append(logging.Step("report", conn.Peer.Name, err), zap.Int("reports", len(report.Reports)))...)
		return
	}
	r.board.Taken(through)
	r.logger.Info("reported", zap.String("peer", conn.Peer.Name), zap.Int("reports", len(report.Reports)), zap.Duration("took", clock.Now()-sent))
}

// conn is the connection to a member that delivers, else to any; nil: there is none.
func (f *follower) conn() *transport.Conn {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var any *transport.Conn
	for _, s := range f.list {
		conn := s.conn.Load()
		if conn == nil {
			continue
		}
		if s.delivers() {
			return conn
		}
		any = conn
	}
	return any
}
