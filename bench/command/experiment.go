package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"limehold/bench/experiment"
	"limehold/bench/figures"
	"limehold/bench/load"
	"limehold/bench/report"
	"limehold/bench/shape"
)

// policies lists the compared policies in the order of the tables. The first is limehold's own.
var policies = []experiment.Baseline{
	experiment.BaselineNone, experiment.BaselineHash, experiment.BaselineGreedy,
	experiment.BaselineRoundRobin, experiment.BaselineLocalLimits, experiment.BaselineNoRetryBudget,
}

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "compare limehold with its baselines on both shapes, and write table and plots",
		Description: "A stretch of coast fills, a school goes to press, single keys become hot, a node of the keyed pool is lost and comes back,\na node of another pool is slow, all instances of a\nthird pool break off their answers, a node joins cold.\nExample:\n   limebench experiment --seeds 2 --duration 40s --folder docs/experiments",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 2},
			&cli.DurationFlag{Name: "duration", Value: 40 * time.Second},
			&cli.FloatFlag{Name: "rate", Value: 450, Usage: "requests a second"},
			&cli.FloatFlag{Name: "skew", Value: 1.0},
			&cli.IntFlag{Name: "parallel", Value: 2, Usage: "deployments at once"},
			&cli.StringFlag{Name: "folder", Value: "docs/experiments"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Duration("duration") < 20*time.Second || command.Int("seeds") < 1 {
				return cli.Exit("use at least 1 seed and 20s", exitUsage)
			}
			return comparePolicies(ctx, command)
		},
	}
}

func comparePolicies(ctx context.Context, command *cli.Command) error {
	var groups []*figures.Group
	workers, ctx := errgroup.WithContext(ctx)
	workers.SetLimit(command.Int("parallel"))
	for _, name := range []string{"arbok", "acampadas"} {
		for _, policy := range policies {
			group := &figures.Group{Shape: name, Policy: policyName(policy), Reports: make([]*report.Report, command.Int("seeds"))}
			groups = append(groups, group)
			for seed := range group.Reports {
				workers.Go(func() error {
					result, err := runPolicy(ctx, command, name, policy, uint64(seed+1))
					group.Reports[seed] = result
					return err
				})
			}
		}
	}
	if err := workers.Wait(); err != nil {
		return err
	}
	return figures.Write(command.String("folder"), "limebench "+strings.Join(os.Args[1:], " "), groups)
}

// workloadByShape names the workload of each shape.
var workloadByShape = map[string]string{"arbok": "press-slot", "acampadas": "holiday"}

func policyName(policy experiment.Baseline) string {
	if policy == experiment.BaselineNone {
		return "limehold"
	}
	return string(policy)
}

func runPolicy(ctx context.Context, command *cli.Command, name string, policy experiment.Baseline, seed uint64) (*report.Report, error) {
	deployment, err := shape.ByName(name)
	if err != nil {
		return nil, err
	}
	limebench, limehold, err := binaryPaths()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "limehold-experiment-")
	if err != nil {
		return nil, eris.Wrap(err, "create run folder")
	}
	workload, err := load.WorkloadByName(workloadByShape[name])
	if err != nil {
		return nil, err
	}
	duration := command.Duration("duration")
	result, err := experiment.Run(ctx, experiment.Options{
		Shape: deployment, Seed: seed, Duration: duration, Rate: command.Float("rate"), Skew: command.Float("skew"),
		Workload: workload, FaultsSet: "experiment", Faults: experimentFaults(deployment, duration),
		Baseline: policy, Limehold: limehold, Limebench: limebench, Folder: folder,
	})
	if err != nil {
		return nil, err
	}
	fmt.Println(policyName(policy), experiment.Describe(result))
	if failures := result.Check(); len(failures) > 0 {
		fmt.Println(strings.Join(append(failures, result.Evidence...), "\n")+"\nrecords and logs:", folder)
		return result, nil
	}
	return result, os.RemoveAll(folder)
}

// experimentFaults returns the same schedule for every policy, so that runs are comparable.
func experimentFaults(deployment *shape.Shape, duration time.Duration) []experiment.Fault {
	keyed, other := deployment.Pools[0].Name, deployment.Pools[1].Name
	return []experiment.Fault{
		{Kind: experiment.KillNode, Target: keyed + "-2", At: duration / 5, For: duration / 10},
		{Kind: experiment.SlowNode, Target: other + "-1", At: duration * 3 / 8, For: duration / 8},
		{Kind: experiment.FailingPool, Target: deployment.Pools[len(deployment.Pools)-1].Name, At: duration * 11 / 20, For: duration / 10},
		{Kind: experiment.AddNode, At: duration * 7 / 10},
	}
}
