package cli

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"limehold/agent"
	"limehold/clock"
	"limehold/control"
	"limehold/logging"
	"limehold/metrics"
	"limehold/router"
	"limehold/settings"
	"limehold/transport"
)

// memoryPercent is the share of runtime.memory_mb to which the memory limit of Go's
// runtime is set.
const memoryPercent = 70

// process is a limehold process that can be run.
type process interface {
	Run(ctx context.Context) error
}

var processFlags = []cli.Flag{
	&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` (YAML)", Sources: cli.EnvVars("LIMEHOLD_SETTINGS")},
	&cli.StringSliceFlag{Name: "set", Usage: "override one setting, `PATH=VALUE`; may be repeated"},
	&cli.StringFlag{Name: "name", Usage: "name of this process (setting name)"},
	&cli.StringFlag{Name: "zone", Usage: "zone of this process (setting zone)"},
	&cli.StringFlag{Name: "data-folder", Usage: "folder for data that must survive restarts (setting data_folder)"},
	&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error (setting log.level)"},
}

// settingFlags maps flags to the paths of the settings that they override.
var settingFlags = map[string]string{"name": "name", "zone": "zone", "data-folder": "data_folder", "log-level": "log.level"}

// loadSettings applies the file, the environment and the flags, in this order, and
// validates the result for the role.
func loadSettings(command *cli.Command, role settings.Role) (settings.Settings, error) {
	var overrides []settings.Override
	for flag, path := range settingFlags {
		if command.IsSet(flag) {
			overrides = append(overrides, settings.Override{Path: path, Value: command.String(flag)})
		}
	}
	for _, text := range command.StringSlice("set") {
		override, err := settings.ParseOverride(text)
		if err != nil {
			return settings.Settings{}, usageError(err)
		}
		overrides = append(overrides, override)
	}
	loaded, err := settings.Load(command.String("config"), os.Environ(), overrides)
	if err != nil {
		return settings.Settings{}, usageError(err)
	}
	loaded.Complete()
	if err := loaded.Validate(role); err != nil {
		return settings.Settings{}, usageError(err)
	}
	return loaded, nil
}

func loadTLS(config settings.Settings) (*tls.Config, error) {
	if config.TLS.Certificate == "" {
		return nil, nil
	}
	return transport.LoadTLS(transport.Files{
		Certificate: config.TLS.Certificate, Key: config.TLS.Key, Authorities: config.TLS.Authorities,
	})
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("token file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", fmt.Errorf("token file %q is empty: write the token into it", file)
	}
	return token, nil
}

// runProcess loads the settings for the role, builds the process and runs it until it ends or the
// program receives SIGTERM or SIGINT. It ignores SIGHUP. A process that is asked to stop while it is built is run, so
// that it drains.
func runProcess(ctx context.Context, command *cli.Command, role settings.Role, build func(settings.Settings, *zap.Logger, *tls.Config) (process, error)) error {
	// Before the listeners are open: a signal that came until here would reset the connections that they hold.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	config, err := loadSettings(command, role)
	if err != nil {
		return err
	}
	logger, err := logging.New(config.Log.Level, string(role), config.Name)
	if err != nil {
		return usageError(err)
	}
	defer func() { _ = logger.Sync() }()
	tlsConfig, err := loadTLS(config)
	if err != nil {
		return logStartFailure(logger, err)
	}
	if config.Runtime.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(config.Runtime.MemoryMB) << 20 * memoryPercent / 100)
	}
	clock.OnSuspension(func(length time.Duration) { logger.Warn("woke_up", zap.Duration("suspended", length)) })
	built, err := build(config, logger, tlsConfig)
	if err != nil {
		return logStartFailure(logger, err)
	}
	err = built.Run(ctx)
	stopRequested := zap.Bool("asked", ctx.Err() != nil)
	if err != nil {
		logger.Error(logging.EventProcessEnded, append(logging.ErrorFields("run", config.Name, err), stopRequested)...)
		return cli.Exit("", exitFailure)
	}
	logger.Info(logging.EventProcessEnded, stopRequested)
	return nil
}

func logStartFailure(logger *zap.Logger, err error) error {
	logger.Error("not_started", logging.ErrorFields("start", "", err)...)
	return cli.Exit("", exitFailure)
}

func controlCommand() *cli.Command {
	return &cli.Command{
		Name: "control", Usage: "run a control member", Flags: processFlags,
		Description: "Example:\n   limehold control --config control-1.yaml",
		Action: func(ctx context.Context, command *cli.Command) error {
			return runProcess(ctx, command, settings.RoleControl, func(config settings.Settings, logger *zap.Logger, tlsConfig *tls.Config) (process, error) {
				token, err := readToken(config.Admin.TokenFile)
				if err != nil {
					return nil, err
				}
				return control.New(control.Options{Settings: config, Logger: logger, Metrics: metrics.New(), TLS: tlsConfig, Token: token, NewAdminHandler: extensions.ControlHandler})
			})
		},
	}
}

func routerCommand() *cli.Command {
	return &cli.Command{
		Name: "router", Usage: "run a router", Flags: processFlags,
		Description: "Example:\n   limehold router --config router-1.yaml",
		Action: func(ctx context.Context, command *cli.Command) error {
			return runProcess(ctx, command, settings.RoleRouter, func(config settings.Settings, logger *zap.Logger, tlsConfig *tls.Config) (process, error) {
				return router.New(router.Options{Settings: config, Logger: logger, Metrics: metrics.New(), TLS: tlsConfig})
			})
		},
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "run an agent for a back end on the same machine", Flags: processFlags,
		Description: "Example:\n   limehold agent --config agent-1.yaml",
		Action: func(ctx context.Context, command *cli.Command) error {
			return runProcess(ctx, command, settings.RoleAgent, func(config settings.Settings, logger *zap.Logger, secured *tls.Config) (process, error) {
				return agent.New(agent.Options{Settings: config, Logger: logger, Metrics: metrics.New(), TLS: secured})
			})
		},
	}
}
