package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
)

const defaultCallTimeout = 45 * time.Second

// clientFlags say how to reach control.
var clientFlags = []cli.Flag{
	&cli.StringSliceFlag{Name: "admin", Sources: cli.EnvVars("LIMEHOLD_ADMIN"), Usage: "admin `ADDRESS` (IP:port) of a control member; several are tried in turn"},
	&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("LIMEHOLD_TOKEN_FILE"), Usage: "`FILE` with the operator's token"},
	outputFlag,
}

// changeFlags go with every change.
var changeFlags = []cli.Flag{
	&cli.StringFlag{Name: "command-id", Usage: "`ID` under which the change takes effect once, however often it is sent"},
	&cli.DurationFlag{Name: "wait", Value: 15 * time.Second, Usage: "wait so long until the change is in force at every router; 0 does not wait"},
}

var revisionFlag = &cli.StringFlag{Name: "revision", Usage: "change only what is at `REVISION` (as 'show' printed it); 0: only if it does not exist"}

var staleFlag = &cli.BoolFlag{Name: "stale", Usage: "accept the member's own, possibly older state"}

func withFlags(groups ...[]cli.Flag) []cli.Flag {
	var all []cli.Flag
	for _, group := range groups {
		all = append(all, group...)
	}
	return all
}

func newClient(command *cli.Command) (*adminapi.Client, error) {
	token, err := readToken(command.String("token-file"))
	if err != nil {
		return nil, usageError(err)
	}
	var addresses []string
	for _, list := range command.StringSlice("admin") {
		addresses = append(addresses, strings.Split(list, ",")...)
	}
	if len(addresses) == 0 {
		return nil, usageError(errors.New("no control member is named: use --admin IP:port or set LIMEHOLD_ADMIN"))
	}
	return adminapi.NewClient(addresses, token, defaultCallTimeout), nil
}

// get reads a path into answer.
func get(command *cli.Command, path string, query url.Values, answer any) error {
	client, err := newClient(command)
	if err != nil {
		return err
	}
	if command.Bool("stale") {
		if query == nil {
			query = url.Values{}
		}
		query.Set("stale", "true")
	}
	return exitFor(client.Do(adminapi.Request{Method: http.MethodGet, Path: path, Query: query}, answer))
}

// change sends a change and prints what became of it.
func change(command *cli.Command, method, path string, body any) error {
	client, err := newClient(command)
	if err != nil {
		return err
	}
	request := adminapi.Request{Method: method, Path: path, Query: url.Values{}, Body: body, CommandID: command.String("command-id")}
	if request.CommandID == "" {
		request.CommandID = drawCommandID()
	}
	if command.IsSet("revision") {
		request.Query.Set("revision", command.String("revision"))
	}
	if wait := command.Duration("wait"); wait > 0 {
		request.Query.Set("wait", wait.String())
	}
	var answer adminapi.Changed
	if err := client.Do(request, &answer); err != nil {
		failure := exitFor(err)
		if coded, ok := failure.(cli.ExitCoder); ok && coded.ExitCode() == exitUnknown {
			return cli.Exit(failure.Error()+"\nsend it again with --command-id "+request.CommandID, exitUnknown)
		}
		return failure
	}
	rows := &table{header: []string{"REVISION", "IN FORCE", "COMMAND ID"}}
	inForce := "everywhere"
	if !answer.InForce {
		inForce = "accepted; not waited for"
		if len(answer.Behind) > 0 {
			inForce = "not yet at " + routerNames(answer.Behind)
		}
	}
	rows.add(answer.Revision, inForce, answer.CommandID)
	return show(command, answer, rows)
}

func routerNames(routers []adminapi.Router) string {
	names := make([]string, 0, len(routers))
	for _, router := range routers {
		names = append(names, router.Name)
	}
	return strings.Join(names, ", ")
}

