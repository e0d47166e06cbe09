package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/codec"
	"limehold/logging"
	"limehold/transport"
	"limehold/wire"
)

const (
	// dialTimeout is how long a member may take to be reached: one that is cut off says
	// nothing, and the view grows older meanwhile.
	dialTimeout  = 700 * time.Millisecond
	watchTimeout = 2 * time.Second
	// reconnectPause is doubled up to reconnectMax while no member confirms the view.
	reconnectPause = 50 * time.Millisecond
	reconnectMax   = 150 * time.Millisecond
	reportEvery    = 500 * time.Millisecond
	// confirmTimeout bounds one question whether the view is current; a member
	// that cannot answer within it is left for another.
	confirmTimeout = 800 * time.Millisecond
	// firstChoices spreads the routers' first choices among the members.
	firstChoices = 64
)

// freshness is how old the router's view may be at the most.
//
// Invariant: at asOf (a reading of this machine's clock), the table held every
// change that had been accepted by then. It counts from the sending of the
// question, so that a slow answer only makes the view older.
type freshness struct {
	mutex sync.Mutex
	asOf  time.Duration
	known bool
	// waiting are confirmations whose revision has not arrived yet.
	waiting []confirmation
}

type confirmation struct {
	sentAt   time.Duration
	revision uint64
}

func (f *freshness) within(now, bound time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.known && now-f.asOf <= bound
}

func (f *freshness) age(now time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.known {
		return time.Hour
	}
	return now - f.asOf
}

// confirmed is as of when the view was current at least; zero: never confirmed.
func (f *freshness) confirmed() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.asOf
}

// confirm notes that a view at revision is as current as sentAt.
func (f *freshness) confirm(next confirmation, inForce uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.waiting = append(f.waiting, next)
	f.settle(inForce)
}

// arrived takes up a new revision in force.
func (f *freshness) arrived(inForce uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.settle(inForce)
}

func (f *freshness) settle(inForce uint64) {
	kept := f.waiting[:0]
	for _, item := range f.waiting {
		if item.revision > inForce {
			kept = append(kept, item)
			continue
		}
		f.asOf = max(f.asOf, item.sentAt)
		f.known = true
	}
	f.waiting = kept
}

