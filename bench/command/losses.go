package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"limehold/bench/losses"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "say from the logs of a run where requests were lost, and why",
		ArgsUsage:   "FILE...",
		Description: "Example:\n   limebench losses --window 2s --most 12 node-1.log node-2.log",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Value: 2 * time.Second, Usage: "length of the windows that lost requests are counted by"},
			&cli.IntFlag{Name: "most", Value: 12, Usage: "rows of each table"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			files := command.Args().Slice()
			if len(files) == 0 {
				return fmt.Errorf("no FILE is given: name the log files of a run")
			}
			if window := command.Duration("window"); window <= 0 {
				return fmt.Errorf("--window is %v: use more than 0s", window)
			}
			var readers []io.Reader
			for _, path := range files {
				file, err := os.Open(path)
				if err != nil {
					return fmt.Errorf("open log: %w", err)
				}
				defer file.Close()
				readers = append(readers, file)
			}
			summary, err := losses.Read(io.MultiReader(readers...), command.Duration("window"))
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(command.Root().Writer, 0, 0, 2, ' ', 0)
			summary.Write(table, command.Int("most"))
			return table.Flush()
		},
	}
}
