package load

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"limehold/bench/rawserver"
	"limehold/bench/shape"
	"limehold/bench/standin"
)

// Guards against a verdict that counts a malformed answer as one that a caller got.
func TestMalformedAnswersAreNone(t *testing.T) {
	const run, size = "run-1", 100
	send := func(answer string) Result {
		address := rawserver.Start(t, answer)
		target := Target{Name: "back-end", Direct: true, Dial: func() (net.Conn, error) { return net.Dial("tcp", address) }}
		return newCaller(target).send(&requestSpec{run: run, stream: &shape.Stream{Method: "GET", Bytes: size}, prefix: "/x"})
	}
	body := string(standin.Body(run, size))
	if result := send(rawserver.Response(body)); result.Outcome != OutcomeOK {
		t.Fatalf("valid response: %+v", result)
	}
	for name, answer := range rawserver.Malformed(body) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(send(answer).Outcome, OutcomeNoAnswer)
		})
	}
}
