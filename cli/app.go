// Package cli implements the limehold command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
	"limehold/version"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	// exitUsage reports a wrong command line, settings file or input file.
	exitUsage = 2
	// exitRefused reports that the fleet rejected the request; the message has the reason.
	exitRefused = 3
	// exitConflict reports that another change to the same object was made first.
	exitConflict = 4
	// exitUnknown reports that no member gave a conclusive answer, so that a change may have taken effect.
	exitUnknown = 5
)

const exitCodeHelp = `Exit codes: 0 done; 1 failure; 2 wrong command line, settings or input file;
3 refused by the fleet; 4 conflict with another change; 5 no answer, outcome unknown.`

func usageError(err error) error { return cli.Exit(err.Error(), exitUsage) }

// Run runs the command line and returns the exit code.
func Run(arguments []string, platformExtensions Extensions) int {
	extensions = platformExtensions
	app := newApp()
	err := app.Run(context.Background(), arguments)
	if err == nil {
		return exitOK
	}
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		if text := exit.Error(); text != "" {
			fmt.Fprintln(os.Stderr, "limehold:", text)
		}
		return exit.ExitCode()
	}
	fmt.Fprintln(os.Stderr, "limehold:", err)
	return exitUsage
}

func newApp() *cli.Command {
	app := appCommand()
	disableCommaSplitting(app)
	return app
}

// disableCommaSplitting stops the library from splitting flag values at commas,
// because the value of a setting may be a list. It covers all subcommands.
func disableCommaSplitting(command *cli.Command) {
	command.DisableSliceFlagSeparator = true
	for _, subcommand := range command.Commands {
		disableCommaSplitting(subcommand)
	}
}

func appCommand() *cli.Command {
	return &cli.Command{
		Name: "limehold", Usage: "router for servers that own keys exclusively",
		Version: version.Text(), EnableShellCompletion: true, Suggest: true,
		Description: exitCodeHelp,
		// Run prints errors and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			controlCommand(), routerCommand(), agentCommand(), sidecarCommand(), standaloneCommand(),
			templateCommand(), serviceCommand(), nodeCommand(), zoneCommand(), tenantsCommand(), loadCommand(), quarantineCommand(), memberCommand(),
			statusCommand(), explainCommand(), journalCommand(),
			snapshotCommand(), checkConfigCommand(), versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print version and build",
		Action: func(_ context.Context, command *cli.Command) error {
			fmt.Fprintln(command.Root().Writer, "limehold", version.Text())
			return nil
		},
	}
}

// exitError converts an error of the admin interface to an error with an exit code.
func exitError(err error) error {
	if err == nil {
		return nil
	}
	var apiError *adminapi.Error
	if !errors.As(err, &apiError) {
		return cli.Exit(err.Error(), exitUnknown)
	}
	switch apiError.Code {
	case "conflict":
		return cli.Exit(apiError.Error(), exitConflict)
	case "timeout", "internal":
		return cli.Exit(apiError.Error(), exitUnknown)
	}
	return cli.Exit(apiError.Error(), exitRefused)
}
