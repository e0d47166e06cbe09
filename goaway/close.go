package goaway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// lingerTime is how long a closed connection stays readable. Requests cross a close only within the time that
	// the close takes to reach the client.
	lingerTime = 300 * time.Millisecond
	// noticeTimeout bounds the writing of the notice to a client that does not read.
	noticeTimeout = 50 * time.Millisecond
	// noticeAttempts is how often the writing of a notice is begun. A process that does not run between setting the
	// timeout and writing has written nothing when the timeout is over.
	noticeAttempts = 3
)

// WriteNotice writes a notice to an idle connection, unless its client does not read.
func WriteNotice(conn net.Conn, notice []byte) error {
	var err error
	for range noticeAttempts {
		if err = conn.SetWriteDeadline(time.Now().Add(noticeTimeout)); err != nil {
			return err
		}
		var count int
		count, err = conn.Write(notice)
		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	return err
}

// Linger closes the sending side of a connection and discards what it receives until the client has closed it, or for
// the given time. A close with unread data would reset the connection, and might destroy a response that the client has
// not read yet. The caller closes the connection afterwards.
func Linger(conn net.Conn, duration time.Duration) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		if err := half.CloseWrite(); err != nil {
			return err
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(duration)); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// Wait waits for a group until the context ends, and returns the context's error then.
func Wait(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		group.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
