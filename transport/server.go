package transport

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/wire"
)

// Options configures both listening and dialing.
type Options struct {
	// Local is this process's hello.
	Local wire.Hello
	// TLS, if set, secures connections with certificates on both sides.
	TLS *tls.Config
	// Relays lists addresses of processes that can relay connections to an address that
	// does not answer; see Tunnel. Optional.
	Relays func() []string
	// ProbeInterval is the interval at which a Link checks that its connection is alive. 0 disables the checks.
	ProbeInterval time.Duration
	// AcceptedProbeInterval is the same for the connections that a Server has accepted. 0 means 10 s.
	AcceptedProbeInterval time.Duration
	// Logger receives handler panics and detected half-open connections. Optional.
	Logger *zap.Logger
	// Rejected is called for accepted connections that failed the hello. Optional.
	Rejected func(address string, err error)
}

// defaultAcceptedProbeInterval is the default of Options.AcceptedProbeInterval. These checks only free the
// resources of half-open connections: the dialing side detects them sooner by its own checks and uses another
// connection by then.
const defaultAcceptedProbeInterval = 10 * time.Second

// Server accepts connections.
type Server struct {
	options  Options
	listener net.Listener
	handler  Handler
	mutex    sync.Mutex
	conns    map[*Conn]struct{}
}

// Listen opens a listener on the address and returns a server for it. The error names the address.
func Listen(address string, handler Handler, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return NewServer(listener, handler, options), nil
}

// NewServer returns a server for a listener that is already open.
func NewServer(listener net.Listener, handler Handler, options Options) *Server {
	return &Server{options: options, listener: listener, handler: handler, conns: map[*Conn]struct{}{}}
}

// Address returns the listener's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run accepts connections until ctx ends, then closes them all and waits until their handlers have ended.
func (s *Server) Run(ctx context.Context) error {
	ctx, end := context.WithCancel(ctx)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer end()
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	go s.probeAccepted(ctx)
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrapf(err, "accept on %s", s.Address())
		}
		serving.Go(func() { s.serve(ctx, raw) })
	}
}

func (s *Server) serve(ctx context.Context, raw net.Conn) {
	secured := raw
	if s.options.TLS != nil {
		secured = tls.Server(raw, s.options.TLS)
	}
	conn := newConn(secured, &s.options, s.handler)
	stop := context.AfterFunc(ctx, func() {
		conn.cancel()
		raw.Close() // a TLS connection's own close waits for a peer that does not read
	})
	defer stop()
	if err := conn.exchangeHellos(false); err != nil {
		conn.Close()
		if s.options.Rejected != nil && ctx.Err() == nil {
			s.options.Rejected(raw.RemoteAddr().String(), err)
		}
		return
	}
	s.add(conn)
	defer s.remove(conn)
	conn.run()
}

func (s *Server) add(conn *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) remove(conn *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, conn)
}

// probeAccepted closes accepted connections that are half-open, until ctx ends.
func (s *Server) probeAccepted(ctx context.Context) {
	interval := s.options.AcceptedProbeInterval
	if interval == 0 {
		interval = defaultAcceptedProbeInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, conn := range s.accepted() {
			if conn.probeFailed() {
				s.options.logSilence("connection_dead", conn)
				conn.Close()
			}
		}
	}
}

// accepted returns the open connections.
func (s *Server) accepted() []*Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// Dial connects, exchanges hellos and starts serving the connection.
func Dial(ctx context.Context, address string, handler Handler, options Options) (*Conn, error) {
	raw, err := newDialer(options.Relays).connect(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	if options.TLS != nil {
		raw = tls.Client(raw, clientTLS(options.TLS))
	}
	conn := newConn(raw, &options, handler)
	// Cancelling the context must also abort a hello that hangs.
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	err = conn.exchangeHellos(true)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, eris.Wrapf(err, "exchange hellos with %s", address)
	}
	go conn.run()
	return conn, nil
}

// clientTLS returns a copy of config that verifies the server's certificate against the
// authorities but not its host name: processes are identified by name, not by host, and
// checkCertificate compares the name in the certificate with the hello.
func clientTLS(config *tls.Config) *tls.Config {
	copied := config.Clone()
	copied.InsecureSkipVerify = true
	copied.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyChain(config, state)
	}
	return copied
}
