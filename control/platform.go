package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/fleet"
	"limehold/logging"
	"limehold/membership"
	"limehold/upstream"
)

// PlatformMachine is an entry of the platform's machine list.
type PlatformMachine struct {
	Name string `json:"name"`
	// State is "live", "leaving" or "gone".
	State string `json:"state"`
}

// PlatformList is the platform's machine list.
type PlatformList struct {
	Machines []PlatformMachine `json:"machines"`
}

// MachineLeaving is the only state that control acts on. The list is delayed, so the
// node's lease is more reliable than "live" or "gone".
const MachineLeaving = "leaving"

const platformTimeout = time.Second

// followPlatform polls the machine list and drains the nodes that it lists as leaving.
// A node that is no longer listed as leaving is resumed only if followPlatform had
// drained it.
func (m *Member) followPlatform(ctx context.Context) error {
	url := m.options.Settings.Control.PlatformURL
	if url == "" {
		return nil
	}
	client := newPlatformClient()
	ticker := time.NewTicker(m.options.Settings.Control.PlatformEvery)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !m.replica.status.Load().Ready {
			continue
		}
		list, err := fetchPlatform(client, url)
		if err != nil {
			if !failing {
				m.logger.Warn("platform_list_unavailable", logging.ErrorFields("read the machine list", url, err)...)
			}
			failing = true
			continue
		}
		failing = false
		m.applyPlatform(ctx, list)
	}
}

// newPlatformClient returns a client of net/http, as the list's URL may be one of HTTPS and may redirect.
// It uses no proxy.
func newPlatformClient() *http.Client {
	return &http.Client{Timeout: platformTimeout, Transport: &http.Transport{DisableCompression: true}}
}

func fetchPlatform(client *http.Client, url string) (PlatformList, error) {
	response, err := client.Get(url)
	if err != nil {
		return PlatformList{}, eris.Wrap(err, "get the machine list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return PlatformList{}, eris.Errorf("get the machine list: status %d", response.StatusCode)
	}
	if err := upstream.CheckHeader(response.Header); err != nil {
		return PlatformList{}, eris.Wrap(err, "get the machine list")
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return PlatformList{}, eris.Wrap(err, "read the machine list")
	}
	var list PlatformList
	return list, eris.Wrap(json.Unmarshal(body, &list), "decode the machine list")
}

func (m *Member) applyPlatform(ctx context.Context, list PlatformList) {
	for _, change := range m.platformChanges(list) {
		m.logger.Info("platform_change", zap.String("node", change.node), zap.Bool("leaving", change.command.SetDraining.Draining))
		m.propose(ctx, "drain node "+change.node, change.command)
	}
}

// platformChange is a command that drains a node as the machine list says, or ends such a drain.
type platformChange struct {
	node    string
	command fleet.Command
}

func (m *Member) platformChanges(list PlatformList) []platformChange {
	leaving := map[string]bool{}
	for _, machine := range list.Machines {
		leaving[machine.Name] = machine.State == MachineLeaving
	}
	var changes []platformChange
	m.replica.view(func(state *fleet.State) {
		for _, node := range state.Membership.Sorted() {
			wanted := leaving[node.Name]
			if wanted && !node.Draining || !wanted && node.Draining && node.DrainCause == membership.DrainCausePlatform && !state.IsDrainOrdered(node.Name) {
				command := fleet.Command{SetDraining: &fleet.SetDraining{Session: node.Session, Draining: !node.Draining, Cause: membership.DrainCausePlatform}}
				changes = append(changes, platformChange{node.Name, state.WithoutNewerOrder(command, fleet.NodeResource(node.Name))})
			}
		}
	})
	return changes
}
