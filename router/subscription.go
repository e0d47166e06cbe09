package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/codec"
	"limehold/logging"
	"limehold/transport"
	"limehold/wire"
)

const (
	// callTimeout bounds each dial, subscription and confirmation. Links of 8.4 Mbit/s that
	// downloads saturate delay dials by up to 1.3 s and confirmations by up to 0.8 s; the follower
	// connects to other members earlier.
	callTimeout = 4 * time.Second
	// maxConfirmsInFlight bounds the confirmation calls of one subscription that are in flight.
	maxConfirmsInFlight = 16
	// workReportInterval is how often service time is reported to control, which averages it over
	// seconds.
	workReportInterval = 500 * time.Millisecond
)

// Steps of a subscription, as they appear in log lines and metrics.
const (
	stepDial    = "reach member"
	stepConfirm = "confirm view"
	stepWatch   = "subscribe"
	stepFollow  = "follow"
)

// subscription is one connection to a control member. It periodically asks whether the view is
// current. If the router has a view and receives updates from no member, it subscribes to updates
// at once, otherwise after the member's first confirmation.
type subscription struct {
	router    *Router
	follower  *follower
	address   string
	startedAt time.Duration
	// conn is the connection, nil until it is open.
	conn atomic.Pointer[transport.Conn]
	// cancel ends the subscription when another one replaces it.
	cancel context.CancelFunc

	step atomic.Pointer[string]
	// confirmedAt is when the member last confirmed a view, 0 if it never did.
	confirmedAt atomic.Int64
	// subscribed is set once the member has accepted the subscription to updates.
	subscribed atomic.Bool
	// cannotConfirm is set while the member responds that it cannot confirm.
	cannotConfirm atomic.Bool
	// gap is closed when an update does not follow the table's revision.
	gap     chan struct{}
	gapOnce sync.Once
}

// newSubscription returns a subscription that starts now; cancel ends it.
func newSubscription(f *follower, address string, cancel context.CancelFunc) *subscription {
	return &subscription{router: f.router, follower: f, address: address, startedAt: clock.Now(), cancel: cancel, gap: make(chan struct{})}
}

var (
	errGap = eris.New("update does not follow the current revision: requesting a snapshot")
	// errReplaced is returned by a subscription that is cancelled, because another one has
	// replaced it or because the router stops.
	errReplaced = errors.New("replaced by a subscription to another member")
)

func (s *subscription) setStep(step string) { s.step.Store(&step) }

// currentStep returns the step that the subscription has reached.
func (s *subscription) currentStep() string {
	if step := s.step.Load(); step != nil {
		return *step
	}
	return stepDial
}

// delivers reports whether the member has recently confirmed a view and sends updates.
func (s *subscription) delivers() bool {
	return s.subscribed.Load() && clock.Now()-time.Duration(s.confirmedAt.Load()) < s.confirmWindow()
}

// confirmWindow is the time within which the next confirmation is expected.
func (s *subscription) confirmWindow() time.Duration {
	return s.router.options.Settings.Router.ConfirmEvery + hedgeDelay
}

// run serves the subscription until it fails or is cancelled.
func (s *subscription) run(ctx context.Context) error {
	s.setStep(stepDial)
	dialContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := transport.Dial(dialContext, s.address, s, s.router.transportOptions())
	if err != nil {
		return err
	}
	defer conn.Close()
	s.conn.Store(conn)
	defer s.conn.Store(nil)
	s.setStep(stepConfirm)
	return s.follow(ctx, conn)
}

// follow asks periodically whether the view is current, without waiting for earlier responses,
// and subscribes to updates.
func (s *subscription) follow(ctx context.Context, conn *transport.Conn) error {
	ticker := time.NewTicker(s.router.options.Settings.Router.ConfirmEvery)
	defer ticker.Stop()
	results := make(chan error, maxConfirmsInFlight)
	subscribed := make(chan error, 1)
	inFlight, subscribing := 0, false
	confirm := func() {
		if inFlight < maxConfirmsInFlight {
			inFlight++
			go func() { results <- s.confirm(ctx, conn) }()
		}
	}
	subscribe := func() {
		if !subscribing {
			subscribing = true
			go func() { subscribed <- s.subscribe(ctx, conn) }()
		}
	}
	confirm()
	if s.router.table.currentRevision() > 0 && !s.follower.isSubscribed() {
		// No member sends updates: subscribing now saves a round trip. Otherwise, and for the first
		// snapshot, the member must first show by a confirmation that it is not partitioned.
		subscribe()
	}
	for {
		select {
		case <-ctx.Done():
			return errReplaced
		case <-conn.Done():
			return transport.ErrClosed
		case <-s.gap:
			return errGap
		case err := <-subscribed:
			if err != nil {
				return err
			}
			s.subscribed.Store(true)
		case err := <-results:
			inFlight--
			if err := s.handleConfirm(err); err != nil {
				return err
			}
			if s.confirmedAt.Load() > 0 {
				subscribe()
			}
		case <-ticker.C:
			confirm()
		}
	}
}

