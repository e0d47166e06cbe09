package experiment

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"limehold/adminapi"
	"limehold/bench/fleet"
)

// restartRouters restarts the routers one after the other.
func restartRouters(r *run, _ Fault) (string, error) {
	for _, router := range r.fleet.Routers {
		if !router.Stop(stopTimeout) {
			return router.Name, eris.New("the router did not stop by itself")
		}
		if err := r.fleet.StartRouter(router); err != nil {
			return router.Name, err
		}
	}
	return "all routers", nil
}

func restartBackend(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	if !node.Backend.Stop(stopTimeout) {
		return node.Name, eris.New("the back end did not stop by itself")
	}
	return node.Name, r.fleet.StartBackend(node)
}

func restartAgent(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	if !node.Agent.Stop(stopTimeout) {
		return node.Name, eris.New("the agent did not stop by itself")
	}
	return node.Name, node.Agent.Start()
}

// restartControl restarts the control members one after the other. It waits
// after each one until all members are alive.
func restartControl(r *run, _ Fault) (string, error) {
	for _, member := range r.fleet.Members {
		if !member.Stop(stopTimeout) {
			return member.Name, eris.New("the member did not stop by itself")
		}
		if err := r.fleet.StartMember(member); err != nil {
			return member.Name, err
		}
		if err := r.retry(r.allMembersAlive); err != nil {
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

// drainNode drains a node through the admin interface and resumes it afterwards.
func drainNode(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	if err := r.sendNodeAction(node, "drain"); err != nil {
		return node.Name, err
	}
	if err := r.retry(func() error { return r.checkNodeState(node, "drained") }); err != nil {
		return node.Name, err
	}
	time.Sleep(fault.For)
	return node.Name, r.sendNodeAction(node, "resume")
}

func (r *run) sendNodeAction(node *fleet.Node, action string) error {
	return r.fleet.Admin().Do(adminapi.Request{
		Method: http.MethodPost, Path: adminapi.PathNodes + "/" + node.Name + "/" + action,
		CommandID: fmt.Sprintf("%s-%s-%d", action, node.Name, time.Now().UnixNano()),
	}, nil)
}

func (r *run) checkNodeState(node *fleet.Node, state string) error {
	var list []adminapi.Node
	if err := r.fleet.Admin().Do(adminapi.Request{Method: http.MethodGet, Path: adminapi.PathNodes}, &list); err != nil {
		return err
	}
	for _, listed := range list {
		if listed.Name == node.Name && listed.State == state {
			return nil
		}
	}
	return eris.Errorf("node %s is not %s", node.Name, state)
}

// setListedState sets the state of a running machine in the platform's machine list.
func setListedState(state string) injector {
	return func(r *run, fault Fault) (string, error) {
		node, release := r.reserveNode(fault.Target)
		if node == nil {
			return "", errNoTarget
		}
		defer release()
		r.fleet.Platform.Set(node.Name, state)
		time.Sleep(fault.For)
		r.fleet.Platform.Set(node.Name, "live")
		return node.Name, nil
	}
}

// addNode adds a new, cold instance to the first pool.
func addNode(r *run, _ Fault) (string, error) {
	pool := r.options.Shape.Pools[0]
	name := pool.Name + "-new"
	if _, err := r.fleet.AddNode(pool, name, r.options.Shape.Zones[0]); err != nil {
		return name, err
	}
	return name, nil
}
