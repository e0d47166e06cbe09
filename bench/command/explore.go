package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"limehold/bench/explore"
)

// defaultExploredStates keeps a search to about 20 s and 1 GB of memory.
const defaultExploredStates = 2_000_000

func exploreCommand() *cli.Command {
	boundFlag := func(name string, value uint8, usage string) cli.Flag {
		return &cli.Uint8Flag{Name: name, Value: value, Usage: "`NUMBER` of " + usage + " at most"}
	}
	return &cli.Command{
		Name: "explore", Usage: "go through all orders of events of a small model of one key, and look for two holders",
		Description: "Rules: " + strings.Join(explore.RuleNames(), ", ") +
			"\n\nExample:\n   limebench explore --restarts 1 --beats 3\n   limebench explore --rules without-quiet      # the shortest way to two holders",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "rules", Value: explore.ProductRules, Usage: "`NAME` of a set of rules"},
			boundFlag("lives", 1, "starts of each instance"), boundFlag("beats", 2, "lives that sidecars hear of"),
			boundFlag("restarts", 0, "restarts of sidecars"), boundFlag("sessions", 2, "sessions"),
			boundFlag("assignments", 2, "assignments of the key"), boundFlag("moves", 0, "planned moves"),
			boundFlag("late-calls", 1, "grants under way to a start"), boundFlag("late-lists", 0, "lists that come late"),
			&cli.BoolFlag{Name: "late-ends", Usage: "the end of a session may reach control late"},
			&cli.IntFlag{Name: "states", Value: defaultExploredStates, Usage: "`NUMBER` of states that are visited at most, 0: all"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			rules, known := explore.NamedRules()[command.String("rules")]
			if !known {
				return cli.Exit(fmt.Sprintf("--rules is %q: use one of %s", command.String("rules"), strings.Join(explore.RuleNames(), ", ")), exitUsage)
			}
			bounds := explore.Bounds{
				Heartbeats: command.Uint8("beats"), Restarts: command.Uint8("restarts"), Sessions: command.Uint8("sessions"),
				Assignments: command.Uint8("assignments"), Moves: command.Uint8("moves"), LateCalls: command.Uint8("late-calls"),
				LateLists: command.Uint8("late-lists"), LateCloses: command.Bool("late-ends"), LateAfterLease: true, States: command.Int("states"),
			}.WithIncarnations(command.Uint8("lives"))
			result := explore.Search(explore.Options{Rules: rules, Bounds: bounds})
			fmt.Printf("%d states, %.0f a second, %d events deep, all within the bounds: %v\n", result.States, result.StatesPerSecond, result.Depth, result.Complete)
			if len(result.Trace) == 0 {
				return nil
			}
			return cli.Exit(fmt.Sprintf("broken after %d events\n%s", len(result.Trace), result.Trace), exitFailed)
		},
	}
}
