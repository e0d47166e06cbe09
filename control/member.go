package control

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold/accept"
	"limehold/adminserver"
	"limehold/clock"
	"limehold/codec"
	"limehold/consensus"
	"limehold/diskspace"
	"limehold/fleet"
	"limehold/placement"
	"limehold/settings"
	"limehold/transport"
	"limehold/wal"
	"limehold/wire"
)

// Member is one member of the control group.
type Member struct {
	options    Options
	logger     *zap.Logger
	storage    *storage
	disk       *diskMonitor
	recovered  recoveredState
	server     *transport.Server
	advertised string
	admin      net.Listener
	peers      *peers
	replica    *replica
	sessions   *sessions
	drains     *drainLocks
	pusher     *pusher
	hub        *hub
	routers    *routerTable
	reads      readBatcher
	quotas     quotas
	formed     atomic.Bool
	placeNow   chan struct{}
	runContext context.Context

	loadMutex    sync.Mutex
	loads        *placement.LoadTable
	pendingLoads []wire.ShardWork

	joinMutex sync.Mutex
	// joining holds the processes that asked this member to be admitted to the group.
	joining map[consensus.MemberID]joinRequest

	renewals prometheus.Counter
	moves    *prometheus.CounterVec
	// orders counts operators' orders by outcome.
	orders *prometheus.CounterVec
	// busiest is the utilization of the busiest node over the mean, by pool.
	busiest *prometheus.GaugeVec
	// failedConfirmations counts the confirmation requests of routers that failed, by step.
	failedConfirmations  *prometheus.CounterVec
	confirmationFailures failureLimiter
	started              chan struct{}
	startTime            time.Duration
}

// uptime returns how long this process has been running.
func (m *Member) uptime() time.Duration { return clock.Now() - m.startTime }

// New opens the listeners and the data folder. Run starts serving on them. If a
// listener cannot be opened, New leaves the data folder untouched.
func New(options Options) (*Member, error) {
	config := options.Settings
	listener, admin, err := listen(config)
	if err != nil {
		return nil, err
	}
	disk, recovered, err := openStorage(config.DataFolder, config.Name, wal.Options{SegmentSize: config.Control.SegmentBytes, CreateFile: options.createFile})
	if err != nil {
		return nil, errors.Join(err, listener.Close(), admin.Close())
	}
	m := &Member{
		options: options, logger: options.Logger, storage: disk, recovered: recovered, admin: admin,
		quotas:   quotas{policy: options.quotaPolicy()},
		sessions: newSessions(), drains: newDrainLocks(), pusher: newPusher(resendAfterRenewals * config.Control.RenewEvery), routers: newRouterTable(), placeNow: make(chan struct{}, 1),
		loads: newLoadTable(config.Control), started: make(chan struct{}), startTime: clock.Now(),
		joining: map[consensus.MemberID]joinRequest{},
	}
	m.formed.Store(disk.identity.Formed)
	m.disk = newDiskMonitor(options)
	m.renewals = options.Metrics.Counter("control", "lease_renewals_total", "Lease renewals that reached this member while it led.")
	m.moves = options.Metrics.CounterVec("control", "shard_moves_total", "Shards that this member proposed to move, by kind of decision.", "kind")
	m.orders = options.Metrics.CounterVec("control", "operator_orders_total", "Operators' orders that this member received, by outcome: basis_missing, accepted, rejected or unknown.", "outcome")
	m.busiest = options.Metrics.GaugeVec("control", "pool_busiest_ratio", "Utilization of the busiest node of a pool over the mean, by the newest placement round of this member.", "pool")
	m.registerRouterMetrics()
	m.registerQuarantineMetrics()
	m.server = transport.NewServer(accept.RetryTemporary(listener, "control", m.logger, options.Metrics), m, m.transportOptions())
	m.advertised = config.Control.Advertise
	if m.advertised == "" {
		m.advertised = m.server.Address()
	}
	m.peers = newPeers(disk.identity.ID, config.Control.DialOverrides, config.Control.Timing.Heartbeat, m, m.transportOptions())
	return m, nil
}

func newLoadTable(config settings.Control) *placement.LoadTable {
	if config.PlacementPace {
		return placement.NewSteadyLoadTable(config.LoadHalfLife)
	}
	return placement.NewLoadTable(config.LoadHalfLife)
}

