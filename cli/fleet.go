package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
	"limehold/settings"
)

func nodeCommand() *cli.Command {
	nodeCommandFor := func(action, usage string) *cli.Command {
		return &cli.Command{
			Name: action, Usage: usage, ArgsUsage: "NAME", Flags: withFlags(clientFlags, changeFlags, []cli.Flag{basisFlag}),
			Action: func(_ context.Context, command *cli.Command) error {
				name, err := argument(command, 0, "node")
				if err != nil {
					return err
				}
				return sendChange(command, http.MethodPost, adminapi.PathNodes+"/"+name+"/"+action, nil)
			},
		}
	}
	return &cli.Command{
		Name: "node", Usage: "list, drain and resume nodes, end lost ones",
		Commands: []*cli.Command{
			nodeCommandFor("drain", "move all shards off a node and send it no new requests"),
			nodeCommandFor("resume", "return a drained node to service"),
			explainDrainCommand("node", adminapi.PathNodes),
			nodeCommandFor("ended", "state that the machine of a lost node is off: its keys are free at once"),
			{
				Name: "list", Usage: "list nodes", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					var list []adminapi.Node
					if err := get(command, adminapi.PathNodes, nil, &list); err != nil {
						return err
					}
					return show(command, list, nodeTable(list))
				},
			},
		},
	}
}

func nodeTable(list []adminapi.Node) *table {
	rows := &table{header: []string{"NODE", "ZONE", "POOL", "STATE", "SHARDS", "SLOTS", "ADDRESS", "LAST RENEWAL", "REVISION"}}
	for _, node := range list {
		rows.add(node.Name, node.Zone, node.Pool, node.State, node.Shards, node.Slots, node.Address, lastRenewal(node), node.Revision)
	}
	return rows
}

func lastRenewal(node adminapi.Node) string {
	if !node.Leased {
		return "lease expired"
	}
	return fmt.Sprintf("%d ms ago", node.SilenceMillis)
}

func memberCommand() *cli.Command {
	memberCommandFor := func(action, usage, example string, needsAddress bool) *cli.Command {
		return &cli.Command{
			Name: action, Usage: usage, ArgsUsage: "NAME",
			Flags:       withFlags(clientFlags, []cli.Flag{&cli.StringFlag{Name: "address", Required: needsAddress, Usage: "`IP:PORT` of the member's control listener"}}),
			Description: "Example:\n   " + example,
			Action: func(_ context.Context, command *cli.Command) error {
				name, err := argument(command, 0, "member")
				if err != nil {
					return err
				}
				client, err := newClient(command)
				if err != nil {
					return err
				}
				var list []adminapi.Member
				err = client.Do(adminapi.Request{
					Method: http.MethodPost, Path: adminapi.PathMembers + "/" + action,
					Body: adminapi.MemberChangeRequest{Name: name, Address: command.String("address")},
				}, &list)
				if err != nil {
					return exitError(err)
				}
				return show(command, list, memberTable(list))
			},
		}
	}
	return &cli.Command{
		Name: "member", Usage: "list, add, replace and remove control members",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list control members", Flags: clientFlags,
				Action: func(_ context.Context, command *cli.Command) error {
					var list []adminapi.Member
					if err := get(command, adminapi.PathMembers, nil, &list); err != nil {
						return err
					}
					return show(command, list, memberTable(list))
				},
			},
			memberCommandFor("add", "admit a further member; returns once it holds the whole log", "limehold member add control-4 --address 10.0.0.4:7000", true),
			memberCommandFor("replace", "admit the member that has lost its disk, under a new identity", "limehold member replace control-2", false),
			memberCommandFor("remove", "take a member out, unless that would lose the quorum", "limehold member remove control-4", false),
		},
	}
}

