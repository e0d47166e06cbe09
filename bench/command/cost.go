package command

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"limehold/bench/cost"
	"limehold/bench/report"
	"limehold/bench/shape"
)

func costCommand() *cli.Command {
	return &cli.Command{
		Name: "cost", Usage: "measure what limehold adds to a request, against the same request sent straight",
		Description: "Example:\n   limebench cost --shape arbok --duration 12s --report cost.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "arbok", Usage: "`NAME`: acampadas or arbok"},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "duration", Value: 12 * time.Second, Usage: "length of each part"},
			&cli.StringFlag{Name: "report", Usage: "`FILE` for the report (JSON)"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			deployment, err := shape.ByName(command.String("shape"))
			if err != nil {
				return cli.Exit(err.Error(), exitUsage)
			}
			limebench, limehold, err := binaryPaths()
			if err != nil {
				return err
			}
			result, err := cost.Run(ctx, cost.Options{
				Shape: deployment, Seed: uint64(command.Uint("seed")), Duration: command.Duration("duration"),
				Limehold: limehold, Limebench: limebench,
			})
			if err != nil {
				return err
			}
			text, err := json.MarshalIndent(result, "", "  ")
			if err != nil {
				return eris.Wrap(err, "encode report")
			}
			fmt.Println(string(text))
			if file := command.String("report"); file != "" {
				return report.Write(file, result)
			}
			return nil
		},
	}
}
