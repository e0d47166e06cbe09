// Package cli is limehold's command line.
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
	// exitUsage: the command line, the settings or an input file is wrong.
	exitUsage = 2
	// exitRefused: the fleet refused the change; the message says why.
	exitRefused = 3
	// exitConflict: somebody else changed the same thing first.
	exitConflict = 4
	// exitUnknown: no answer; whether the change took effect is unknown.
	exitUnknown = 5
)

const exitCodeHelp = `Exit codes: 0 done; 1 failure; 2 wrong command line, settings or input file;
3 refused by the fleet; 4 conflict with another change; 5 no answer, outcome unknown.`

func usageError(err error) error { return cli.Exit(err.Error(), exitUsage) }

// Run carries out the command line and returns the exit code.
func Run(arguments []string, extended Extensions) int {
	extensions = extended
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
	keepCommas(app)
	return app
}

// keepCommas stops the library from splitting values at commas: a setting's
// value may be a list.
func keepCommas(command *cli.Command) {
	command.DisableSliceFlagSeparator = true
	for _, part := range command.Commands {
		keepCommas(part)
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
			templateCommand(), serviceCommand(), nodeCommand(), zoneCommand(), quarantineCommand(), memberCommand(),
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

// exitFor turns an answer of the admin interface into an exit code.
func exitFor(err error) error {
	if err == nil {
		return nil
	}
	var refused *adminapi.Error
	if !errors.As(err, &refused) {
		return cli.Exit(err.Error(), exitUnknown)
	}
	switch refused.Code {
	case "conflict":
		return cli.Exit(refused.Error(), exitConflict)
	case "timeout", "internal":
		return cli.Exit(refused.Error(), exitUnknown)
	}
	return cli.Exit(refused.Error(), exitRefused)
}
