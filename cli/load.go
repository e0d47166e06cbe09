package cli

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "show the load of the instances of services and the busiest shards", ArgsUsage: "[SERVICE]", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
		Action: func(_ context.Context, command *cli.Command) error {
			path := adminapi.PathLoad
			if name := command.Args().First(); name != "" {
				path += "/" + url.PathEscape(name)
			}
			var list []adminapi.ServiceLoad
			if err := get(command, path, nil, &list); err != nil {
				return err
			}
			return show(command, list, instanceLoadTable(list), shardLoadTable(list))
		},
	}
}

// unknownValue stands for what is not known.
const unknownValue = "-"

func instanceLoadTable(list []adminapi.ServiceLoad) *table {
	rows := &table{header: []string{"SERVICE", "NODE", "ZONE", "PACE", "SLOTS", "RUNNING", "WAITING", "REFUSED", "RUN", "AGE"}}
	for _, service := range list {
		for _, instance := range service.Instances {
			cells := []any{service.Service, instance.Node, instance.Zone, unknownValue, instance.Slots}
			if report := instance.Report; report != nil {
				if report.Pace > 0 {
					cells[3] = fmt.Sprintf("%.2f", report.Pace)
				}
				cells = append(cells, report.Running, report.Waiting, fmt.Sprintf("%.1f/s", report.Refused), fmt.Sprintf("%.0fms", report.RunTime*1000), fmt.Sprintf("%.1fs", report.Age))
			} else {
				cells = append(cells, unknownValue, unknownValue, unknownValue, unknownValue, unknownValue)
			}
			rows.add(cells...)
		}
	}
	return rows
}

func shardLoadTable(list []adminapi.ServiceLoad) *table {
	rows := &table{header: []string{"SERVICE", "SHARD", "KEYS", "WORK", "OWNER", "PHASE"}}
	for _, service := range list {
		for _, shard := range service.Busiest {
			keys, phase := "by hash", shard.Phase
			if shard.First != nil && shard.Last != nil {
				keys = fmt.Sprintf("%d-%d", *shard.First, *shard.Last)
			}
			if shard.Target != "" {
				phase += " to " + shard.Target
			}
			rows.add(service.Service, shard.Shard, keys, fmt.Sprintf("%.0fms/s", shard.Work), shard.Owner, phase)
		}
	}
	return rows
}
