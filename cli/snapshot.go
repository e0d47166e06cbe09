package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
	"limehold/consensus"
	"limehold/control"
	"limehold/fleet"
	"limehold/wal"
)

func snapshotCommand() *cli.Command {
	return &cli.Command{
		Name: "snapshot", Usage: "save, inspect and restore snapshots",
		Commands: []*cli.Command{
			{
				Name: "save", Usage: "write the group's current state to a file", ArgsUsage: "FILE",
				Flags:       withFlags(clientFlags, []cli.Flag{staleFlag}),
				Description: "Example:\n   limehold snapshot save backup.snapshot --admin 10.0.0.1:7100",
				Action:      saveSnapshot,
			},
			{
				Name: "inspect", Usage: "check a snapshot file and summarize its content", ArgsUsage: "FILE", Flags: []cli.Flag{outputFlag},
				Action: inspectSnapshot,
			},
			{
				Name: "restore", Usage: "start a new group of one member, after the loss of a majority", ArgsUsage: "SOURCE FOLDER",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "name", Required: true, Usage: "`NAME` of the member"},
					&cli.StringFlag{Name: "address", Required: true, Usage: "`IP:PORT` of its control listener"},
					outputFlag,
				},
				Description: "SOURCE is a snapshot file or the data folder of a member of the old group.\nWhat the old group acknowledged and SOURCE does not hold is lost.\n" +
					"Example:\n   limehold snapshot restore /var/lib/limehold/control-1 /var/lib/limehold/control-1-new --name control-1 --address 10.0.0.1:7000",
				Action: restoreSnapshot,
			},
		},
	}
}

func saveSnapshot(_ context.Context, command *cli.Command) error {
	file, err := argument(command, 0, "file")
	if err != nil {
		return err
	}
	var data []byte
	if err := get(command, adminapi.PathSnapshot, nil, &data); err != nil {
		return err
	}
	if err := wal.WriteFileDurably(file, data); err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	snapshot, err := wal.ReadSnapshot(file)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	return showSnapshot(command, snapshot)
}

func inspectSnapshot(_ context.Context, command *cli.Command) error {
	file, err := argument(command, 0, "snapshot file")
	if err != nil {
		return err
	}
	snapshot, err := wal.ReadSnapshot(file)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	return showSnapshot(command, snapshot)
}

func restoreSnapshot(_ context.Context, command *cli.Command) error {
	source, err := argument(command, 0, "source")
	if err != nil {
		return err
	}
	folder, err := argument(command, 1, "folder")
	if err != nil {
		return err
	}
	restored, err := control.Restore(source, folder, command.String("name"), command.String("address"))
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	rows := &table{header: []string{"IDENTITY", "LAST REVISION", "TERM", "LOST"}}
	rows.add(restored.Identity, restored.Revision, restored.Term, "what was acknowledged after the last revision")
	return show(command, restored, rows)
}

// snapshotSummary is the output of 'snapshot inspect'.
type snapshotSummary struct {
	Index     uint64   `json:"index"`
	Term      uint64   `json:"term"`
	Members   []string `json:"members"`
	Templates int      `json:"templates"`
	Services  int      `json:"services"`
	Shards    int      `json:"shards"`
	Nodes     int      `json:"nodes"`
	Records   int      `json:"command_records"`
	Events    int      `json:"journal_events"`
}

func showSnapshot(command *cli.Command, snapshot consensus.Snapshot) error {
	state, err := fleet.DecodeState(snapshot.Data)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	summary := snapshotSummary{
		Index: snapshot.Index, Term: snapshot.Term, Templates: len(state.Catalog.Templates),
		Services: len(state.Catalog.Services), Nodes: len(state.Membership.Sessions),
		Records: len(state.Records), Events: len(state.Journal.Events),
	}
	for _, member := range snapshot.Configuration.Members {
		summary.Members = append(summary.Members, member.Name)
	}
	for _, shards := range state.Ownership.Shards {
		summary.Shards += len(shards)
	}
	rows := &table{header: []string{"INDEX", "TERM", "MEMBERS", "TEMPLATES", "SERVICES", "SHARDS", "NODES", "COMMAND RECORDS", "EVENTS"}}
	rows.add(summary.Index, summary.Term, summary.Members, summary.Templates, summary.Services, summary.Shards, summary.Nodes, summary.Records, summary.Events)
	return show(command, summary, rows)
}
