package sidecar

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/logging"
	"limehold/metrics"
	"limehold/settings"
)

// Guards against a sidecar that stays ready and accepts requests after one of its parts
// has failed.
func TestPartThatEndsStopsTheOthers(t *testing.T) {
	for name, c := range map[string]struct {
		listener func(*Process) io.Closer
		part     string
	}{
		"operators' listener": {func(p *Process) io.Closer { return p.admin }, "admin"},
		"readiness":           {func(p *Process) io.Closer { return p.readiness }, "readiness"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			logger, err := logging.NewTo(&log, "info", "sidecar", "s-1")
			is.NoErr(err)
			process, err := New(Options{Settings: testSettings(), Logger: logger, Metrics: metrics.New()})
			is.NoErr(err)
			ended := make(chan error, 1)
			go func() { ended <- process.Run(t.Context()) }()
			is.NoErr(c.listener(process).Close())
			select {
			case <-ended:
			case <-time.After(30 * time.Second):
				t.Fatal("the other parts go on")
			}
			is.True(process.ready() != nil)
			is.True(strings.Contains(log.String(), "event=part_ended name=s-1 role=sidecar step=run peer="+c.part))
		})
	}
}

// A planned stop must not be logged as the end of a part.
func TestStopThatWasAskedForNamesNoPart(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger, err := logging.NewTo(&log, "info", "sidecar", "s-1")
	is.NoErr(err)
	process, err := New(Options{Settings: testSettings(), Logger: logger, Metrics: metrics.New()})
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	is.NoErr(process.Run(ctx))
	is.Equal(strings.Contains(log.String(), "part_ended"), false)
}

// testSettings returns the settings of a sidecar that cannot reach a control member.
func testSettings() settings.Settings {
	config := settings.Default()
	config.Name, config.Zone = "s-1", "a"
	config.Router.Listen, config.Admin.Listen = "127.0.0.1:0", "127.0.0.1:0"
	config.Ingress.Listen, config.Ingress.Readiness, config.Ingress.Instance = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
	config.Router.Control, config.Agent.Control = []string{"127.0.0.1:1"}, []string{"127.0.0.1:1"}
	config.Agent.Pool = "orders"
	config.Router.CloseNotice, config.Router.DrainTimeout = 0, time.Second
	config.Ingress.StopNotice, config.Ingress.StopTime = 0, time.Second
	return config
}
