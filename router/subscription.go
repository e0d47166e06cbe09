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
	// answerPatience is how long a member may take to be reached, to take a subscription, or
	// to answer any one question. On links of 8.4 Mbit/s that downloads filled, 1.3 s were
	// measured for the first and 0.8 s for the last; others are sought beside it sooner.
	answerPatience = 4 * time.Second
	// maxQuestions bounds the questions of one subscription that wait for their answers.
	maxQuestions = 16
	// reportEvery is how often measured work is told to control, which weighs it over seconds.
	reportEvery = 500 * time.Millisecond
)

// Steps of a subscription.
const (
	stepDial    = "reach member"
	stepConfirm = "confirm view"
	stepWatch   = "subscribe"
	stepFollow  = "follow"
)

// subscription is one connection to a control member: it asks whether the view is current,
// and takes updates once the member has shown that it can tell.
type subscription struct {
	router   *Router
	follower *follower
	address  string
	began    time.Duration
	// conn is the connection, once there is one.
	conn atomic.Pointer[transport.Conn]
	// drop ends it: another one is as good.
	drop context.CancelFunc

	step atomic.Pointer[string]
	// answeredAt is when the member last confirmed something; zero: never.
	answeredAt atomic.Int64
	// watching is set once the member has taken the subscription.
	watching atomic.Bool
	// refused is set while the member says that it cannot confirm.
	refused atomic.Bool
	// gap is closed when an update did not follow the last one.
	gap     chan struct{}
	gapOnce sync.Once
}

// newSubscription returns one that begins now; drop ends it.
func newSubscription(f *follower, address string, drop context.CancelFunc) *subscription {
	return &subscription{router: f.router, follower: f, address: address, began: clock.Now(), drop: drop, gap: make(chan struct{})}
}

var (
	errGap = eris.New("an update did not follow the last one: asking for a snapshot")
	// errUnwanted ends a subscription in whose place there is another one.
	errUnwanted = errors.New("another member is followed")
)

func (s *subscription) do(step string) { s.step.Store(&step) }

// doing is the step that the subscription is at.
func (s *subscription) doing() string {
	if step := s.step.Load(); step != nil {
		return *step
	}
	return stepDial
}

// delivers reports whether the member has lately confirmed the view, and tells updates.
func (s *subscription) delivers() bool {
	return s.watching.Load() && clock.Now()-time.Duration(s.answeredAt.Load()) < s.usual()
}

// usual is the time within which the next confirmation is expected.
func (s *subscription) usual() time.Duration {
	return s.router.options.Settings.Router.ConfirmEvery + answerUsual
}

// run serves the subscription until it fails or is dropped.
func (s *subscription) run(ctx context.Context) error {
	s.do(stepDial)
	dialContext, cancel := context.WithTimeout(ctx, answerPatience)
	defer cancel()
	conn, err := transport.Dial(dialContext, s.address, s, s.router.transportOptions())
	if err != nil {
		return err
	}
	defer conn.Close()
	s.conn.Store(conn)
	defer s.conn.Store(nil)
	s.do(stepConfirm)
	return s.follow(ctx, conn)
}

// follow asks again and again whether the view is current, without waiting for the answers
// to earlier questions, and subscribes to updates.
func (s *subscription) follow(ctx context.Context, conn *transport.Conn) error {
	ticker := time.NewTicker(s.router.options.Settings.Router.ConfirmEvery)
	defer ticker.Stop()
	answers := make(chan error, maxQuestions)
	watched := make(chan error, 1)
	asked, watching := 0, false
	ask := func() {
		if asked < maxQuestions {
			asked++
			go func() { answers <- s.ask(ctx, conn) }()
		}
	}
	watch := func() {
		if !watching {
			watching = true
			go func() { watched <- s.watch(ctx, conn) }()
		}
	}
	ask()
	if s.router.table.inForce() > 0 && !s.follower.watching() {
		// Nobody tells updates: a round trip is saved. Otherwise, and for a whole table, the
		// member has to show first that it is in touch with the others.
		watch()
	}
	for {
		select {
		case <-ctx.Done():
			return errUnwanted
		case <-conn.Done():
			return transport.ErrClosed
		case <-s.gap:
			return errGap
		case err := <-watched:
			if err != nil {
				return err
			}
			s.watching.Store(true)
		case err := <-answers:
			asked--
			if err := s.take(err); err != nil {
				return err
			}
			if s.answeredAt.Load() > 0 {
				watch()
			}
		case <-ticker.C:
			ask()
		}
	}
}

// take judges an answer. A member that cannot confirm goes on delivering updates until
// another one confirms, if it ever did confirm; one that does not answer at all is left.
func (s *subscription) take(err error) error {
	var cannot *wire.Error
	switch {
	case err == nil:
		s.refused.Store(false)
		return nil
	case !errors.As(err, &cannot), s.answeredAt.Load() == 0:
		return err
	}
	if !s.refused.Swap(true) {
		s.router.logger.Info("view_not_confirmed", append(logging.Step(stepConfirm, s.address, err), zap.Duration("age", s.router.freshness.age(clock.Now())))...)
	}
	return nil
}

// ask asks once whether the view is current, and reports measured work along with it.
func (s *subscription) ask(ctx context.Context, conn *transport.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, answerPatience)
	defer cancel()
	r := s.router
	request := &wire.Confirm{Router: r.options.Settings.Name, Zone: r.options.Settings.Zone, Revision: r.table.inForce()}
	if list := r.members.Load(); list != nil {
		request.Members = list.Version
	}
	if s.delivers() && r.reportDue() {
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
	s.answeredAt.Store(int64(now))
	if r.freshness.confirm(now, confirmation{sentAt: sentAt, revision: reply.Revision}, r.table.inForce()) {
		s.follower.settled(s)
	}
	return nil
}

// watch subscribes to updates from the revision in force on.
func (s *subscription) watch(ctx context.Context, conn *transport.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, answerPatience)
	defer cancel()
	r := s.router
	request := &wire.Watch{
		Router: r.options.Settings.Name, Zone: r.options.Settings.Zone,
		Revision: r.table.inForce(), Services: r.options.Settings.Router.Services,
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
	s.do(stepFollow)
	r.logger.Info("control_connected", zap.String("peer", conn.Peer.Name), zap.Uint64("revision", request.Revision),
		zap.Duration("took", clock.Now()-s.began), zap.Duration("age", r.freshness.age(clock.Now())))
	return nil
}

// reportDue reports whether measured work is to be told now.
func (r *Router) reportDue() bool {
	now := int64(clock.Now())
	last := r.reported.Load()
	return now-last >= int64(reportEvery) && r.reported.CompareAndSwap(last, now)
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
		r.logger.Error("update_unreadable", logging.Step("decode update", conn.Peer.Name, err)...)
		conn.Close()
		return nil, err
	}
	if !r.table.apply(update) {
		r.resync.Store(true)
		s.gapOnce.Do(func() { close(s.gap) })
		return nil, nil
	}
	if r.freshness.arrived(clock.Now(), r.table.inForce()) {
		s.follower.settled(s)
	}
	return nil, nil
}

func (r *Router) transportOptions() transport.Options {
	return transport.Options{
		Logger: r.logger,
		TLS:    r.options.TLS,
		Relays: r.Relays,
		Local: wire.Hello{
			Version: wire.ProtocolVersion, Cluster: r.options.Settings.Cluster,
			Role: wire.RoleRouter, Name: r.options.Settings.Name,
		},
	}
}