func listen(config settings.Settings) (listener, admin net.Listener, err error) {
	if listener, err = net.Listen("tcp", config.Control.Listen); err != nil {
		return nil, nil, eris.Wrapf(err, "listen for members, agents and routers on %s (control.listen)", config.Control.Listen)
	}
	if admin, err = net.Listen("tcp", config.Admin.Listen); err != nil {
		listener.Close()
		return nil, nil, eris.Wrapf(err, "listen for operators on %s (admin.listen)", config.Admin.Listen)
	}
	return listener, admin, nil
}

// adminHandler returns the handler that Options.NewAdminHandler adds to the operators' listener,
// or nil if there is none.
func (m *Member) adminHandler() func(*fasthttp.RequestCtx) bool {
	if m.options.NewAdminHandler == nil {
		return nil
	}
	return m.options.NewAdminHandler(m)
}

// Address returns the address of the listener for members, agents and routers.
func (m *Member) Address() string { return m.server.Address() }

// AdminAddress returns the address of the listener for operators.
func (m *Member) AdminAddress() string { return m.admin.Addr().String() }

// Run serves until ctx ends. A leader transfers leadership before it stops.
func (m *Member) Run(ctx context.Context) error {
	serveContext, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serveContext)
	m.runContext = serving
	m.peers.start(serving)
	m.logger.Info("listening", zap.String("address", m.Address()), zap.String("admin", m.AdminAddress()),
		zap.Stringer("member", m.storage.identity.ID), zap.Bool("tls", m.options.TLS != nil), zap.Bool("operator_token", m.options.Token != ""))
	group.Go(func() error { return m.server.Run(serving) })
	group.Go(func() error {
		return adminserver.Run(serving, adminserver.Options{Logger: m.logger, Listener: m.admin, Metrics: m.options.Metrics, Healthy: m.disk.healthy, Intercept: m.adminHandler(), Fallback: m.handleAdmin})
	})
	group.Go(func() error {
		err := m.runReplica(ctx, serving)
		stopServing()
		return err
	})
	err := group.Wait()
	m.logger.Info("stopped")
	return errors.Join(err, m.storage.log.Close())
}

// runReplica joins or forms the group and runs everything that depends on its state.
func (m *Member) runReplica(ctx, serving context.Context) error {
	state := m.recovered
	if !m.storage.identity.Formed {
		formed, err := m.form(ctx)
		if err != nil {
			return ignoreCancel(ctx, err)
		}
		state = formed
	}
	replica, err := newReplica(m.options, m.storage, m.disk, state)
	if err != nil {
		return err
	}
	if state.tornBytes > 0 {
		m.logger.Warn("torn_tail_cut", zap.Int64("bytes", state.tornBytes))
	}
	m.replica = replica
	replica.send = m.peers.send
	replica.onChanges = m.pusher.record
	replica.onApplied = m.afterApply
	replica.onReset = func(state *fleet.State) {
		m.pusher.reset()
		m.hub.reset(state.Revision)
	}
	m.hub = newHub(replica.state.Revision)
	m.peers.update(replica.core.Configuration())
	close(m.started)
	group, running := errgroup.WithContext(serving)
	group.Go(func() error { return replica.run(running) })
	group.Go(func() error { return replica.runApplier(running) })
	group.Go(func() error { return m.runPusher(running) })
	group.Go(func() error { return m.watchConfiguration(running) })
	group.Go(func() error { return m.runLeader(running) })
	group.Go(func() error { return m.relayLoads(running) })
	group.Go(func() error { return m.watchRouters(running) })
	group.Go(func() error { return m.watchLeader(running) })
	group.Go(func() error { return m.ageQuarantine(running) })
	group.Go(func() error { return m.followPlatform(running) })
	group.Go(func() error { return m.requestAdmission(running) })
	group.Go(func() error { return m.maintainVoters(running) })
	group.Go(func() error { return m.awaitStop(ctx, running) })
	return ignoreCancel(ctx, group.Wait())
}

var errStopping = errors.New("stopping")

