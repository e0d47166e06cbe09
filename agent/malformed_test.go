package agent

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/bench/rawserver"
	"limehold/clock"
	"limehold/settings"
	"limehold/wire"
)

// Guards against leases, grants, releases and health that count as answered by a malformed response.
func TestMalformedAnswersOfABackEndCountForNothing(t *testing.T) {
	calls := func(address string) map[string]error {
		called := newBackend(settings.Settings{Agent: settings.Agent{Backend: address}})
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
