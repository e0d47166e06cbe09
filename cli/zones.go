package cli

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
)

func zoneCommand() *cli.Command {
	zoneCommandFor := func(action, usage string) *cli.Command {
		return &cli.Command{
			Name: action, Usage: usage, ArgsUsage: "NAME", Flags: withFlags(clientFlags, changeFlags, []cli.Flag{basisFlag}),
			Description: "Example:\n   limehold zone " + action + " sala-rocha",
			Action: func(_ context.Context, command *cli.Command) error {
				name, err := argument(command, 0, "zone")
				if err != nil {
					return err
				}
				return sendChange(command, http.MethodPost, adminapi.PathZones+"/"+name+"/"+action, nil)
			},
		}
	}
	return &cli.Command{
		Name: "zone", Usage: "list, drain and undrain zones",
		Commands: []*cli.Command{
			zoneCommandFor("drain", "move all shards off a zone's nodes and send them no new requests"),
			zoneCommandFor("undrain", "return a drained zone to service"),
			explainDrainCommand("zone", adminapi.PathZones),
			{
				Name: "list", Usage: "list zones", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					var list []adminapi.Zone
					if err := get(command, adminapi.PathZones, nil, &list); err != nil {
						return err
					}
					return show(command, list, zoneTable(list))
				},
			},
		},
	}
}

func zoneTable(list []adminapi.Zone) *table {
	rows := &table{header: []string{"ZONE", "STATE", "NODES", "SHARDS", "REVISION", "SINCE"}}
	for _, zone := range list {
		rows.add(zone.Name, zone.State, zone.Nodes, zone.Shards, zone.Revision, zone.Since)
	}
	return rows
}
