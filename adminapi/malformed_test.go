package adminapi

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/bench/rawserver"
)

// Guards against an order that counts as accepted by a malformed response.
func TestMalformedAnswersAcceptNothing(t *testing.T) {
	const body = `{"revision": 1}`
	order := func(address string, answer any) error {
		return NewClient([]string{address}, "", time.Second).Do(Request{Method: http.MethodPost, Path: PathServices, Body: []byte("{}"), CommandID: "c-1"}, answer)
	}
	var answer []byte
	if err := order(rawserver.Start(t, rawserver.Response(body)), &answer); err != nil || string(answer) != body {
		t.Fatalf("valid response: %q, %v", answer, err)
	}
	for name, response := range rawserver.Malformed(body) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(order(rawserver.Start(t, response), nil) != nil) // must not count as accepted
		})
	}
}
