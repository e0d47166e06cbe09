package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/agent"
	"limehold/metrics"
	"limehold/routing"
	"limehold/settings"
)

// A response from the incarnation that the session is for proves that the superseded ones have ended. Any
// other response, or none, proves nothing: a late heartbeat may have opened the session.
func TestStartThatAnswersShowsThatThoseBeforeHaveEnded(t *testing.T) {
	const session = 9
	for name, c := range map[string]struct {
		answers     string
		incarnation string
		former      []string
		proved      bool
	}{
		"the start that the session is for": {"i-2", "i-2", []string{"i-1"}, true},
		"several before":                    {"i-3", "i-3", []string{"i-1", "i-2"}, true},
		"the start before":                  {"i-1", "i-2", []string{"i-1"}, false},
		"a start that is not known":         {"i-3", "i-2", []string{"i-1"}, false},
		"nobody says who it is":             {"", "i-2", []string{"i-1"}, false},
		"identity of the one before":        {"i-1", "i-1@20", []string{"i-1@10"}, false},
		"identity of one of those before":   {"i-2", "i-2", []string{"i-1", "i-2@10"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			config := settings.Default()
			config.Headers.Identity = "Instance-Identity"
			config.Ingress.GrantBy = settings.GrantByHeartbeat
			probed := make(chan struct{}, 1)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(config.Headers.Identity, c.answers)
				select {
				case probed <- struct{}{}:
				default:
				}
			}))
			defer server.Close()
			config.Ingress.Instance = strings.TrimPrefix(server.URL, "http://")
			options := Options{
				Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(),
				Service: func(string) routing.Service {
					return routing.Service{Name: "numbers", Keyed: true, HealthPath: "/health"}
				},
			}
			i := newInstance(options, newSlotGate(config.Ingress.QueueTime))
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			go i.predecessorProof.run(ctx)
			i.SessionOpened(agent.OpenedSession{Session: session, Incarnation: c.incarnation, SupersededIncarnations: c.former})
			// A response that proves nothing is followed by another probe.
			for questions := 0; questions < 2; {
				select {
				case proved := <-i.ProvenReleases():
					is.True(c.proved)
					is.Equal(uint64(proved), uint64(session))
					return
				case <-probed:
					questions++
				case <-ctx.Done():
					t.Fatal("the health path was not probed")
				}
			}
			is.Equal(c.proved, false)
		})
	}
}
