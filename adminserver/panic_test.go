package adminserver

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/metrics"
)

// A request, or an instance's announcement, that makes the handler panic must not end the process.
func TestQuestionThatNobodyCanAnswerEndsByItself(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, Options{Listener: listener, Metrics: metrics.New(), Logger: zap.NewNop(), Intercept: func(request *fasthttp.RequestCtx) bool {
			if string(request.Path()) == "/down" {
				panic("the handler panics")
			}
			return false
		}})
	}()
	defer func() {
		stop()
		is.NoErr(<-ended)
	}()
	for path, status := range map[string]int{"/down": http.StatusInternalServerError, "/healthz": http.StatusOK} {
		response, err := http.Get("http://" + listener.Addr().String() + path)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, status)
	}
}
