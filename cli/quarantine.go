package cli

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
)

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list requests during which instances crashed, and release them",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list quarantined and suspected requests with the crashes of instances", ArgsUsage: "[DIGEST]",
				Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					var list []adminapi.SuspectRequest
					path := adminapi.PathQuarantine
					if digest := command.Args().First(); digest != "" {
						path += "/" + url.PathEscape(digest)
					}
					if err := get(command, path, nil, &list); err != nil {
						return err
					}
					return show(command, list, quarantineTable(list))
				},
			},
			{
				Name: "release", Usage: "release a request from quarantine and delete its recorded crashes", ArgsUsage: "DIGEST",
				Flags: withFlags(clientFlags, changeFlags, []cli.Flag{
					&cli.StringFlag{Name: "reason", Usage: "why it may run again; kept in the journal"},
				}),
				Description: "Example:\n   limehold quarantine release 5d41402abc4b --reason \"mended in v12\"",
				Action: func(_ context.Context, command *cli.Command) error {
					digest, err := argument(command, 0, "digest")
					if err != nil {
						return err
					}
					if command.String("reason") == "" {
						return usageError(errors.New("--reason is empty: say why the request may run again"))
					}
					path := adminapi.PathQuarantine + "/" + url.PathEscape(digest) + "/release"
					return sendChangeWithQuery(command, http.MethodPost, path, url.Values{"reason": {command.String("reason")}}, nil)
				},
			},
		},
	}
}

func quarantineTable(list []adminapi.SuspectRequest) *table {
	rows := &table{header: []string{"DIGEST", "STATE", "ENDS", "SERVICE", "REQUEST", "CALLERS", "SINCE", "TRIALS", "LAST INSTANCE", "AT"}}
	for _, request := range list {
		callers, lastCrash := "all", adminapi.InstanceCrash{}
		if request.OneCaller {
			callers = "one"
		}
		if len(request.Crashes) > 0 {
			lastCrash = request.Crashes[len(request.Crashes)-1]
		}
		rows.add(request.Digest, request.State, len(request.Crashes), request.Service, request.Sample, callers, request.Since, request.Trials, lastCrash.Instance, lastCrash.Node)
	}
	return rows
}