func memberTable(list []adminapi.Member) *table {
	rows := &table{header: []string{"MEMBER", "IDENTITY", "ROLE", "ADDRESS", "ALIVE", "DISK", "HOLDS LOG TO"}}
	for _, member := range list {
		disk := "ok"
		if member.DiskFull {
			disk = "full"
		}
		rows.add(member.Name, member.ID, member.Role, member.Address, member.Alive, disk, member.MatchIndex)
	}
	return rows
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "overview of members, nodes, routers and shards", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
		Action: func(_ context.Context, command *cli.Command) error {
			var status adminapi.Status
			if err := get(command, adminapi.PathStatus, nil, &status); err != nil {
				return err
			}
			overview := &table{header: []string{"CLUSTER", "LEADER", "TERM", "REVISION", "SERVICES", "SHARDS", "MORE LOSSES TOLERATED"}}
			overview.add(status.Cluster, status.Leader, status.Term, status.Revision, status.Services, formatPhases(status.Shards), status.ToleratedLosses)
			routers := &table{header: []string{"ROUTER", "ZONE", "REVISION IN FORCE", "CONFIRMED", "BY MEMBER"}}
			for _, router := range status.Routers {
				routers.add(router.Name, router.Zone, router.Revision, fmt.Sprintf("%d ms ago", router.AgeMillis), router.Member)
			}
			return show(command, status, overview, memberTable(status.Members), nodeTable(status.Nodes), routers)
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show which node owns a key, why, and the events that moved it", ArgsUsage: "SERVICE KEY",
		Flags:       withFlags(clientFlags, []cli.Flag{staleFlag}),
		Description: "Example:\n   limehold explain kopavogur-proofs class-7b",
		Action: func(_ context.Context, command *cli.Command) error {
			service, err := argument(command, 0, "service")
			if err != nil {
				return err
			}
			key, err := argument(command, 1, "key")
			if err != nil {
				return err
			}
			var answer adminapi.Explanation
			if err := get(command, adminapi.PathExplain, url.Values{"service": {service}, "key": {key}}, &answer); err != nil {
				return err
			}
			summary := &table{header: []string{"SHARD", "PHASE", "OWNER", "ZONE", "EPOCH", "REASON"}}
			summary.add(answer.Shard, answer.Phase, answer.Owner, answer.Zone, answer.Epoch, answer.Reason)
			return show(command, answer, summary, eventTable(answer.Events))
		},
	}
}

// explainDrainCommand returns the command that explains the state of a zone or a node.
func explainDrainCommand(kind, path string) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show who drained a " + kind + " or returned it to service, and when", ArgsUsage: "NAME", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
		Action: func(_ context.Context, command *cli.Command) error {
			name, err := argument(command, 0, kind)
			if err != nil {
				return err
			}
			var answer adminapi.DrainExplanation
			if err := get(command, path+"/"+name, nil, &answer); err != nil {
				return err
			}
			summary := &table{header: []string{"RESOURCE", "STATE", "REVISION", "REASON"}}
			summary.add(answer.Resource, answer.State, answer.Revision, answer.Reason)
			return show(command, answer, summary, eventTable(answer.Events))
		},
	}
}

func eventTable(events []adminapi.Event) *table {
	rows := &table{header: []string{"REVISION", "AT", "EVENT", "SERVICE", "SHARDS", "FROM", "TO", "CAUSE"}}
	for _, event := range events {
		rows.add(event.Revision, event.At, event.Kind, event.Service, shardList(event.Shards), event.From, event.To, event.Cause)
	}
	return rows
}

func shardList(shards []uint32) string {
	const maxShown = 6
	if len(shards) > maxShown {
		return fmt.Sprintf("%v and %d more", shards[:maxShown], len(shards)-maxShown)
	}
	if len(shards) == 0 {
		return ""
	}
	return fmt.Sprint(shards)
}

func journalCommand() *cli.Command {
	return &cli.Command{
		Name: "journal", Usage: "list the decisions that moved ownership or changed the fleet",
		Flags: withFlags(clientFlags, []cli.Flag{
			staleFlag,
			&cli.Uint64Flag{Name: "since", Usage: "only events after `REVISION`"},
			&cli.IntFlag{Name: "limit", Value: 200, Usage: "at most `N` events, the newest"},
		}),
		Action: func(_ context.Context, command *cli.Command) error {
			query := url.Values{
				"since": {strconv.FormatUint(command.Uint64("since"), 10)},
				"limit": {strconv.Itoa(command.Int("limit"))},
			}
			var events []adminapi.Event
			if err := get(command, adminapi.PathJournal, query, &events); err != nil {
				return err
			}
			return show(command, events, eventTable(events))
		},
	}
}

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name: "check-config", Usage: "check a settings file for a role, or list all settings", ArgsUsage: "[FILE]",
		Flags: withFlags(processFlags, []cli.Flag{
			&cli.StringFlag{Name: "role", Value: string(settings.RoleControl), Usage: "control, router, agent, sidecar or standalone"},
			&cli.BoolFlag{Name: "list", Usage: "list all settings with their environment variables"},
		}),
		Description: "Example:\n   limehold check-config --role router router-1.yaml",
		Action: func(_ context.Context, command *cli.Command) error {
			out := command.Root().Writer
			if command.Bool("list") {
				for _, path := range settings.Paths() {
					fmt.Fprintf(out, "%-32s %s\n", path, settings.EnvironmentName(path))
				}
				return nil
			}
			if file := command.Args().First(); file != "" {
				if err := command.Set("config", file); err != nil {
					return usageError(err)
				}
			}
			if _, err := loadSettings(command, settings.Role(command.String("role"))); err != nil {
				return err
			}
			fmt.Fprintln(out, "settings are complete for role", command.String("role"))
			return nil
		},
	}
}