// awaitStop transfers leadership and hands over this member's vote when ctx ends, and then returns errStopping,
// which stops the other goroutines of runReplica.
func (m *Member) awaitStop(ctx, running context.Context) error {
	select {
	case <-running.Done():
		return nil
	case <-ctx.Done():
	}
	if m.replica.status.Load().Role == consensus.RoleLeader {
		m.transferLeadership(running)
	}
	m.handOverVote(running)
	return errStopping
}

// transferLeadership starts a transfer of leadership and waits, for at most twice the maximum
// election timeout, until this member no longer leads.
func (m *Member) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Settings.Control.Timing.ElectionMax*2)
	defer cancel()
	if !m.replica.transferLeadership(ctx) {
		return
	}
	for m.replica.status.Load().Role == consensus.RoleLeader {
		if pause(ctx, m.options.tickInterval()) != nil {
			return
		}
	}
	m.logger.Info("leadership_transferred")
}

func ignoreCancel(ctx context.Context, err error) error {
	if errors.Is(err, errStopping) || ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// watchConfiguration keeps links to the members of the newest configuration, and
// marks the data folder as formed once this member has a configuration.
func (m *Member) watchConfiguration(ctx context.Context) error {
	for {
		if err := pause(ctx, m.options.tickInterval()); err != nil {
			return nil
		}
		status := m.replica.status.Load()
		m.peers.update(status.Configuration)
		if !m.formed.Load() && len(status.Configuration.Members) > 0 {
			err := m.storage.markFormed()
			if m.disk.observe(diskspace.StepIdentity, err) {
				continue
			}
			if err != nil {
				return err
			}
			m.formed.Store(true)
		}
	}
}

func (m *Member) logRejectedPeer(address string, err error) {
	m.logger.Warn("peer_rejected", zap.String("step", "exchange hellos"), zap.String("peer", address), zap.String("error", err.Error()))
}

// Inline implements transport.Handler. It returns true for requests whose handling only
// queues a message or accesses memory, and thus does not wait.
func (m *Member) Inline(kind wire.Kind) bool {
	switch kind {
	case wire.KindConsensus, wire.KindRenew, wire.KindReadIndex, wire.KindLoadRelay, wire.KindJoin:
		return true
	}
	return false
}

// Handle implements transport.Handler.
func (m *Member) Handle(ctx context.Context, conn *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	if kind == wire.KindFormation {
		return m.formationReply(), nil
	}
	select {
	case <-m.started:
	default:
		return nil, &wire.Error{Code: wire.CodeNotReady, Message: "the group is not formed yet", Step: "start", Peer: m.options.Settings.Name}
	}
	if !slices.Contains(allowedRoles[kind], conn.Peer.Role) {
		return nil, &wire.Error{Code: wire.CodeInvalid, Message: "a " + string(conn.Peer.Role) + " may not ask this", Step: "check role of " + conn.Peer.Name, Peer: m.options.Settings.Name}
	}
	return m.dispatch(ctx, conn, kind, payload)
}

// allowedRoles maps each kind of request to the roles that may send it.
var allowedRoles = map[wire.Kind][]wire.Role{
	wire.KindConsensus: {wire.RoleControl}, wire.KindForward: {wire.RoleControl}, wire.KindForwardOrder: {wire.RoleControl},
	wire.KindReadIndex: {wire.RoleControl}, wire.KindRouterList: {wire.RoleControl}, wire.KindLoadRelay: {wire.RoleControl},
	wire.KindLeaderView: {wire.RoleControl}, wire.KindJoin: {wire.RoleControl}, wire.KindLeave: {wire.RoleControl},
	wire.KindEndSession:  {wire.RoleAgent},
	wire.KindOpenSession: {wire.RoleAgent}, wire.KindRenew: {wire.RoleAgent},
	wire.KindReleased: {wire.RoleAgent}, wire.KindDrainSelf: {wire.RoleAgent},
	wire.KindRecordDeparture: {wire.RoleAgent}, wire.KindDepartures: {wire.RoleAgent},
	wire.KindWatch: {wire.RoleRouter}, wire.KindConfirm: {wire.RoleRouter},
	wire.KindReport: {wire.RoleRouter}, wire.KindTrial: {wire.RoleRouter},
	wire.KindTakeQuota: {wire.RoleRouter, wire.RoleAgent, wire.RoleControl},
}

func (m *Member) dispatch(ctx context.Context, conn *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	switch kind {
	case wire.KindConsensus:
		return nil, m.handleConsensus(conn, payload)
	case wire.KindForward, wire.KindForwardOrder:
		return decodeAndHandle(payload, func(r *wire.Forward) (*wire.ForwardReply, error) { return m.handleForward(ctx, r) })
	case wire.KindReadIndex:
		index, err := m.localReadIndex()
		return &wire.ReadIndexReply{Index: index}, err
	case wire.KindRouterList:
		return &wire.RouterListReply{Routers: m.routers.list(m.options.Settings.Name), Up: m.uptime()}, nil
	case wire.KindLeaderView:
		return m.localLeaderView()
	case wire.KindJoin:
		return decodeAndHandle(payload, func(r *wire.Join) (*wire.JoinReply, error) { return m.handleJoin(r), nil })
	case wire.KindLeave:
		return decodeAndHandle(payload, func(r *wire.Leave) (*wire.LeaveReply, error) { return m.handleLeave(ctx, r) })
	case wire.KindEndSession:
		return decodeAndHandle(payload, func(r *wire.EndSession) (any, error) { return struct{}{}, m.endSession(ctx, r) })
	case wire.KindLoadRelay:
		return decodeAndHandle(payload, func(r *wire.Confirm) (any, error) { m.addLoads(r.Work); return nil, nil })
	case wire.KindOpenSession:
		return decodeAndHandle(payload, func(r *wire.OpenSession) (*wire.OpenSessionReply, error) { return m.openSession(ctx, conn, r) })
	case wire.KindRenew:
		return decodeAndHandle(payload, func(r *wire.Renew) (*wire.RenewReply, error) { return m.renew(conn, r) })
	case wire.KindReleased:
		return decodeAndHandle(payload, func(r *wire.Released) (*wire.ReleasedReply, error) { return m.released(ctx, r) })
	case wire.KindDrainSelf:
		return decodeAndHandle(payload, func(r *wire.DrainSelf) (*wire.ReleasedReply, error) { return m.drainSelf(ctx, conn, r) })
	case wire.KindRecordDeparture:
		return decodeAndHandle(payload, func(r *wire.RecordDeparture) (any, error) { return struct{}{}, m.recordDeparture(ctx, conn, r) })
	case wire.KindDepartures:
		return m.departures(ctx, conn)
	case wire.KindWatch:
		return decodeAndHandle(payload, func(r *wire.Watch) (any, error) { return struct{}{}, m.watch(conn, r) })
	case wire.KindReport:
		return decodeAndHandle(payload, func(r *wire.Report) (any, error) { return m.handleReport(ctx, conn, r) })
	case wire.KindTrial:
		return decodeAndHandle(payload, func(r *wire.Trial) (*wire.TrialReply, error) { return m.handleTrial(ctx, r) })
	case wire.KindTakeQuota:
		return decodeAndHandle(payload, func(r *wire.TakeQuota) (*wire.TakeQuotaReply, error) { return m.takeQuota(ctx, conn, r) })
	case wire.KindConfirm:
		return decodeAndHandle(payload, func(r *wire.Confirm) (*wire.ConfirmReply, error) { return m.confirm(ctx, conn, r) })
	}
	return nil, &wire.Error{Code: wire.CodeInvalid, Message: "unknown kind of request", Step: "dispatch", Peer: m.options.Settings.Name}
}

// decodeAndHandle decodes a payload and passes it to handle.
func decodeAndHandle[Request, Reply any](payload []byte, handle func(*Request) (Reply, error)) (any, error) {
	request := new(Request)
	if err := codec.Unmarshal(payload, request); err != nil {
		return nil, err
	}
	return handle(request)
}

// handleConsensus passes a message to the replica after checking that its sender is
// the member at the other end of the connection.
func (m *Member) handleConsensus(conn *transport.Conn, payload []byte) error {
	message := new(consensus.Message)
	if err := codec.Unmarshal(payload, message); err != nil {
		return err
	}
	if message.From != conn.Peer.Member {
		return &wire.Error{Code: wire.CodeInvalid, Message: "the message is signed by another member", Step: "take consensus message", Peer: conn.Peer.Name}
	}
	m.peers.recordIncoming(conn)
	m.replica.step(message)
	return nil
}
