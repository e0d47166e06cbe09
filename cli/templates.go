package cli

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
)

// withName returns an action that passes the command's first argument to action. kind is what
// the argument names; it is used in the error that is returned if the argument is missing.
func withName(kind string, action func(command *cli.Command, name string) error) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		name, err := argument(command, 0, kind)
		if err != nil {
			return err
		}
		return action(command, name)
	}
}

func readFlags() []cli.Flag { return withFlags(clientFlags, []cli.Flag{staleFlag}) }

func templateCommand() *cli.Command {
	return &cli.Command{
		Name: "template", Usage: "apply, show and retire templates",
		Commands: []*cli.Command{
			{
				Name: "apply", Usage: "create or replace a template; its services change with it", ArgsUsage: "FILE",
				Flags:       withFlags(clientFlags, changeFlags, []cli.Flag{revisionFlag}),
				Description: "Example:\n   limehold template apply examples/arbok/proofs.yaml",
				Action:      withName("template file", applyTemplate),
			},
			{
				Name: "retire", Usage: "remove a template that no service uses", ArgsUsage: "NAME",
				Flags:       withFlags(clientFlags, changeFlags, []cli.Flag{revisionFlag}),
				Description: "Example:\n   limehold template retire proofs",
				Action: withName("template", func(command *cli.Command, name string) error {
					return sendChange(command, http.MethodDelete, adminapi.PathTemplates+"/"+name, nil)
				}),
			},
			{
				Name: "list", Usage: "list templates", Flags: readFlags(),
				Description: "Example:\n   limehold template list --output json", Action: listTemplates,
			},
			{
				Name: "show", Usage: "show a template", ArgsUsage: "NAME", Flags: readFlags(),
				Description: "Example:\n   limehold template show proofs", Action: withName("template", showTemplate),
			},
		},
	}
}

func applyTemplate(command *cli.Command, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return usageError(err)
	}
	return sendChange(command, http.MethodPost, adminapi.PathTemplates, text)
}

func listTemplates(_ context.Context, command *cli.Command) error {
	var list []adminapi.Template
	if err := get(command, adminapi.PathTemplates, nil, &list); err != nil {
		return err
	}
	rows := &table{header: []string{"NAME", "REVISION", "PARAMETERS", "DESCRIPTION"}}
	for _, template := range list {
		rows.add(template.Name, template.Revision, len(template.Parameters), template.Description)
	}
	return show(command, list, rows)
}

func showTemplate(command *cli.Command, name string) error {
	var template adminapi.Template
	if err := get(command, adminapi.PathTemplates+"/"+name, nil, &template); err != nil {
		return err
	}
	rows := &table{header: []string{"PARAMETER", "TYPE", "DEFAULT", "DESCRIPTION"}}
	for _, parameter := range template.Parameters {
		value := "(must be set)"
		if parameter.Default != nil {
			value = *parameter.Default
		}
		rows.add(parameter.Name, parameter.Type, value, parameter.Description)
	}
	spec := &table{header: []string{"SPEC AT REVISION " + strconv.FormatUint(template.Revision, 10)}}
	for _, line := range strings.Split(strings.TrimRight(template.Spec, "\n"), "\n") {
		spec.add(line)
	}
	return show(command, template, rows, spec)
}