func drawCommandID() string {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// argument returns the n-th argument or says what is missing.
func argument(command *cli.Command, position int, what string) (string, error) {
	value := command.Args().Get(position)
	if value == "" {
		return "", usageError(fmt.Errorf("%s: name the %s; see '%s --help'", command.FullName(), what, command.FullName()))
	}
	return value, nil
}

func parseValues(pairs []string) (map[string]string, error) {
	values := map[string]string{}
	for _, pair := range pairs {
		name, value, found := strings.Cut(pair, "=")
		if !found || name == "" {
			return nil, usageError(fmt.Errorf("--set %q: write it as parameter=value", pair))
		}
		values[name] = value
	}
	return values, nil
}

func templateCommand() *cli.Command {
	return &cli.Command{
		Name: "template", Usage: "apply, show and retire templates",
		Commands: []*cli.Command{
			{
				Name: "apply", Usage: "create or change a template and all its services", ArgsUsage: "FILE",
				Flags:       withFlags(clientFlags, changeFlags, []cli.Flag{revisionFlag}),
				Description: "Example:\n   limehold template apply proofs.yaml --revision 0",
				Action: func(_ context.Context, command *cli.Command) error {
					file, err := argument(command, 0, "template file")
					if err != nil {
						return err
					}
					text, err := os.ReadFile(file)
					if err != nil {
						return usageError(err)
					}
					return change(command, http.MethodPost, adminapi.PathTemplates, text)
				},
			},
			{
				Name: "retire", Usage: "remove a template that no service uses", ArgsUsage: "NAME",
				Flags: withFlags(clientFlags, changeFlags, []cli.Flag{revisionFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					name, err := argument(command, 0, "template")
					if err != nil {
						return err
					}
					return change(command, http.MethodDelete, adminapi.PathTemplates+"/"+name, nil)
				},
			},
			{
				Name: "list", Usage: "list templates", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					var list []adminapi.Template
					if err := get(command, adminapi.PathTemplates, nil, &list); err != nil {
						return err
					}
					rows := &table{header: []string{"NAME", "REVISION", "PARAMETERS", "DESCRIPTION"}}
					for _, template := range list {
						rows.add(template.Name, template.Revision, len(template.Parameters), template.Description)
					}
					return show(command, list, rows)
				},
			},
			{
				Name: "show", Usage: "show a template", ArgsUsage: "NAME", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					name, err := argument(command, 0, "template")
					if err != nil {
						return err
					}
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
				},
			},
		},
	}
}

var valuesFlag = &cli.StringSliceFlag{Name: "set", Usage: "fill in a parameter, `PARAMETER=VALUE`; may be repeated"}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "create, change, show and retire services",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "create a service from a template", ArgsUsage: "NAME",
				Flags:       withFlags(clientFlags, changeFlags, []cli.Flag{valuesFlag, &cli.StringFlag{Name: "template", Required: true, Usage: "`NAME` of the template"}}),
				Description: "Example:\n   limehold service create kopavogur-proofs --template proofs --set school=kopavogur",
				Action: func(_ context.Context, command *cli.Command) error {
					name, err := argument(command, 0, "service")
					if err != nil {
						return err
					}
					values, err := parseValues(command.StringSlice("set"))
					if err != nil {
						return err
					}
					return change(command, http.MethodPost, adminapi.PathServices, adminapi.CreateService{Name: name, Template: command.String("template"), Values: values})
				},
			},
			{
				Name: "update", Usage: "change some of a service's parameters", ArgsUsage: "NAME",
				Flags: withFlags(clientFlags, changeFlags, []cli.Flag{revisionFlag, valuesFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					name, err := argument(command, 0, "service")
					if err != nil {
						return err
					}
					values, err := parseValues(command.StringSlice("set"))
					if err != nil {
						return err
					}
					return change(command, http.MethodPatch, adminapi.PathServices+"/"+name, adminapi.UpdateService{Values: values})
				},
			},
			{
				Name: "retire", Usage: "drain a service and remove it", ArgsUsage: "NAME",
				Flags: withFlags(clientFlags, changeFlags, []cli.Flag{revisionFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					name, err := argument(command, 0, "service")
					if err != nil {
						return err
					}
					return change(command, http.MethodDelete, adminapi.PathServices+"/"+name, nil)
				},
			},
			{
				Name: "list", Usage: "list services", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					var list []adminapi.Service
					if err := get(command, adminapi.PathServices, nil, &list); err != nil {
						return err
					}
					rows := &table{header: []string{"NAME", "TEMPLATE", "STATE", "REVISION", "POOL", "SHARDS"}}
					for _, service := range list {
						rows.add(service.Name, service.Template, service.State, service.Revision, service.Spec.Pool, phases(service.Shards))
					}
					return show(command, list, rows)
				},
			},
			{
				Name: "show", Usage: "show a service", ArgsUsage: "NAME", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
				Action: func(_ context.Context, command *cli.Command) error {
					name, err := argument(command, 0, "service")
					if err != nil {
						return err
					}
					var service adminapi.Service
					if err := get(command, adminapi.PathServices+"/"+name, nil, &service); err != nil {
						return err
					}
					rows := &table{header: []string{"NAME", "TEMPLATE", "STATE", "REVISION", "POOL", "SHARDS", "VALUES"}}
					rows.add(service.Name, service.Template, service.State, service.Revision, service.Spec.Pool, phases(service.Shards), service.Values)
					return show(command, service, rows)
				},
			},
		},
	}
}

func phases(shards map[string]int) string {
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
