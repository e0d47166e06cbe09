package experiment

import (
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"limehold/adminapi"
	"limehold/bench/faultproxy"
	"limehold/bench/fleet"
	"limehold/bench/standin"
)

// injector injects one fault, waits for its duration and undoes it. target names
// what the fault affected.
type injector func(r *run, fault Fault) (target string, err error)

var injectors map[FaultKind]injector

func init() {
	injectors = map[FaultKind]injector{
		KillNode: killNode, KillBackend: killBackend, KillAgent: killAgent,
		FreezeNode: freezeNode, FreezeBackend: freezeBackend,
		KillLeader: killLeader, FreezeLeader: freezeLeader, CutLeader: cutLeader(true), CutLeaderOneWay: cutLeader(false),
		KillLeaderNode: killLeaderAndNode, WipeMember: wipeMember, KillRouter: killRouter,
		CutRouterControl: cutRouterControl, CutNodeControl: cutNodeControl, CutNodeRouters: cutNodeRouters,
		ResetConnections: resetConnections,
		CutBefore:        injectKnobs(standin.Knobs{CutBeforePercent: 30}),
		CutWithin:        injectKnobs(standin.Knobs{CutWithinPercent: 30}),
		CrossedAnswers:   injectKnobs(standin.Knobs{CrossedPercent: 30}),
		DoubleAnswers:    injectKnobs(standin.Knobs{DoublePercent: 30}),
		LateAnswers:      injectKnobs(standin.Knobs{LatePercent: 20, LateByMs: 4000}),
		LyingLoad:        injectKnobs(standin.Knobs{SlowFactor: 1}),
		SlowNode:         injectKnobs(standin.Knobs{SlowFactor: 6}),
		FailingNode:      injectKnobs(standin.Knobs{FailAll: true}),
		FailingPool:      failPool,
		CrashingRequest:  sendCrashing,
		RestartRouters:   restartRouters, RestartBackend: restartBackend, RestartAgent: restartAgent,
		RestartControl: restartControl, DrainNode: drainNode, ListLeaving: setListedState("leaving"), ListGone: setListedState("gone"),
		AddNode: addNode,
	}
}

const (
	stopTimeout  = 25 * time.Second
	retryTimeout = 20 * time.Second
)

var errNoTarget = eris.New("there is nothing to strike")

// recordNodeLoss records that the node loses its ownership now.
func (r *run) recordNodeLoss(node *fleet.Node) {
	r.recordLoss(node.Name)
}

func checkSignalled(ok bool) error {
	if !ok {
		return eris.New("the process was not running")
	}
	return nil
}

func killNode(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	return node.Name, r.killNode(node, fault.For)
}

// killNode kills the back end and the agent, and starts both again after length.
func (r *run) killNode(node *fleet.Node, length time.Duration) error {
	r.recordNodeLoss(node)
	killed := node.Backend.Kill()
	node.Agent.Kill()
	time.Sleep(length)
	if err := r.fleet.StartBackend(node); err != nil {
		return err
	}
	if err := node.Agent.Start(); err != nil {
		return err
	}
	return checkSignalled(killed)
}

func killBackend(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	r.recordNodeLoss(node)
	killed := node.Backend.Kill()
	time.Sleep(fault.For)
	if err := r.fleet.StartBackend(node); err != nil {
		return node.Name, err
	}
	return node.Name, checkSignalled(killed)
}

func killAgent(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	r.recordNodeLoss(node)
	killed := node.Agent.Kill()
	time.Sleep(fault.For)
	if err := node.Agent.Start(); err != nil {
		return node.Name, err
	}
	return node.Name, checkSignalled(killed)
}

func freezeNode(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	r.recordNodeLoss(node)
	frozen := node.Backend.Freeze() && node.Agent.Freeze()
	time.Sleep(fault.For)
	node.Backend.Thaw()
	node.Agent.Thaw()
	return node.Name, checkSignalled(frozen)
}

func freezeBackend(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	r.recordNodeLoss(node)
	frozen := node.Backend.Freeze()
	time.Sleep(fault.For)
	node.Backend.Thaw()
	return node.Name, checkSignalled(frozen)
}

func killLeader(r *run, fault Fault) (string, error) {
	member, release := r.reserveLeader()
	if member == nil {
		return "", errNoTarget
	}
	defer release()
	killed := member.Kill()
	time.Sleep(fault.For)
	if err := r.fleet.StartMember(member); err != nil {
		return member.Name, err
	}
	return member.Name, checkSignalled(killed)
}

func freezeLeader(r *run, fault Fault) (string, error) {
	member, release := r.reserveLeader()
	if member == nil {
		return "", errNoTarget
	}
	defer release()
	frozen := member.Freeze()
	time.Sleep(fault.For)
	member.Thaw()
	return member.Name, checkSignalled(frozen)
}

// cutLeader partitions the leader: in both directions, or only for the data that it sends.
func cutLeader(bothWays bool) injector {
	return func(r *run, fault Fault) (string, error) {
		member, release := r.reserveLeader()
		if member == nil {
			return "", errNoTarget
		}
		defer release()
		r.cutMember(member, true, bothWays)
		time.Sleep(fault.For)
		r.cutMember(member, false, false)
		return member.Name, nil
	}
}

