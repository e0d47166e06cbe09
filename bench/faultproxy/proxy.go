// Package faultproxy provides a TCP proxy that runs inside the test process. It
// delays, stalls (in one direction or both) and cuts connections between two processes.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Proxy forwards connections to a target. The target can change.
type Proxy struct {
	listener net.Listener
	target   atomic.Pointer[string]
	forward  *gate
	backward *gate
	refuse   atomic.Bool
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
	links    map[*link]struct{}
	closed   bool
}

// link is one connection through the proxy. Once it is silent, the proxy drops all
// data and does not pass on that a side has closed.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

// gate controls one direction. It delays data and holds it back while it is shut,
// like a TCP stream over a network that drops all packets.
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

func (g *gate) setShut(shut bool) {
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

func (g *gate) opened() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.open
}

// New listens on a free loopback port and delays data by delay in both directions.
func New(delay time.Duration) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a proxy")
	}
	proxy := &Proxy{listener: listener, forward: newGate(), backward: newGate(), conns: map[net.Conn]struct{}{}, links: map[*link]struct{}{}}
	proxy.SetDelays(delay, delay)
	go proxy.accept()
	return proxy, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(address string) { p.target.Store(&address) }

// SetDelays sets the delays of data to the target (forward) and from it (backward).
func (p *Proxy) SetDelays(forward, backward time.Duration) {
	p.forward.delay.Store(int64(forward))
	p.backward.delay.Store(int64(backward))
}

// Stall sets whether data to the target (forward) and from it (backward) is held
// back. The data is delivered once the stall ends.
func (p *Proxy) Stall(forward, backward bool) {
	p.forward.setShut(forward)
	p.backward.setShut(backward)
}

// Refuse sets whether new connections are closed immediately.
func (p *Proxy) Refuse(refuse bool) { p.refuse.Store(refuse) }

// BlackholeOpen makes all open connections silent for good, as if the peer had lost power
// or a NAT had dropped its state: neither side is notified. New connections work. It
// returns the number of connections that were open.
func (p *Proxy) BlackholeOpen() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
	return len(p.links)
}

// ResetAll resets all open connections and returns how many there were. A connection that Dial made ends
// without a reset at its caller.
func (p *Proxy) ResetAll() int {
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

// Close stops the listener and closes all connections.
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
	server, err := p.dialTarget()
	if err != nil {
		return
	}
	p.join(client, server)
}

// dialTarget connects to the target. It returns an error if no target is set or new connections are refused.
func (p *Proxy) dialTarget() (net.Conn, error) {
	target := p.target.Load()
	if target == nil || p.refuse.Load() {
		return nil, eris.New("the path is shut")
	}
	return net.DialTimeout("tcp", *target, dialTimeout)
}

// Dial connects to the target through the proxy from within this process. Unlike a
// connection over the listener, it returns an error if the target refuses.
func (p *Proxy) Dial() (net.Conn, error) {
	server, err := p.dialTarget()
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

// join copies data between the two connections until one of them closes.
func (p *Proxy) join(client, server net.Conn) {
	defer server.Close()
	l := &link{client: client, server: server}
	if !p.add(l) {
		return
	}
	defer p.remove(l)
	var copies sync.WaitGroup
	copies.Add(2)
	go func() { defer copies.Done(); l.forwardData(server, client, p.forward) }()
	go func() { defer copies.Done(); l.forwardData(client, server, p.backward) }()
	copies.Wait()
}

func (p *Proxy) add(l *link) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.links[l] = struct{}{}
	p.conns[l.client] = struct{}{}
	p.conns[l.server] = struct{}{}
	return true
}

func (p *Proxy) remove(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, l)
	delete(p.conns, l.client)
	delete(p.conns, l.server)
}

// chunk is a piece of a stream in transit. An err that is not nil ends the stream.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

const (
	chunkSize         = 32 << 10
	maxBufferedChunks = 64
)

// forwardData forwards one direction. Each chunk is delivered after the delay and only
// while the gate is open. The end of the stream is forwarded in the same way.
func (l *link) forwardData(to, from net.Conn, g *gate) {
	chunks := make(chan chunk, maxBufferedChunks)
	stopped := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkSize)
			count, err := from.Read(buffer)
			c := chunk{data: buffer[:count], due: time.Now().Add(time.Duration(g.delay.Load())), err: err}
			select {
			case chunks <- c:
			case <-stopped:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(stopped)
	for c := range chunks {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		<-g.opened()
		if l.silent.Load() {
			continue
		}
		if len(c.data) > 0 {
			if _, err := to.Write(c.data); err != nil {
				from.Close()
				return
			}
		}
		if c.err != nil {
			closeBoth(to, from)
			return
		}
	}
}

// closeBoth forwards the end of a stream by closing both connections. The protocols used
// here have no half-closed connections.
func closeBoth(to, from net.Conn) {
	to.Close()
	from.Close()
}