// handleConfirm returns the error that ends the subscription, if any. A member that responds
// that it cannot confirm is kept if it has confirmed before, because it delivers updates until
// another one confirms. A member that does not respond is abandoned.
func (s *subscription) handleConfirm(err error) error {
	var wireErr *wire.Error
	switch {
	case err == nil:
		s.cannotConfirm.Store(false)
		return nil
	case !errors.As(err, &wireErr), s.confirmedAt.Load() == 0:
		return err
	}
	if !s.cannotConfirm.Swap(true) {
		s.router.logger.Info("view_not_confirmed", append(logging.ErrorFields(stepConfirm, s.address, err), zap.Duration("age", s.router.freshness.age(clock.Now())))...)
	}
	return nil
}

// confirm asks once whether the view is current. The request carries the service time to report,
// if a report is due.
func (s *subscription) confirm(ctx context.Context, conn *transport.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := s.router
	request := &wire.Confirm{Router: r.options.Settings.Name, Zone: r.options.Settings.Zone, Revision: r.table.currentRevision()}
	if list := r.members.Load(); list != nil {
		request.MembersVersion = list.Version
	}
	if s.delivers() && r.workReportDue() {
		request.Work = r.work.take()
	}
	sentAt := clock.Now()
	var reply wire.ConfirmReply
	if err := conn.Call(ctx, wire.KindConfirm, request, &reply); err != nil {
		return err
	}
	now := clock.Now()
	r.metrics.confirmTime.Observe((now - sentAt).Seconds())
	if reply.Members != nil {
		r.members.Store(reply.Members)
	}
	s.confirmedAt.Store(int64(now))
	if r.freshness.confirm(now, confirmation{sentAt: sentAt, revision: reply.Revision}, r.table.currentRevision()) {
		s.follower.confirmed(s)
	}
	return nil
}

// subscribe subscribes to updates that follow the current revision, or requests a snapshot if
// an update was missed.
func (s *subscription) subscribe(ctx context.Context, conn *transport.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := s.router
	request := &wire.Watch{
		Router: r.options.Settings.Name, Zone: r.options.Settings.Zone,
		Revision: r.table.currentRevision(), Services: r.options.Settings.Router.Services,
	}
	if r.resync.Swap(false) {
		request.Revision = 0
	}
	if err := conn.Call(ctx, wire.KindWatch, request, nil); err != nil {
		if request.Revision == 0 {
			r.resync.Store(true)
		}
		return eris.Wrap(err, stepWatch)
	}
	s.setStep(stepFollow)
	r.logger.Info("control_connected", zap.String("peer", conn.Peer.Name), zap.Uint64("revision", request.Revision),
		zap.Duration("took", clock.Now()-s.startedAt), zap.Duration("age", r.freshness.age(clock.Now())))
	return nil
}

// workReportDue reports whether service time must be reported now.
func (r *Router) workReportDue() bool {
	now := int64(clock.Now())
	last := r.lastWorkReport.Load()
	return now-last >= int64(workReportInterval) && r.lastWorkReport.CompareAndSwap(last, now)
}

// Inline implements transport.Handler: updates are applied in order.
func (s *subscription) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (s *subscription) Handle(_ context.Context, conn *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	if kind != wire.KindUpdate {
		return nil, nil
	}
	r := s.router
	update := &wire.Update{}
	if err := codec.Unmarshal(payload, update); err != nil {
		r.logger.Error("update_unreadable", logging.ErrorFields("decode update", conn.Peer.Name, err)...)
		conn.Close()
		return nil, err
	}
	if !r.table.apply(update) {
		r.resync.Store(true)
		s.gapOnce.Do(func() { close(s.gap) })
		return nil, nil
	}
	if r.freshness.revisionApplied(clock.Now(), r.table.currentRevision()) {
		s.follower.confirmed(s)
	}
	return nil, nil
}

func (r *Router) transportOptions() transport.Options {
	return transport.Options{
		Logger: r.logger,
		TLS:    r.options.TLS,
		Relays: r.RelayAddresses,
		Local: wire.Hello{
			Version: wire.ProtocolVersion, Cluster: r.options.Settings.Cluster,
			Role: wire.RoleRouter, Name: r.options.Settings.Name,
		},
	}
}
