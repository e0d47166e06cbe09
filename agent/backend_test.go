package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/settings"
)

// A back end whose process is gone is not renewed for until its silence is long
// enough: that would add to the time until its shards have another owner.
func TestBackEndThatIsGoneIsUnhealthyAtOnce(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"status": "ok", "incarnation": "a"}`))
	}))
	watched := newBackend(settings.Settings{Agent: settings.Agent{Backend: server.Listener.Addr().String()}})
	watched.probe()
	incarnation, healthy := watched.Alive(clock.Now())
	is.True(healthy)
	is.Equal(incarnation, "a")
	server.CloseClientConnections()
	server.Close()
	watched.probe()
	_, healthy = watched.Alive(clock.Now())
	is.Equal(healthy, false)
}

func TestSilentBackEndBecomesUnhealthy(t *testing.T) {
	is := is.New(t)
	watched := newBackend(settings.Settings{Agent: settings.Agent{Backend: "127.0.0.1:1"}})
	_, healthy := watched.Alive(0)
	is.Equal(healthy, false) // it has never answered
	watched.everSet, watched.seen = true, time.Second
	_, healthy = watched.Alive(time.Second + unhealthyAfter/2)
	is.True(healthy)
	_, healthy = watched.Alive(time.Second + unhealthyAfter)
	is.Equal(healthy, false)
}
