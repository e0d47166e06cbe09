package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"limehold/bench/experiment"
	"limehold/bench/load"
	"limehold/bench/report"
	"limehold/bench/shape"
)

const (
	defaultSeed     = 1
	defaultDuration = 20 * time.Second
	defaultSkew     = 0.9
	exitFailed      = 1
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "run a deployment under load and faults, and judge it",
		Description: "Example:\n   limebench run --shape arbok --seed 1 --duration 60s --faults standard --report out.json\n   limebench check out.json",
		Flags: []cli.Flag{
			shapeFlag,
			&cli.Uint64Flag{Name: "seed", Value: defaultSeed, Usage: "`NUMBER` that fixes requests, faults and their targets"},
			&cli.DurationFlag{Name: "duration", Value: defaultDuration, Usage: "length of the load"},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second; 0: the shape's own"},
			&cli.StringFlag{Name: "faults", Value: report.FaultsNone, Usage: "none, standard, or a YAML `FILE`"},
			&cli.StringFlag{Name: "baseline", Usage: "plainer policy to run in place of limehold's own"},
			&cli.IntFlag{Name: "members", Value: 3, Usage: "control members"},
			&cli.FloatFlag{Name: "skew", Value: defaultSkew, Usage: "exponent of the keys' popularity"},
			&cli.StringFlag{Name: "workload", Value: "steady", Usage: "steady, holiday, press-slot, diurnal or shifts"},
			&cli.DurationFlag{Name: "hot-shift", Usage: "time at which other keys become popular; 0: never"},
			&cli.StringFlag{Name: "report", Usage: "`FILE` for the report (JSON)"},
			&cli.StringFlag{Name: "folder", Usage: "keep data, logs and records in this `FOLDER`"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			options, err := runOptions(command)
			if err != nil {
				return cli.Exit(err.Error(), exitUsage)
			}
			return runOnce(ctx, options, command.String("report"))
		},
	}
}

const exitUsage = 2

func runOptions(command *cli.Command) (experiment.Options, error) {
	options := experiment.Options{
		Seed: command.Uint64("seed"), Duration: command.Duration("duration"), Rate: command.Float("rate"),
		FaultsSet: command.String("faults"), ControlMembers: command.Int("members"),
		Skew: command.Float("skew"), HotShift: command.Duration("hot-shift"), Folder: command.String("folder"),
	}
	var err error
	if options.Shape, err = shape.ByName(command.String("shape")); err != nil {
		return options, err
	}
	if options.Duration < time.Second {
		return options, eris.Errorf("--duration is %s: use at least 1s", options.Duration)
	}
	if options.Rate == 0 {
		options.Rate = options.Shape.Rate
	}
	if options.Workload, err = load.WorkloadByName(command.String("workload")); err != nil {
		return options, err
	}
	if options.Baseline, err = experiment.ParseBaseline(command.String("baseline")); err != nil {
		return options, err
	}
	if options.Faults, err = experiment.LoadFaults(options.FaultsSet, options.Seed, options.Duration); err != nil {
		return options, err
	}
	options.Limebench, options.Limehold, err = binaryPaths()
	return options, err
}

// runOnce runs an experiment, writes its report, and returns an error if a check fails. It deletes the run's
// folder if all checks succeed, unless the user named the folder.
func runOnce(ctx context.Context, options experiment.Options, file string) error {
	keep := options.Folder != ""
	if !keep {
		folder, err := os.MkdirTemp("", "limehold-run-")
		if err != nil {
			return eris.Wrap(err, "create run folder")
		}
		options.Folder = folder
	}
	result, err := experiment.Run(ctx, options)
	if err != nil {
		return err
	}
	if file != "" {
		if err := report.Write(file, result); err != nil {
			return err
		}
	}
	fmt.Println(experiment.Describe(result))
	failures := result.Check()
	if len(failures) == 0 {
		if !keep {
			return os.RemoveAll(options.Folder)
		}
		return nil
	}
	return cli.Exit(strings.Join(append(failures, result.Evidence...), "\n")+"\nrecords and logs: "+options.Folder, exitFailed)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "exit 1 with one line for each broken promise of a report", ArgsUsage: "FILE",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return cli.Exit("name one report: limebench check out.json", exitUsage)
			}
			result, err := report.Read(command.Args().First())
			if err != nil {
				return err
			}
			if failures := result.Check(); len(failures) > 0 {
				return cli.Exit(strings.Join(failures, "\n"), exitFailed)
			}
			fmt.Println("ok: no promise broken in", result.Requests, "requests,", result.Executions, "executions,", len(result.Faults), "faults")
			return nil
		},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "set two reports side by side, with ratios", ArgsUsage: "BEFORE AFTER",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return cli.Exit("name two reports: limebench compare before.json after.json", exitUsage)
			}
			before, err := report.Read(command.Args().Get(0))
			if err != nil {
				return err
			}
			after, err := report.Read(command.Args().Get(1))
			if err != nil {
				return err
			}
			fmt.Print(report.Compare(before, after))
			return nil
		},
	}
}
