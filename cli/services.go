package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
)

var valuesFlag = &cli.StringSliceFlag{Name: "set", Usage: "fill in a parameter, `PARAMETER=VALUE`; may be repeated"}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "create, change, show and retire services",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "create a service from a template", ArgsUsage: "NAME",
				Flags:       withFlags(clientFlags, changeFlags, []cli.Flag{valuesFlag, &cli.StringFlag{Name: "template", Required: true, Usage: "`NAME` of the template"}}),
				Description: "Example:\n   limehold service create kopavogur-proofs --template proofs --set school=kopavogur",
				Action:      withName("service", createService),
			},
			{
				Name: "update", Usage: "change some of a service's parameters", ArgsUsage: "NAME",
				Flags:       withFlags(clientFlags, changeFlags, []cli.Flag{revisionFlag, valuesFlag}),
				Description: "Example:\n   limehold service update kopavogur-proofs --set timeout=2s --revision 22",
				Action:      withName("service", updateService),
			},
			{
				Name: "retire", Usage: "drain a service and remove it", ArgsUsage: "NAME",
				Flags:       withFlags(clientFlags, changeFlags, []cli.Flag{revisionFlag}),
				Description: "Example:\n   limehold service retire kopavogur-proofs",
				Action: withName("service", func(command *cli.Command, name string) error {
					return sendChange(command, http.MethodDelete, adminapi.PathServices+"/"+name, nil)
				}),
			},
			{
				Name: "list", Usage: "list services", Flags: readFlags(),
				Description: "Example:\n   limehold service list", Action: listServices,
			},
			{
				Name: "show", Usage: "show a service", ArgsUsage: "NAME", Flags: readFlags(),
				Description: "Example:\n   limehold service show kopavogur-proofs", Action: withName("service", showService),
			},
		},
	}
}

func createService(command *cli.Command, name string) error {
	values, err := parseValues(command.StringSlice("set"))
	if err != nil {
		return err
	}
	body := adminapi.CreateServiceRequest{Name: name, Template: command.String("template"), Values: values}
	return sendChange(command, http.MethodPost, adminapi.PathServices, body)
}

func updateService(command *cli.Command, name string) error {
	values, err := parseValues(command.StringSlice("set"))
	if err != nil {
		return err
	}
	return sendChange(command, http.MethodPatch, adminapi.PathServices+"/"+name, adminapi.UpdateServiceRequest{Values: values})
}

func listServices(_ context.Context, command *cli.Command) error {
	var list []adminapi.Service
	if err := get(command, adminapi.PathServices, nil, &list); err != nil {
		return err
	}
	rows := &table{header: []string{"NAME", "TEMPLATE", "STATE", "REVISION", "POOL", "SHARDS"}}
	for _, service := range list {
		rows.add(service.Name, service.Template, service.State, service.Revision, service.Spec.Pool, formatPhases(service.Shards))
	}
	return show(command, list, rows)
}

func showService(command *cli.Command, name string) error {
	var service adminapi.Service
	if err := get(command, adminapi.PathServices+"/"+name, nil, &service); err != nil {
		return err
	}
	rows := &table{header: []string{"NAME", "TEMPLATE", "STATE", "REVISION", "POOL", "SHARDS", "VALUES"}}
	rows.add(service.Name, service.Template, service.State, service.Revision, service.Spec.Pool, formatPhases(service.Shards), service.Values)
	return show(command, service, rows)
}

func formatPhases(shards map[string]int) string {
	if len(shards) == 0 {
		return "not divided"
	}
	var parts []string
	for _, phase := range []string{"granted", "releasing", "free"} {
		if shards[phase] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", shards[phase], phase))
		}
	}
	return strings.Join(parts, ", ")
}
