package cli

import (
	"context"
	"crypto/tls"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"limehold/settings"
)

// signalTimeout is how long a process may take to learn of a signal.
const signalTimeout = 10 * time.Second

// signalledProcess records whether it is asked to stop as soon as it runs.
type signalledProcess struct{ stopped bool }

func (p *signalledProcess) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		p.stopped = true
	case <-time.After(signalTimeout):
	}
	return nil
}

// Guards against processes that a signal ends at once, and not by a drain, while they start: their listeners are open
// by then, and hold connections of callers.
func TestSignalsWhileAProcessIsBuilt(t *testing.T) {
	for name, sent := range map[string][]syscall.Signal{
		"SIGTERM":              {syscall.SIGTERM},
		"SIGINT":               {syscall.SIGINT},
		"SIGHUP, then SIGTERM": {syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// Keeps the signals from ending the test, and tells when they have arrived.
			arrived := make(chan os.Signal, len(sent))
			signal.Notify(arrived, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			t.Cleanup(func() { signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) })
			built := &signalledProcess{}
			build := func(settings.Settings, *zap.Logger, *tls.Config) (process, error) {
				for _, number := range sent {
					if number == syscall.SIGHUP {
						is.True(signal.Ignored(syscall.SIGHUP)) // or it would end the process
						continue
					}
					is.NoErr(syscall.Kill(os.Getpid(), number))
					select {
					case <-arrived:
					case <-time.After(signalTimeout):
						t.Error("the signal did not arrive")
					}
				}
				return built, nil
			}
			file := filepath.Join(t.TempDir(), "settings.yaml")
			is.NoErr(os.WriteFile(file, []byte("name: control-1\nzone: a\ndata_folder: "+t.TempDir()+"\n"), 0o600))
			command := &cli.Command{Name: "control", Flags: processFlags, Action: func(ctx context.Context, command *cli.Command) error {
				return runProcess(ctx, command, settings.RoleControl, build)
			}}
			is.NoErr(command.Run(t.Context(), []string{"control", "--config", file}))
			is.True(built.stopped)
		})
	}
}
