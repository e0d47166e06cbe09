package cli

import (
	"context"
	"crypto/tls"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold"
	"limehold/control"
	"limehold/ingress"
	"limehold/metrics"
	"limehold/settings"
	"limehold/sidecar"
)

// Extensions adapt the processes to the interfaces of one deployment platform. All
// fields are optional.
type Extensions struct {
	// ControlHandler returns a handler that gets each request to a control member's admin
	// listener first and reports whether it answered the request.
	ControlHandler func(*control.Member) func(*fasthttp.RequestCtx) bool
	// SidecarHandler returns a handler that gets each request to a sidecar's admin listener
	// first and reports whether it answered the request.
	SidecarHandler func(*ingress.Instance) func(*fasthttp.RequestCtx) bool
	// NewKeyClient returns the client that grants keys to the instance and releases them.
	NewKeyClient func(settings.Settings) limehold.KeyClient
}

// extensions is set by Run.
var extensions Extensions

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name: "sidecar", Usage: "run a router, an ingress and an agent for one instance", Flags: processFlags,
		Description: "Example:\n   limehold sidecar --config sidecar-1.yaml",
		Action: func(ctx context.Context, command *cli.Command) error {
			return runProcess(ctx, command, settings.RoleSidecar, func(config settings.Settings, logger *zap.Logger, tlsConfig *tls.Config) (process, error) {
				options := sidecar.Options{Settings: config, Logger: logger, Metrics: metrics.New(), TLS: tlsConfig, NewAdminHandler: extensions.SidecarHandler}
				if extensions.NewKeyClient != nil {
					options.Keys = extensions.NewKeyClient(config)
				}
				return sidecar.New(options)
			})
		},
	}
}
