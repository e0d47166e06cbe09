// Package faultproxy is a TCP proxy inside the test process: it delays, stalls
// (in one direction or both) and cuts what passes between two processes.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Proxy forwards connections to a target that may change.
type Proxy struct {
	listener net.Listener
	target   atomic.Pointer[string]
	forward  *gate
	backward *gate
	refuse   atomic.Bool
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
	lines    map[*line]struct{}
	closed   bool
}

// line is one connection through the proxy. Once it is silent nothing passes any more, neither bytes nor
// the end of a side, and neither side is told.
type line struct {
	client, server net.Conn
	silent         atomic.Bool
}

// gate is one direction. It delays bytes, and holds them back while it is shut, as a
// network that drops packets holds back a TCP stream.
type gate struct {
	delay atomic.Int64
	mutex sync.Mutex
	open  chan struct{}
	shut  bool
}

func newGate() *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{open: opened}
}

func (g *gate) set(shut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.shut == shut {
		return
	}
	g.shut = shut
	if shut {
		g.open = make(chan struct{})
		return
	}
	close(g.open)
}

func (g *gate) passage() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.open
}

// New listens on a free loopback port.
func New(delay time.Duration) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a proxy")
	}
	proxy := &Proxy{listener: listener, forward: newGate(), backward: newGate(), conns: map[net.Conn]struct{}{}, lines: map[*line]struct{}{}}
	proxy.SetDelays(delay, delay)
	go proxy.accept()
	return proxy, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget changes where new connections go.
func (p *Proxy) SetTarget(address string) { p.target.Store(&address) }

// SetDelays changes the delay towards the target (forward) and from it (backward).
func (p *Proxy) SetDelays(forward, backward time.Duration) {
	p.forward.delay.Store(int64(forward))
	p.backward.delay.Store(int64(backward))
}

// Stall holds back bytes towards the target (forward) and from it (backward).
// What is held back passes once the stall is lifted.
func (p *Proxy) Stall(forward, backward bool) {
	p.forward.set(forward)
	p.backward.set(backward)
}

// Refuse closes new connections at once while it is set.
func (p *Proxy) Refuse(refuse bool) { p.refuse.Store(refuse) }

// Silence has all connections that are open now go silent for good, as those do whose other end has lost
// its power or whose way has been forgotten; new ones pass. It returns how many there were.
func (p *Proxy) Silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for open := range p.lines {
		open.silent.Store(true)
	}
	return len(p.lines)
}

// CutAll resets all connections; it returns how many there were.
func (p *Proxy) CutAll() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := len(p.conns) / 2
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	return count
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	for conn := range p.conns {
		conn.Close()
	}
	p.mutex.Unlock()
	p.Stall(false, false)
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

const dialTimeout = 2 * time.Second

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	server, err := p.reach()
	if err != nil {
		return
	}
	p.join(client, server)
}

// reach dials the target.
func (p *Proxy) reach() (net.Conn, error) {
	target := p.target.Load()
	if target == nil || p.refuse.Load() {
		return nil, eris.New("the path is shut")
	}
	return net.DialTimeout("tcp", *target, dialTimeout)
}

// Dial connects to the target through the proxy from within this process. Other
// than over the listener, the caller learns at once when the target refuses.
func (p *Proxy) Dial() (net.Conn, error) {
	server, err := p.reach()
	if err != nil {
		return nil, eris.Wrap(err, "dial through the proxy")
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		p.join(far, server)
	}()
	return near, nil
}

// join copies between the two ends until one of them closes.
func (p *Proxy) join(client, server net.Conn) {
	defer server.Close()
	joined := &line{client: client, server: server}
	if !p.add(joined) {
		return
	}
	defer p.remove(joined)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); joined.copy(server, client, p.forward) }()
	go func() { defer both.Done(); joined.copy(client, server, p.backward) }()
	both.Wait()
}

func (p *Proxy) add(joined *line) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.lines[joined] = struct{}{}
	p.conns[joined.client] = struct{}{}
	p.conns[joined.server] = struct{}{}
	return true
}

func (p *Proxy) remove(joined *line) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.lines, joined)
	delete(p.conns, joined.client)
	delete(p.conns, joined.server)
}

// chunk is a piece of a stream on its way; nil data is the stream's end.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

const (
	chunkSize   = 32 << 10
	chunksAhead = 64
)

// copy passes one direction on, each piece after the delay and not while the
// gate is shut. An end of the stream closes the other side in the same way.
func (l *line) copy(to, from net.Conn, g *gate) {
	pieces := make(chan chunk, chunksAhead)
	stopped := make(chan struct{})
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, chunkSize)
			count, err := from.Read(buffer)
			piece := chunk{data: buffer[:count], due: time.Now().Add(time.Duration(g.delay.Load())), err: err}
			select {
			case pieces <- piece:
			case <-stopped:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(stopped)
	for piece := range pieces {
		if wait := time.Until(piece.due); wait > 0 {
			time.Sleep(wait)
		}
		<-g.passage()
		if l.silent.Load() {
			continue
		}
		if len(piece.data) > 0 {
			if _, err := to.Write(piece.data); err != nil {
				from.Close()
				return
			}
		}
		if piece.err != nil {
			end(to, from)
			return
		}
	}
}

// end passes the end of a stream on. Both sides are closed: the protocols that
// pass here use no half-closed connections.
func end(to, from net.Conn) {
	to.Close()
	from.Close()
}
