package integration

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"limehold/adminapi"
	"limehold/bench/fleet"
	"limehold/wire"
)

// traffic keeps callers busy until stopped, and counts what was not answered.
type traffic struct {
	stopping atomic.Bool
	callers  sync.WaitGroup
	answered atomic.Int64
	mutex    sync.Mutex
	others   []string
}

// begin starts callers that send keyed requests with a body.
func begin(t *testing.T, address func() string) *traffic {
	t.Helper()
	traffic := &traffic{}
	const callers = 4
	for caller := range callers {
		traffic.callers.Add(1)
		go func() {
			defer traffic.callers.Done()
			traffic.call(t, caller, address)
		}()
	}
	return traffic
}

func (tr *traffic) call(t *testing.T, caller int, address func() string) {
	for number := 0; !tr.stopping.Load(); number++ {
		conn, err := net.Dial("tcp", address())
		if err != nil {
			continue // nothing was sent
		}
		path := fmt.Sprintf("/kopavogur/proofs/class-%d-%d/edit", caller, number)
		answer := exchange(t, conn, bufio.NewReader(conn), request("POST", path, nextRun(), "an edit", "Connection: close"))
		conn.Close()
		if answer.outcome() == wire.OutcomeOK {
			tr.answered.Add(1)
			continue
		}
		tr.mutex.Lock()
		tr.others = append(tr.others, answer.outcome()+" "+answer.reason())
		tr.mutex.Unlock()
	}
}

// end stops the callers and fails the test for every request without an answer.
func (tr *traffic) end(t *testing.T) {
	t.Helper()
	tr.stopping.Store(true)
	tr.callers.Wait()
	if len(tr.others) > 0 || tr.answered.Load() == 0 {
		t.Errorf("%d requests were answered, %d were not: %.300q", tr.answered.Load(), len(tr.others), tr.others)
	}
}

func nodeState(running *fleet.Fleet, name string) (adminapi.Node, error) {
	var list []adminapi.Node
	if err := running.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathNodes}, &list); err != nil {
		return adminapi.Node{}, err
	}
	for _, node := range list {
		if node.Name == name && node.State != "superseded" {
			return node, nil
		}
	}
	return adminapi.Node{}, errors.New("there is no node " + name)
}

func nodeAction(running *fleet.Fleet, name, action string) error {
	return running.Admin().Do(adminapi.Request{Method: http.MethodPost, Path: adminapi.PathNodes + "/" + name + "/" + action, CommandID: action + nextRun()}, nil)
}

// While shards move, requests with a body wait for the new owner; none is refused.
func TestDrainedNodeCostsNoRequest(t *testing.T) {
	is := is.New(t)
	running := start(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	flowing := begin(t, func() string { return running.Routers[0].Field("address") })
	for round := range 4 {
		name := fmt.Sprintf("proofs-%d", round%2+1)
		is.NoErr(nodeAction(running, name, "drain"))
		eventually(t, name+" is drained", func() error {
			node, err := nodeState(running, name)
			if err == nil && node.State != "drained" {
				err = errors.New("it is " + node.State)
			}
			return err
		})
		is.NoErr(nodeAction(running, name, "resume"))
	}
	flowing.end(t)
}

func TestRollingRestartOfBackEndsAndAgentsCostsNoRequest(t *testing.T) {
	is := is.New(t)
	running := start(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	flowing := begin(t, func() string { return running.Routers[0].Field("address") })
	for _, node := range running.NodesOf("proofs") {
		is.True(node.Backend.Stop(waitLimit)) // it reports that it leaves, and its shards go first
		is.NoErr(running.StartBackend(node))
		is.True(node.Agent.Stop(waitLimit))
		is.NoErr(node.Agent.Start())
		eventually(t, node.Name+" is back", func() error {
			seen, err := nodeState(running, node.Name)
			if err == nil && seen.State != "live" {
				err = errors.New("it is " + seen.State)
			}
			return err
		})
	}
	flowing.end(t)
}

func TestRestartOfTheRouterCutsNoRequest(t *testing.T) {
	is := is.New(t)
	running := start(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	router := running.Routers[0]
	flowing := begin(t, func() string { return router.Field("address") })
	is.True(router.Stop(waitLimit))
	is.NoErr(running.StartRouter(router))
	flowing.end(t)
}
