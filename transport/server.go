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
	// TLS secures connections when set, with certificates on both sides.
	TLS *tls.Config
	// Relays lists addresses of processes that pass connections on to an address which
	// does not answer; see Tunnel. Optional.
	Relays func() []string
	// ProveEvery is how often a Link looks whether its connection still leads to the peer; zero: never.
	ProveEvery time.Duration
	// ProveAccepted is the same for a Server and what it has accepted. Default 10 s.
	ProveAccepted time.Duration
	// Logger is told of handlers that panic. Nil: nobody is.
	Logger *zap.Logger
	// Rejected is told of connections that failed the hello. Optional.
	Rejected func(address string, err error)
}

// proveAccepted is Options.ProveAccepted by default. Who has dialed finds out sooner, by its own means, and is
// served over another connection by then; this frees what the dead one holds.
const proveAccepted = 10 * time.Second

// Server accepts connections.
type Server struct {
	options  Options
	listener net.Listener
	handler  Handler
	mutex    sync.Mutex
	conns    map[*Conn]struct{}
	closed   bool
}

// Listen opens the address. The error names the address.
func Listen(address string, handler Handler, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return NewServer(listener, handler, options), nil
}

// NewServer serves a listener that is already open.
func NewServer(listener net.Listener, handler Handler, options Options) *Server {
	return &Server{options: options, listener: listener, handler: handler, conns: map[*Conn]struct{}{}}
}

// Address is the listener's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run accepts connections until ctx ends; then it closes them all.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	go s.proveAll(ctx)
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrapf(err, "accept on %s", s.Address())
		}
		go s.serve(raw)
	}
}

func (s *Server) serve(raw net.Conn) {
	if s.options.TLS != nil {
		raw = tls.Server(raw, s.options.TLS)
	}
	conn := newConn(raw, &s.options, s.handler)
	if err := conn.greet(false); err != nil {
		conn.Close()
		if s.options.Rejected != nil {
			s.options.Rejected(raw.RemoteAddr().String(), err)
		}
		return
	}
	if !s.add(conn) {
		conn.Close()
		return
	}
	defer s.remove(conn)
	conn.run()
}

func (s *Server) add(conn *Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, conn)
}

// proveAll closes connections that lead to nobody any more, until ctx ends.
func (s *Server) proveAll(ctx context.Context) {
	every := s.options.ProveAccepted
	if every == 0 {
		every = proveAccepted
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, conn := range s.accepted() {
			if conn.missing() {
				s.options.told("connection_dead", conn)
				conn.Close()
			}
		}
	}
}

// accepted lists the connections that are open.
func (s *Server) accepted() []*Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

func (s *Server) close() {
	s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
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
	// A cancelled context must also end a hello that hangs.
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	err = conn.greet(true)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, eris.Wrapf(err, "greet %s", address)
	}
	go conn.run()
	return conn, nil
}

// clientTLS checks the server's certificate against the same authorities; the
// name in it is compared with the hello (processes are known by name, not by host).
func clientTLS(config *tls.Config) *tls.Config {
	copied := config.Clone()
	copied.InsecureSkipVerify = true
	copied.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyChain(config, state)
	}
	return copied
}
