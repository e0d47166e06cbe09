// Package command implements the command line of limebench.
package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"limehold/bench/standin"
	"limehold/logging"
	"limehold/version"
)

// Run runs the command that the arguments name and returns the exit code.
func Run(arguments []string) int {
	app := &cli.Command{
		Name: "limebench", Usage: "load and experiment tool for limehold", Version: version.Text(),
		Suggest: true, EnableShellCompletion: true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{upCommand(), runCommand(), checkCommand(), compareCommand(), experimentCommand(), simulateCommand(), exploreCommand(), lossesCommand(), costCommand(), backendCommand()},
	}
	err := app.Run(context.Background(), arguments)
	if err == nil {
		return 0
	}
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		if exit.Error() != "" {
			fmt.Fprintln(os.Stderr, "limebench:", exit.Error())
		}
		return exit.ExitCode()
	}
	fmt.Fprintln(os.Stderr, "limebench:", logging.ErrorText(err))
	return 1
}

// binaryPaths returns the paths of this binary and of limehold in the same folder.
func binaryPaths() (limebench, limehold string, err error) {
	limebench, err = os.Executable()
	if err != nil {
		return "", "", eris.Wrap(err, "find this program")
	}
	limehold = filepath.Join(filepath.Dir(limebench), "limehold")
	if _, err := os.Stat(limehold); err != nil {
		return "", "", eris.Errorf("limehold is expected beside limebench at %s: build both with 'make build'", limehold)
	}
	return limebench, limehold, nil
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name: "backend", Usage: "run one stand-in back end",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "records"},
			&cli.IntFlag{Name: "slots", Value: 18},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond},
			&cli.DurationFlag{Name: "cold-start"},
			&cli.DurationFlag{Name: "start-delay"},
			&cli.DurationFlag{Name: "drain-limit", Value: 20 * time.Second},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			logger, err := logging.New("info", "backend", command.String("name"))
			if err != nil {
				return err
			}
			server, err := standin.New(standin.Options{
				Name: command.String("name"), Listen: command.String("listen"), Slots: command.Int("slots"),
				ServiceTime: command.Duration("service-time"), ColdStart: command.Duration("cold-start"),
				StartDelay: command.Duration("start-delay"), RecordFile: command.String("records"),
			})
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			logger.Info("listening", zap.String("address", server.Address()))
			return server.Run(ctx, command.Duration("drain-limit"))
		},
	}
}
