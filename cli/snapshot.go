package cli

import (
	"github.com/urfave/cli/v3"

	"limehold/consensus"
	"limehold/fleet"
)

// snapshotSummary is what 'snapshot inspect' tells.
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
