package agent

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"limehold/bench/rawserver"
	"limehold/clock"
	"limehold/settings"
	"limehold/wire"
)

// Guards against leases, grants, releases and health that count as answered by a malformed response.
func TestMalformedAnswersOfABackEndCountForNothing(t *testing.T) {
	calls := func(address string) map[string]error {
		called := newBackend(settings.Settings{Agent: settings.Agent{Backend: address}}, zap.NewNop())
		called.probe()
		results := map[string]error{"lease": called.Lease(1, time.Second), "grants": called.Grants(&wire.BackendGrants{})}
		_, results["release"] = called.Release(1, nil)
		if _, healthy := called.CurrentIncarnation(clock.Now()); !healthy {
			results["probe"] = errors.New("unhealthy")
		}
		return results
	}
	const body = `{"status": "ok", "incarnation": "a", "shards": []}`
	for call, err := range calls(rawserver.Start(t, rawserver.Response(body))) {
		if err != nil {
			t.Errorf("valid response, %s: %v", call, err)
		}
	}
	for name, answer := range rawserver.Malformed(body) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			results := calls(rawserver.Start(t, answer))
			for _, call := range []string{"lease", "grants", "release", "probe"} {
				is.True(results[call] != nil) // the call must not count as answered
			}
		})
	}
}

// Guards against a back end that counts as unhealthy while nothing says why, and against a line for each probe.
func TestFailingProbesAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, logged := observer.New(zapcore.InfoLevel)
	address := rawserver.Start(t, rawserver.Malformed("")["status 000"])
	probed := newBackend(settings.Settings{Agent: settings.Agent{Backend: address}}, zap.New(core))
	for range 3 {
		probed.probe()
	}
	is.Equal(logged.Len(), 1)
	fields := logged.All()[0].ContextMap()
	is.Equal(fields["peer"], address)
	is.True(strings.Contains(fmt.Sprint(fields["error"]), `invalid status: "HTTP/1.1 000 OK"`))
}
