package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func lookup() *Request {
	return &Request{
		Method: []byte("GET"), Host: []byte("shop.example"), Target: []byte("/numbers/7?page=2"),
		Body: []byte("body"), Length: 4, Caller: [][]byte{[]byte("orders"), []byte("Bearer a")},
	}
}

func TestIdentityIsWhatIsAsked(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*Request)
		any, own bool // whether the digest stays the same
	}{
		"the same":         {func(*Request) {}, true, true},
		"another method":   {func(r *Request) { r.Method = []byte("POST") }, false, false},
		"another host":     {func(r *Request) { r.Host = []byte("shop2.example") }, false, false},
		"another query":    {func(r *Request) { r.Target = []byte("/numbers/7?page=3") }, false, false},
		"another body":     {func(r *Request) { r.Body = []byte("bodY") }, false, false},
		"a longer body":    {func(r *Request) { r.Body, r.Length = nil, 1<<20 }, false, false},
		"another caller":   {func(r *Request) { r.Caller[1] = []byte("Bearer b") }, true, false},
		"parts run across": {func(r *Request) { r.Host, r.Target = []byte("shop.example/"), []byte("numbers/7?page=2") }, false, false},
		"callers across":   {func(r *Request) { r.Caller = [][]byte{[]byte("ordersBearer"), []byte(" a")} }, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changed := lookup()
			c.change(changed)
			one, _ := lookup().Identity(nil)
			other, _ := changed.Identity(nil)
			is.Equal(one.Any == other.Any, c.any)
			is.Equal(one.PerCaller == other.PerCaller, c.own)
			is.True(one.Any != one.PerCaller)
		})
	}
}

func BenchmarkIdentify(b *testing.B) {
	for _, size := range []int{0, 700, 64 << 10} {
		b.Run(fmt.Sprintf("body of %d bytes", size), func(b *testing.B) {
			request := lookup()
			request.Body, request.Length = make([]byte, size), size
			b.ReportAllocs()
			var scratch []byte
			for b.Loop() {
				_, scratch = request.Identity(scratch)
			}
		})
	}
}
