package callerconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/goaway"
)

// ConnState is the server's hook for changes of the state of a connection.
func (l *Listener) ConnState(changed net.Conn, state fasthttp.ConnState) {
	if c, ok := changed.(*Conn); ok {
		c.report(state)
	}
}

// Close implements net.Listener. Connections that wait for a request then, or later, are closed with the notice, whether
// or not the server's shutdown waits for them.
func (l *Listener) Close() error {
	l.stopping.Store(true)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		c.mutex.Lock()
		c.changed.Broadcast()
		c.mutex.Unlock()
	}
	return l.Listener.Close()
}

// report records a state that the server has reported, and carries out a close that waits for it.
func (c *Conn) report(state fasthttp.ConnState) {
	c.mutex.Lock()
	c.idle = state == fasthttp.StateNew || state == fasthttp.StateIdle
	if state == fasthttp.StateIdle {
		c.answered()
	}
	mode := c.Report(state)
	c.mutex.Unlock()
	if mode != goaway.CloseLater {
		_ = c.end(mode) // the server has been told of the close already
	}
}

// answered records that the current request's answer has been written. The mutex is held.
func (c *Conn) answered() {
	if c.current == nil {
		return
	}
	c.queue.Answered()
	c.forget(c.current)
	c.current = nil
	c.changed.Broadcast()
}

// forget releases the place of a request that ran ahead. The mutex is held.
func (c *Conn) forget(answered *head) {
	if answered.ahead != nil && !answered.forgotten {
		answered.forgotten = true
		c.listener.ahead.Add(-1)
	}
}

// settleClose decides whether the answer to the current request closes the connection, if it or the listener asks for
// that. The answers to requests that were started ahead come first.
func (c *Conn) settleClose(response *fasthttp.Response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case !response.ConnectionClose() && !c.listener.draining.Load() && !c.queue.Sealed():
	case c.queue.Seal():
		response.SetConnectionClose()
	default:
		response.Header.ResetConnectionClose()
	}
}

// Close implements net.Conn. Requests that run ahead are answered first, unless the connection is broken.
func (c *Conn) Close() error {
	c.mutex.Lock()
	if c.Closed() {
		c.mutex.Unlock()
		return net.ErrClosed
	}
	mode := c.Lifecycle.Close()
	c.changed.Broadcast()
	c.mutex.Unlock()
	if mode == goaway.CloseLater {
		// Ends a read or a write that the server waits in.
		return c.Conn.SetDeadline(goaway.PastDeadline)
	}
	return c.end(mode)
}

// end carries out a close. A caller that has only closed its sending side still reads the answers to what was started.
func (c *Conn) end(mode goaway.CloseMode) error {
	c.mutex.Lock()
	ended := c.err != nil
	finishes := mode == goaway.CloseIdle && (!ended || errors.Is(c.err, io.EOF))
	c.abandoned = !finishes
	unanswered := c.heads
	if finishes {
		unanswered = c.takeStarted()
	}
	c.mutex.Unlock()
	if finishes && (!ended || len(unanswered) > 0) {
		go c.finish(unanswered)
		return nil
	}
	c.abandon(unanswered)
	if ended || mode == goaway.CloseHijacked {
		return c.closeNow()
	}
	go c.linger()
	return nil
}

// takeStarted returns the requests up to the last one that was started ahead. Those among them that the server has not
// handled are safe, as others run ahead of their answers, and are started: the answers have to be in order. The mode of
// the close is CloseIdle. The mutex is held.
func (c *Conn) takeStarted() []*head {
	pending := c.heads
	if c.current != nil {
		// The server has read this request, but does not handle it: no request runs.
		pending = append([]*head{c.current}, pending...)
	}
	for len(pending) > 0 && pending[len(pending)-1].ahead == nil {
		pending = pending[:len(pending)-1]
	}
	for _, next := range pending {
		if next.ahead == nil {
			c.listener.ahead.Add(1)
			next.ahead = c.listener.start(c, next.raw)
		}
	}
	return pending
}

// abandon gives up requests whose answers cannot be written.
func (c *Conn) abandon(unanswered []*head) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != nil {
		c.forget(c.current)
	}
	for _, abandoned := range unanswered {
		c.forget(abandoned)
		if abandoned.ahead != nil {
			go abandoned.ahead.discard()
		}
	}
	c.heads = nil
	c.queue.Close()
}

// finish writes the answers to the requests that were started ahead, the last of which announces the close, or else the
// notice, and closes the connection.
func (c *Conn) finish(started []*head) {
	defer c.closeNow()
	for i, next := range started {
		if err := c.writeAnswer(next, i == len(started)-1); err != nil {
			c.listener.options.Logger.Printf("write an answer to %s, which was started ahead, at the close of its connection: %v", c.RemoteAddr(), err)
			c.abandon(started[i:])
			return
		}
	}
	if len(started) == 0 {
		// A write waits for the TLS handshake, which a read may have begun.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
		if goaway.WriteNotice(c.Conn, c.listener.options.Notice) != nil {
			return // the caller does not read, or has closed the connection
		}
		c.listener.notices.Add(1)
	}
	_ = goaway.Linger(c.Conn, lingerTime) // the connection is closed in any case
}

// writeAnswer writes the answer to a request that was started ahead, once it has finished.
func (c *Conn) writeAnswer(next *head, last bool) error {
	<-next.ahead.done
	response := &next.ahead.context.Response
	response.Header.ResetConnectionClose()
	if last {
		response.SetConnectionClose()
	}
	response.SkipBody = response.SkipBody || next.ahead.context.IsHead()
	response.Header.SetNoDefaultContentType(true)
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.listener.options.WriteTimeout)); err != nil {
		return err
	}
	writer := bufio.NewWriter(c.Conn)
	if err := response.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.forget(next)
	return nil
}

// linger closes the connection once the caller has closed it, or some time later.
func (c *Conn) linger() {
	defer c.closeNow()
	_ = goaway.Linger(c.Conn, lingerTime) // the connection is closed in any case
}

func (c *Conn) closeNow() error {
	c.mutex.Lock()
	c.abandoned = true
	c.mutex.Unlock()
	defer c.listener.remove(c)
	return c.Conn.Close()
}

// remove records that a connection is closed.
func (l *Listener) remove(c *Conn) {
	l.mutex.Lock()
	_, found := l.conns[c]
	delete(l.conns, c)
	l.mutex.Unlock()
	if found {
		l.open.Done()
	}
}
