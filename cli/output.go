package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

var outputFlag = &cli.StringFlag{
	Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT` of the answer: table or json",
	Validator: func(format string) error {
		if format != outputTable && format != outputJSON {
			return fmt.Errorf("--output is %q: use table or json", format)
		}
		return nil
	},
}

// table is an answer in tabular form.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		row = append(row, fmt.Sprint(cell))
	}
	t.rows = append(t.rows, row)
}

// show prints value as JSON, or the tables, depending on the output flag.
func show(command *cli.Command, value any, tables ...*table) error {
	out := command.Root().Writer
	if command.String("output") == outputJSON {
		encoded, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, string(encoded))
		return err
	}
	for i, t := range tables {
		if i > 0 {
			fmt.Fprintln(out)
		}
		writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(writer, strings.Join(t.header, "\t"))
		for _, row := range t.rows {
			fmt.Fprintln(writer, strings.Join(row, "\t"))
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
	return nil
}
