package cli

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
)

const defaultCallTimeout = 45 * time.Second

// clientFlags are the flags for reaching a control member and printing its answer.
var clientFlags = []cli.Flag{
	&cli.StringSliceFlag{Name: "admin", Sources: cli.EnvVars("LIMEHOLD_ADMIN"), Usage: "admin `ADDRESS` (IP:port) of a control member; several are tried in turn"},
	&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("LIMEHOLD_TOKEN_FILE"), Usage: "`FILE` with the operator's token"},
	outputFlag,
}

// changeFlags are the flags of changes that carry a command ID.
var changeFlags = []cli.Flag{
	&cli.StringFlag{Name: "command-id", Usage: "`ID` under which the change takes effect only once, even if it is sent again"},
	&cli.DurationFlag{Name: "wait", Value: 15 * time.Second, Usage: "how long to wait until the change is in force at every router; 0 does not wait"},
}

var revisionFlag = &cli.StringFlag{Name: "revision", Usage: "change only what is at `REVISION` (as 'show' printed it); 0: only if it does not exist"}

var basisFlag = &cli.StringFlag{Name: "revision", Usage: "carry the order out only if the newest one is at `REVISION` (as 'list' printed it); default: that when the order arrives"}

var staleFlag = &cli.BoolFlag{Name: "stale", Usage: "read the member's local state, which may be outdated"}

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

// get requests path and decodes the response into answer.
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
	return exitError(client.Do(adminapi.Request{Method: http.MethodGet, Path: path, Query: query}, answer))
}

// sendChange sends a change and prints its result.
func sendChange(command *cli.Command, method, path string, body any) error {
	return sendChangeWithQuery(command, method, path, url.Values{}, body)
}

// sendChangeWithQuery is like sendChange, with further query parameters. It adds its own to query.
func sendChangeWithQuery(command *cli.Command, method, path string, query url.Values, body any) error {
	client, err := newClient(command)
	if err != nil {
		return err
	}
	request := adminapi.Request{Method: method, Path: path, Query: query, Body: body, CommandID: command.String("command-id")}
	if request.CommandID == "" {
		request.CommandID = newCommandID()
	}
	if command.IsSet("revision") {
		request.Query.Set("revision", command.String("revision"))
	}
	if wait := command.Duration("wait"); wait > 0 {
		request.Query.Set("wait", wait.String())
	}
	var answer adminapi.ChangeResult
	if err := client.Do(request, &answer); err != nil {
		failure := exitError(err)
		if coded, ok := failure.(cli.ExitCoder); ok && coded.ExitCode() == exitUnknown {
			return cli.Exit(failure.Error()+"\nsend it again with --command-id "+request.CommandID, exitUnknown)
		}
		return failure
	}
	rows := &table{header: []string{"REVISION", "IN FORCE", "COMMAND ID"}}
	inForce := "everywhere"
	if !answer.InForce {
		inForce = "accepted; not waited for"
		if len(answer.LaggingRouters) > 0 {
			inForce = "not yet at " + routerNames(answer.LaggingRouters)
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

func newCommandID() string {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// argument returns the argument at position, or a usage error that names what is missing.
func argument(command *cli.Command, position int, description string) (string, error) {
	value := command.Args().Get(position)
	if value == "" {
		return "", usageError(fmt.Errorf("%s: name the %s; see '%s --help'", command.FullName(), description, command.FullName()))
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