// follow keeps a subscription at one of the members, whichever answers.
func (r *Router) follow(ctx context.Context) error {
	// Routers begin at different members, so that these share the load.
	first := int(xxhash.Sum64String(r.options.Settings.Name) % firstChoices)
	pause := reconnectPause
	address := ""
	for ctx.Err() == nil {
		address = nextAddress(r.controlAddresses(), address, first)
		before := r.freshness.confirmed()
		began := clock.Now()
		err := r.followOne(ctx, address)
		if ctx.Err() != nil {
			return nil
		}
		pause = min(2*pause, reconnectMax)
		if r.freshness.confirmed() > before {
			pause = reconnectPause
		}
		step := r.where().step
		r.metrics.lost.WithLabelValues(step).Inc()
		r.logger.Warn("control_connection_lost", append(logging.Step(step, address, err), zap.Duration("after", clock.Now()-began),
			zap.Duration("age", r.freshness.age(clock.Now())), zap.Uint64("revision", r.table.inForce()))...)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// nextAddress is the one after the last that was tried, whatever has become of the list
// meanwhile; first chooses where to begin.
func nextAddress(addresses []string, last string, first int) string {
	at := slices.Index(addresses, last)
	if at < 0 {
		at = first - 1
	}
	return addresses[(at+1)%len(addresses)]
}

// controlAddresses are those of the settings and, where control is found by
// discovery, those that the members have told. A list that an operator gave stays as
// it is: it may lead by ways that the members do not know of.
func (r *Router) controlAddresses() []string {
	addresses := slices.Clone(r.options.Settings.Router.Control)
	list := r.members.Load()
	if list == nil || len(r.options.Settings.Discovery.Seeds) == 0 {
		return addresses
	}
	for _, address := range list.Addresses {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// IsControl reports whether an address is that of a control member that is known here.
func (r *Router) IsControl(address string) bool {
	return slices.Contains(r.controlAddresses(), address)
}

// Relays are the addresses of other processes that may pass a connection on to a
// control member which this one cannot reach.
func (r *Router) Relays() []string {
	if !r.options.RouteTable {
		return nil
	}
	return r.table.gatedAddresses(r.options.Settings.Name)
}

func (r *Router) followOne(ctx context.Context, address string) error {
	r.setFollowing(address, stepDial)
	began := clock.Now()
	dialContext, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, err := transport.Dial(dialContext, address, r, r.transportOptions())
	if err != nil {
		return err
	}
	defer conn.Close()
	r.setFollowing(address, stepWatch)
	watchContext, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	request := &wire.Watch{
		Router: r.options.Settings.Name, Zone: r.options.Settings.Zone,
		Revision: r.table.inForce(), Services: r.options.Settings.Router.Services,
	}
	if r.resync.Swap(false) {
		request.Revision = 0
	}
	if err := conn.Call(watchContext, wire.KindWatch, request, nil); err != nil {
		return err
	}
	r.logger.Info("control_connected", zap.String("peer", conn.Peer.Name), zap.Uint64("revision", request.Revision),
		zap.Duration("took", clock.Now()-began), zap.Duration("age", r.freshness.age(clock.Now())))
	r.setFollowing(address, stepConfirm)
	return r.confirmLoop(ctx, conn)
}

// confirmLoop asks again and again whether the view is current, and reports
// measured work along with it.
func (r *Router) confirmLoop(ctx context.Context, conn *transport.Conn) error {
	ticker := time.NewTicker(r.options.Settings.Router.ConfirmEvery)
	defer ticker.Stop()
	reported := time.Now()
	for {
		request := &wire.Confirm{Router: r.options.Settings.Name, Zone: r.options.Settings.Zone, Revision: r.table.inForce()}
		if list := r.members.Load(); list != nil {
			request.Members = list.Version
		}
		if time.Since(reported) >= reportEvery {
			reported = time.Now()
			request.Work = r.work.take()
		}
		if err := r.confirmOnce(ctx, conn, request); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-conn.Done():
			return transport.ErrClosed
		case <-ticker.C:
		}
		if r.resync.Load() {
			return eris.New("an update did not follow the last one: asking for a snapshot")
		}
	}
}

func (r *Router) confirmOnce(ctx context.Context, conn *transport.Conn, request *wire.Confirm) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sentAt := clock.Now()
	var reply wire.ConfirmReply
	if err := conn.Call(ctx, wire.KindConfirm, request, &reply); err != nil {
		return err
	}
	r.metrics.confirmTime.Observe((clock.Now() - sentAt).Seconds())
	if reply.Members != nil {
		r.members.Store(reply.Members)
	}
	r.freshness.confirm(confirmation{sentAt: sentAt, revision: reply.Revision}, r.table.inForce())
	return nil
}

// Inline implements transport.Handler: updates are applied in order.
func (r *Router) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (r *Router) Handle(_ context.Context, conn *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	if kind != wire.KindUpdate {
		return nil, nil
	}
	update := &wire.Update{}
	if err := codec.Unmarshal(payload, update); err != nil {
		r.logger.Error("update_unreadable", logging.Step("decode update", conn.Peer.Name, err)...)
		conn.Close()
		return nil, err
	}
	if !r.table.apply(update) {
		r.resync.Store(true)
		return nil, nil
	}
	r.freshness.arrived(r.table.inForce())
	return nil, nil
}

func (r *Router) transportOptions() transport.Options {
	return transport.Options{
		TLS:    r.options.TLS,
		Relays: r.Relays,
		Local: wire.Hello{
			Version: wire.ProtocolVersion, Cluster: r.options.Settings.Cluster,
			Role: wire.RoleRouter, Name: r.options.Settings.Name,
		},
	}
}