// cutMember sets which directions of a member's connections are stalled. Data
// from the member flows forward through the proxies that it dials, and backward
// through those that others dial.
func (r *run) cutMember(member *fleet.Member, outgoing, incoming bool) {
	for _, other := range r.fleet.Members {
		if path := other.PeerProxies[member.Name]; path != nil {
			path.Stall(outgoing, incoming)
		}
	}
	inbound := []*faultproxy.Proxy{member.Inbound}
	for _, path := range member.PeerProxies {
		inbound = append(inbound, path)
	}
	for _, node := range r.fleet.AllNodes() {
		inbound = append(inbound, node.Control[member.Name])
	}
	for _, router := range r.fleet.Routers {
		inbound = append(inbound, router.Control[member.Name])
	}
	for _, path := range inbound {
		if path != nil {
			path.Stall(incoming, outgoing)
		}
	}
}

func killLeaderAndNode(r *run, fault Fault) (string, error) {
	member, releaseMember := r.reserveLeader()
	if member == nil {
		return "", errNoTarget
	}
	defer releaseMember()
	node, releaseNode := r.reserveNode(fault.Target)
	if node == nil {
		return member.Name, errNoTarget
	}
	defer releaseNode()
	killed := member.Kill()
	err := r.killNode(node, fault.For)
	if startErr := r.fleet.StartMember(member); startErr != nil {
		return member.Name, startErr
	}
	if err == nil {
		err = checkSignalled(killed)
	}
	return member.Name + "+" + node.Name, err
}

// wipeMember kills a follower and deletes its data folder. An operator then
// replaces the old member by the one that restarts without data.
func wipeMember(r *run, _ Fault) (string, error) {
	member, release := r.reserveFollower()
	if member == nil {
		return "", errNoTarget
	}
	defer release()
	killed := member.Kill()
	if err := os.RemoveAll(member.DataFolder); err != nil {
		return member.Name, err
	}
	if err := r.fleet.StartMember(member); err != nil {
		return member.Name, err
	}
	err := r.retry(func() error {
		leader := r.fleet.Leader()
		if leader == nil {
			return errNoTarget
		}
		client := adminapi.NewClient([]string{leader.Field("admin")}, "", retryTimeout)
		return client.Do(adminapi.Request{
			Method: http.MethodPost, Path: adminapi.PathMembers + "/replace", Body: adminapi.MemberChangeRequest{Name: member.Name},
		}, nil)
	})
	if err != nil {
		return member.Name, err
	}
	return member.Name, checkSignalled(killed)
}

func killRouter(r *run, fault Fault) (string, error) {
	router, release := r.reserveRouter(fault.Target)
	if router == nil {
		return "", errNoTarget
	}
	defer release()
	killed := router.Kill()
	time.Sleep(fault.For)
	if err := r.fleet.StartRouter(router); err != nil {
		return router.Name, err
	}
	return router.Name, checkSignalled(killed)
}

func cutRouterControl(r *run, fault Fault) (string, error) {
	router, release := r.reserveRouter(fault.Target)
	if router == nil {
		return "", errNoTarget
	}
	defer release()
	setStalled(router.Control, true)
	time.Sleep(fault.For)
	setStalled(router.Control, false)
	return router.Name, nil
}

func setStalled(paths map[string]*faultproxy.Proxy, stalled bool) {
	for _, path := range paths {
		path.Stall(stalled, stalled)
	}
}

func cutNodeControl(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	r.recordNodeLoss(node)
	setStalled(node.Control, true)
	time.Sleep(fault.For)
	setStalled(node.Control, false)
	return node.Name, nil
}

func cutNodeRouters(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	node.Requests.Stall(true, true)
	time.Sleep(fault.For)
	node.Requests.Stall(false, false)
	return node.Name, nil
}

// resetConnections repeatedly resets all connections to a node.
func resetConnections(r *run, fault Fault) (string, error) {
	node, release := r.reserveNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer release()
	const every = 100 * time.Millisecond
	cut := 0
	for end := time.Now().Add(fault.For); time.Now().Before(end); time.Sleep(every) {
		cut += node.Requests.ResetAll()
	}
	if cut == 0 {
		return node.Name, eris.New("there was no connection to cut")
	}
	return node.Name, nil
}

// injectKnobs sets a back end's knobs for the duration of the fault.
func injectKnobs(knobs standin.Knobs) injector {
	return func(r *run, fault Fault) (string, error) {
		node, release := r.reserveNode(fault.Target)
		if node == nil {
			return "", errNoTarget
		}
		defer release()
		knobs.ReportedLoad = -1
		if fault.Kind == LyingLoad {
			knobs.ReportedLoad = 0
		}
		if err := node.SetKnobs(knobs); err != nil {
			return node.Name, err
		}
		time.Sleep(fault.For)
		return node.Name, node.SetKnobs(standin.Knobs{ReportedLoad: -1})
	}
}

func failPool(r *run, fault Fault) (string, error) {
	const cutPercent = 80
	nodes := r.fleet.NodesInPool(fault.Target)
	if len(nodes) == 0 {
		return fault.Target, errNoTarget
	}
	for _, node := range nodes {
		if err := node.SetKnobs(standin.Knobs{ReportedLoad: -1, CutBeforePercent: cutPercent}); err != nil {
			return fault.Target, err
		}
	}
	time.Sleep(fault.For)
	for _, node := range nodes {
		if err := node.SetKnobs(standin.Knobs{ReportedLoad: -1}); err != nil {
			return fault.Target, err
		}
	}
	return fault.Target, nil
}

func (r *run) retry(attempt func() error) error {
	deadline := time.Now().Add(retryTimeout)
	for {
		err := attempt()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
