package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"limehold/bench/report"
	"limehold/bench/simulate"
)

const (
	defaultSeeds = 1000
	maxFailures  = 3
)

func simulateCommand() *cli.Command {
	return &cli.Command{
		Name: "simulate", Usage: "run the pure cores in virtual time under drawn faults, and check every step",
		Description: "Example:\n   limebench simulate --seeds 10000\n   limebench simulate --first-seed 4711 --seeds 1     # one seed again, with a trace if it fails",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "`NUMBER` of schedules"},
			&cli.Uint64Flag{Name: "first-seed", Value: 1, Usage: "`NUMBER` of the first"},
			&cli.StringFlag{Name: "report", Usage: "`FILE` for the report (JSON)"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Int("seeds") < 1 {
				return cli.Exit(fmt.Sprintf("--seeds is %d: use at least 1", command.Int("seeds")), exitUsage)
			}
			summary := simulate.RunMany(command.Uint64("first-seed"), command.Int("seeds"), maxFailures)
			for i, failure := range summary.Failures {
				summary.Failures[i] = simulate.Minimize(failure)
			}
			if file := command.String("report"); file != "" {
				if err := report.Write(file, summary); err != nil {
					return err
				}
			}
			fmt.Printf("%d schedules from seed %d: %d steps, %.0f virtual seconds in %.1f s, %d failures\n",
				summary.Schedules, summary.FirstSeed, summary.Steps, summary.VirtualSeconds, summary.WallSeconds, len(summary.Failures))
			if len(summary.Failures) == 0 {
				return nil
			}
			return cli.Exit(describeFailures(summary.Failures), exitFailed)
		},
	}
}

func describeFailures(failures []*simulate.Failure) string {
	var text strings.Builder
	for _, failure := range failures {
		fmt.Fprintf(&text, "%v\nfaults that bring it about:\n  %s\nlast events:\n  %s\n",
			failure, strings.Join(failure.Faults, "\n  "), strings.Join(failure.Trace, "\n  "))
	}
	return text.String()
}
