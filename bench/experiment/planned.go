package experiment

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"limehold/adminapi"
	"limehold/bench/fleet"
)

// restartRouters stops and starts the routers one after the other.
func restartRouters(r *run, _ Fault) (string, error) {
	for _, router := range r.fleet.Routers {
		if !router.Stop(stopLimit) {
			return router.Name, eris.New("the router did not stop by itself")
		}
		if err := r.fleet.StartRouter(router); err != nil {
			return router.Name, err
		}
	}
	return "all routers", nil
}

func restartBackend(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	if !node.Backend.Stop(stopLimit) {
		return node.Name, eris.New("the back end did not stop by itself")
	}
	return node.Name, r.fleet.StartBackend(node)
}

func restartAgent(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	if !node.Agent.Stop(stopLimit) {
		return node.Name, eris.New("the agent did not stop by itself")
	}
	return node.Name, node.Agent.Start()
}

// restartControl stops and starts the control members one after the other.
func restartControl(r *run, _ Fault) (string, error) {
	for _, member := range r.fleet.Members {
		if !member.Stop(stopLimit) {
			return member.Name, eris.New("the member did not stop by itself")
		}
		if err := r.fleet.StartMember(member); err != nil {
			return member.Name, err
		}
		if err := r.untilDone(r.allMembersAlive); err != nil {
			return member.Name, err
		}
	}
	return "all members", nil
}

func (r *run) allMembersAlive() error {
	var status adminapi.Status
	if err := r.fleet.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathStatus}, &status); err != nil {
		return err
	}
	for _, member := range status.Members {
		if !member.Alive {
			return eris.Errorf("member %s does not answer the leader", member.Name)
		}
	}
	return nil
}

// drainNode has an operator move everything off a node and take it back.
func drainNode(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	if err := r.nodeAction(node, "drain"); err != nil {
		return node.Name, err
	}
	if err := r.untilDone(func() error { return r.nodeIs(node, "drained") }); err != nil {
		return node.Name, err
	}
	time.Sleep(fault.For)
	return node.Name, r.nodeAction(node, "resume")
}

func (r *run) nodeAction(node *fleet.Node, action string) error {
	return r.fleet.Admin().Do(adminapi.Request{
		Method: http.MethodPost, Path: adminapi.PathNodes + "/" + node.Name + "/" + action,
		CommandID: fmt.Sprintf("%s-%s-%d", action, node.Name, time.Now().UnixNano()),
	}, nil)
}

func (r *run) nodeIs(node *fleet.Node, state string) error {
	var list []adminapi.Node
	if err := r.fleet.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathNodes}, &list); err != nil {
		return err
	}
	for _, view := range list {
		if view.Name == node.Name && view.State == state {
			return nil
		}
	}
	return eris.Errorf("node %s is not %s", node.Name, state)
}

// listSays has the platform's list tell something about a live machine.
func listSays(state string) injector {
	return func(r *run, fault Fault) (string, error) {
		node, free := r.takeNode(fault.Target)
		if node == nil {
			return "", errNoTarget
		}
		defer free()
		r.fleet.Platform.Set(node.Name, state)
		time.Sleep(fault.For)
		r.fleet.Platform.Set(node.Name, "live")
		return node.Name, nil
	}
}

// addNode brings in a new, cold instance of the first pool.
func addNode(r *run, _ Fault) (string, error) {
	pool := r.options.Shape.Pools[0]
	name := pool.Name + "-new"
	if _, err := r.fleet.AddNode(pool, name, r.options.Shape.Zones[0]); err != nil {
		return name, err
	}
	return name, nil
}
