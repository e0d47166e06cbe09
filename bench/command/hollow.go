package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"limehold/bench/hollow"
	"limehold/bench/report"
	"limehold/version"
)

func hollowCommand() *cli.Command {
	return &cli.Command{
		Name: "hollow", Usage: "run real control members against hollow nodes, and measure slopes",
		Description: "Example:\n   limebench hollow --nodes 2000 --shards 130000 --steps 3 --duration 20s --report out.json",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "nodes", Value: 1000},
			&cli.IntFlag{Name: "shards", Value: 68000},
			&cli.IntFlag{Name: "routers", Value: 50},
			&cli.IntFlag{Name: "steps", Value: 1, Usage: "measure `NUMBER` sizes up to the given one, evenly spaced"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the steady state at each size"},
			&cli.StringFlag{Name: "report", Usage: "`FILE` for the report (JSON)"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			steps := command.Int("steps")
			if steps < 1 || command.Int("nodes") < 10*steps || command.Int("shards") < command.Int("nodes") {
				return cli.Exit("use at least 1 step, 10 nodes a step, and as many shards as nodes", exitUsage)
			}
			return measureHollow(ctx, command, steps)
		},
	}
}

func measureHollow(ctx context.Context, command *cli.Command, steps int) error {
	limebench, limehold, err := programs()
	if err != nil {
		return err
	}
	result := &hollow.Report{Version: version.Text()}
	for step := 1; step <= steps; step++ {
		folder, err := os.MkdirTemp("", "limehold-hollow-")
		if err != nil {
			return eris.Wrap(err, "create run folder")
		}
		size, err := hollow.Run(ctx, hollow.Options{
			Nodes: command.Int("nodes") * step / steps, Shards: command.Int("shards") * step / steps,
			Routers: command.Int("routers"), Duration: command.Duration("duration"),
			Folder: folder, Limehold: limehold, Limebench: limebench,
		})
		if err != nil {
			return eris.Wrapf(err, "logs are in %s", filepath.Join(folder, "logs"))
		}
		if err := os.RemoveAll(folder); err != nil {
			return eris.Wrap(err, "remove run folder")
		}
		result.Sizes = append(result.Sizes, size)
		line, err := json.Marshal(size)
		if err != nil {
			return eris.Wrap(err, "encode size")
		}
		fmt.Println(string(line))
	}
	result.Slopes = hollow.Slopes(result.Sizes)
	for _, slope := range result.Slopes {
		fmt.Printf("%-36s %.6g per unit of %s, and %.6g\n", slope.Of, slope.PerUnit, slope.Against, slope.Intercept)
	}
	if file := command.String("report"); file != "" {
		return report.Write(file, result)
	}
	return nil
}
