package ingress

import "limehold/upstream"

// sending is the sending of a request while its response is read.
type sending struct {
	done chan struct{}
	err  error
}

func startSending(send func() error) *sending {
	s := &sending{done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = send()
	}()
	return s
}

// wait returns the result of the sending once it has ended. Closing the connection ends it.
func (s *sending) wait() error {
	<-s.done
	return s.err
}

// brokenBySending returns an error if the connection broke, and that was reported to the sending of the request: the reader
// of the response then sees an end that looks orderly. The connection must be closed.
func (e *exchange) brokenBySending() error {
	if e.sending == nil {
		return nil
	}
	if err := e.sending.wait(); upstream.IsBroken(err) {
		return err
	}
	return nil
}
