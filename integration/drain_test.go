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

// traffic sends requests from several callers until stopped and records those that fail.
type traffic struct {
	stopping  atomic.Bool
	callers   sync.WaitGroup
	succeeded atomic.Int64
	mutex     sync.Mutex
	failures  []string
}

// startTraffic starts callers that send keyed requests with a body.
func startTraffic(t *testing.T, address func() string) *traffic {
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
		answer := exchange(t, conn, bufio.NewReader(conn), formatRequest("POST", path, newRunID(), "an edit", "Connection: close"))
		conn.Close()
		if answer.outcome() == wire.OutcomeOK {
			tr.succeeded.Add(1)
			continue
		}
		tr.mutex.Lock()
		tr.failures = append(tr.failures, answer.outcome()+" "+answer.reason())
		tr.mutex.Unlock()
	}
}

// stop stops the callers and fails the test if any request failed or none succeeded.
func (tr *traffic) stop(t *testing.T) {
	t.Helper()
	tr.stopping.Store(true)
	tr.callers.Wait()
	if len(tr.failures) > 0 || tr.succeeded.Load() == 0 {
		t.Errorf("%d requests were answered, %d were not: %.300q", tr.succeeded.Load(), len(tr.failures), tr.failures)
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

func postNodeAction(running *fleet.Fleet, name, action string) error {
	return running.Admin().Do(adminapi.Request{Method: http.MethodPost, Path: adminapi.PathNodes + "/" + name + "/" + action, CommandID: action + newRunID()}, nil)
}

// Requests with a body wait for the new owner while shards move; none may be rejected.
func TestDrainedNodeCostsNoRequest(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	callers := startTraffic(t, func() string { return running.Routers[0].Field("address") })
	for round := range 4 {
		name := fmt.Sprintf("proofs-%d", round%2+1)
		is.NoErr(postNodeAction(running, name, "drain"))
		eventually(t, name+" is drained", func() error {
			node, err := nodeState(running, name)
			if err == nil && node.State != "drained" {
				err = errors.New("it is " + node.State)
			}
			return err
		})
		is.NoErr(postNodeAction(running, name, "resume"))
	}
	callers.stop(t)
}

func TestRollingRestartOfBackEndsAndAgentsCostsNoRequest(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	callers := startTraffic(t, func() string { return running.Routers[0].Field("address") })
	for _, node := range running.NodesInPool("proofs") {
		is.True(node.Backend.Stop(waitLimit)) // the back end reports its departure, and its shards move first
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
	callers.stop(t)
}

func TestRestartOfTheRouterCutsNoRequest(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	router := running.Routers[0]
	callers := startTraffic(t, func() string { return router.Field("address") })
	is.True(router.Stop(waitLimit))
	is.NoErr(running.StartRouter(router))
	callers.stop(t)
}

// awaitNodeState waits until a node is in a state.
func awaitNodeState(t *testing.T, running *fleet.Fleet, name, state string) {
	t.Helper()
	eventually(t, name+" is "+state, func() error {
		node, err := nodeState(running, name)
		if err == nil && node.State != state {
			err = errors.New("it is " + node.State + " (" + node.DrainCause + ")")
		}
		return err
	})
}

// Guards against nodes that stay drained because an agent that was stopped has drained the session with which
// its next process goes on.
func TestNodeReturnsToServiceWithItsAgent(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	callers := startTraffic(t, func() string { return running.Routers[0].Field("address") })
	for _, node := range running.NodesInPool("proofs") {
		is.True(node.Agent.Stop(waitLimit)) // its shards move first
		is.NoErr(node.Agent.Start())
		awaitNodeState(t, running, node.Name, "live")
	}
	callers.stop(t)
}

// Guards against an operator's drain that ends with a process of the agent.
func TestOperatorsDrainOutlivesTheAgent(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	node := running.NodesInPool("proofs")[0]
	is.NoErr(postNodeAction(running, node.Name, "drain"))
	awaitNodeState(t, running, node.Name, "drained")
	is.True(node.Agent.Stop(waitLimit))
	is.NoErr(node.Agent.Start())
	eventually(t, "the agent has a lease", func() error {
		response, err := http.Get("http://" + node.Agent.Field("admin") + "/healthz")
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return errors.New(response.Status)
		}
		return nil
	})
	seen, err := nodeState(running, node.Name)
	is.NoErr(err)
	is.Equal([]string{seen.State, seen.DrainCause}, []string{"drained", "operator"})
	is.NoErr(postNodeAction(running, node.Name, "resume"))
	awaitNodeState(t, running, node.Name, "live")
}

// Guards against an operator's drain that ends when the back end is replaced by its next process.
func TestOperatorsDrainOutlivesTheBackEnd(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	node := running.NodesInPool("proofs")[0]
	is.NoErr(postNodeAction(running, node.Name, "drain"))
	awaitNodeState(t, running, node.Name, "drained")
	before, err := nodeState(running, node.Name)
	is.NoErr(err)
	is.True(node.Backend.Stop(waitLimit))
	is.NoErr(running.StartBackend(node))
	eventually(t, "the next process has a session", func() error {
		seen, err := nodeState(running, node.Name)
		if err == nil && seen.Session == before.Session {
			err = errors.New("it still has the former one")
		}
		return err
	})
	awaitNodeState(t, running, node.Name, "drained")
}

// Guards against an operator's drain that ends while the back end is down for longer than its lease.
func TestOperatorsDrainOutlivesAnAbsence(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	node := running.NodesInPool("proofs")[0]
	is.NoErr(postNodeAction(running, node.Name, "drain"))
	awaitNodeState(t, running, node.Name, "drained")
	is.True(node.Backend.Stop(waitLimit))
	eventually(t, "its lease has expired", func() error {
		if seen, err := nodeState(running, node.Name); err == nil && seen.Leased {
			return errors.New("it has one")
		}
		return nil
	})
	is.NoErr(running.StartBackend(node))
	eventually(t, "the next process has a lease", func() error {
		seen, err := nodeState(running, node.Name)
		if err == nil && !seen.Leased {
			err = errors.New("it has none")
		}
		return err
	})
	seen, err := nodeState(running, node.Name)
	is.NoErr(err)
	is.Equal([]string{seen.State, seen.DrainCause}, []string{"drained", "operator"})
}

// Guards against drained nodes that stay listed for ever after their machine has gone for good.
func TestOperatorEndsADrainedNodeThatIsOff(t *testing.T) {
	is := is.New(t)
	running := startFleet(t, fleet.Options{NoDelays: true, ControlMembers: 1})
	node := running.NodesInPool("proofs")[0]
	is.NoErr(postNodeAction(running, node.Name, "drain"))
	awaitNodeState(t, running, node.Name, "drained")
	is.True(postNodeAction(running, node.Name, "ended") != nil) // it has a lease
	is.True(node.Backend.Stop(waitLimit))
	eventually(t, "the drained node can be ended", func() error { return postNodeAction(running, node.Name, "ended") })
	_, err := nodeState(running, node.Name)
	is.True(err != nil) // it is not listed any more
}
