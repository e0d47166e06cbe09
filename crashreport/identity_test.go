package crashreport

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const callerField = "X-Caller"

// request returns a request with the given change.
func request(change func(*fasthttp.Request)) *fasthttp.Request {
	made := &fasthttp.Request{}
	made.Header.SetMethod("POST")
	made.SetRequestURI("/orders/1?page=2")
	made.Header.SetHost("shop.example")
	made.Header.Set(callerField, "orders")
	made.SetBodyString("body")
	change(made)
	return made
}

// Headers that differ on each attempt or are added on the way must not change the identity.
func TestRequestIsTheSameOnAllWays(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*fasthttp.Request)
		any, own bool
	}{
		"another ID and deadline": {func(r *fasthttp.Request) {
			r.Header.Set("X-Request-Id", "2")
			r.Header.Set("Limehold-Deadline-Ms", "900")
			r.Header.Set("Limehold-Attempt", "a.2")
		}, true, true},
		"by another client program":      {func(r *fasthttp.Request) { r.Header.SetUserAgent("other") }, true, true},
		"another query":                  {func(r *fasthttp.Request) { r.SetRequestURI("/orders/1?page=3") }, false, false},
		"another body":                   {func(r *fasthttp.Request) { r.SetBodyString("other") }, false, false},
		"another caller's service":       {func(r *fasthttp.Request) { r.Header.Set(callerField, "press") }, true, false},
		"another caller by its rights":   {func(r *fasthttp.Request) { r.Header.Set("Authorization", "Bearer b") }, true, false},
		"another caller by its session":  {func(r *fasthttp.Request) { r.Header.Set("Cookie", "s=2") }, true, false},
		"a long body of the same length": {func(r *fasthttp.Request) { r.SetBodyStream(strings.NewReader("body"), 4) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			one, other := Identify(request(func(*fasthttp.Request) {}), callerField, ""), Identify(request(c.change), callerField, "")
			is.Equal(one.Any == other.Any, c.any)
			is.Equal(one.PerCaller == other.PerCaller, c.own)
		})
	}
	is := is.New(t)
	long := func(r *fasthttp.Request) { r.SetBodyStream(strings.NewReader("other"), 1<<20) }
	is.Equal(Identify(request(long), callerField, ""), Identify(request(long), callerField, ""))
}

func BenchmarkIdentify(b *testing.B) {
	lookup := request(func(r *fasthttp.Request) { r.SetBody(nil) })
	b.ReportAllocs()
	for b.Loop() {
		Identify(lookup, callerField, "")
	}
}
