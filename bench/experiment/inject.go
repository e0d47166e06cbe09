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

// injector brings one fault about and ends it; it returns once the fault is
// over. target is what the fault struck.
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
		CutBefore:        misbehave(standin.Knobs{CutBeforePercent: 30}),
		CutWithin:        misbehave(standin.Knobs{CutWithinPercent: 30}),
		CrossedAnswers:   misbehave(standin.Knobs{CrossedPercent: 30}),
		DoubleAnswers:    misbehave(standin.Knobs{DoublePercent: 30}),
		LateAnswers:      misbehave(standin.Knobs{LatePercent: 20, LateByMs: 4000}),
		LyingLoad:        misbehave(standin.Knobs{SlowFactor: 1}),
		SlowNode:         misbehave(standin.Knobs{SlowFactor: 6}),
		FailingNode:      misbehave(standin.Knobs{FailAll: true}),
		FailingPool:      failPool,
		DeadlyRequest:    sendDeadly,
		RestartRouters:   restartRouters, RestartBackend: restartBackend, RestartAgent: restartAgent,
		RestartControl: restartControl, DrainNode: drainNode, ListLeaving: listSays("leaving"), ListGone: listSays("gone"),
		AddNode: addNode,
	}
}

const (
	stopLimit = 25 * time.Second
	patience  = 20 * time.Second
)

var errNoTarget = eris.New("there is nothing to strike")

// loseNode notes that a node's owner is lost now.
func (r *run) loseNode(node *fleet.Node) {
	r.noteLoss(node.Name)
}

func signalled(ok bool) error {
	if !ok {
		return eris.New("the process was not running")
	}
	return nil
}

func killNode(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	return node.Name, r.killNode(node, fault.For)
}

// killNode ends back end and agent without notice and starts them again later.
func (r *run) killNode(node *fleet.Node, length time.Duration) error {
	r.loseNode(node)
	killed := node.Backend.Kill()
	node.Agent.Kill()
	time.Sleep(length)
	if err := r.fleet.StartBackend(node); err != nil {
		return err
	}
	if err := node.Agent.Start(); err != nil {
		return err
	}
	return signalled(killed)
}

func killBackend(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	r.loseNode(node)
	killed := node.Backend.Kill()
	time.Sleep(fault.For)
	if err := r.fleet.StartBackend(node); err != nil {
		return node.Name, err
	}
	return node.Name, signalled(killed)
}

func killAgent(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	r.loseNode(node)
	killed := node.Agent.Kill()
	time.Sleep(fault.For)
	if err := node.Agent.Start(); err != nil {
		return node.Name, err
	}
	return node.Name, signalled(killed)
}

func freezeNode(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	r.loseNode(node)
	frozen := node.Backend.Freeze() && node.Agent.Freeze()
	time.Sleep(fault.For)
	node.Backend.Thaw()
	node.Agent.Thaw()
	return node.Name, signalled(frozen)
}

func freezeBackend(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	r.loseNode(node)
	frozen := node.Backend.Freeze()
	time.Sleep(fault.For)
	node.Backend.Thaw()
	return node.Name, signalled(frozen)
}

func killLeader(r *run, fault Fault) (string, error) {
	member, free := r.takeLeader()
	if member == nil {
		return "", errNoTarget
	}
	defer free()
	killed := member.Kill()
	time.Sleep(fault.For)
	if err := r.fleet.StartMember(member); err != nil {
		return member.Name, err
	}
	return member.Name, signalled(killed)
}

func freezeLeader(r *run, fault Fault) (string, error) {
	member, free := r.takeLeader()
	if member == nil {
		return "", errNoTarget
	}
	defer free()
	frozen := member.Freeze()
	time.Sleep(fault.For)
	member.Thaw()
	return member.Name, signalled(frozen)
}

// cutLeader holds back what the leader sends (one way) or all that passes.
func cutLeader(bothWays bool) injector {
	return func(r *run, fault Fault) (string, error) {
		member, free := r.takeLeader()
		if member == nil {
			return "", errNoTarget
		}
		defer free()
		r.cutMember(member, true, bothWays)
		time.Sleep(fault.For)
		r.cutMember(member, false, false)
		return member.Name, nil
	}
}

// cutMember stalls a member's paths. Away from the member is forward on the
// paths that it dialed, and backward on those that others dialed.
func (r *run) cutMember(member *fleet.Member, outgoing, incoming bool) {
	for _, other := range r.fleet.Members {
		if path := other.FromMember[member.Name]; path != nil {
			path.Stall(outgoing, incoming)
		}
	}
	inbound := []*faultproxy.Proxy{member.Into}
	for _, path := range member.FromMember {
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
	member, freeMember := r.takeLeader()
	if member == nil {
		return "", errNoTarget
	}
	defer freeMember()
	node, freeNode := r.takeNode(fault.Target)
	if node == nil {
		return member.Name, errNoTarget
	}
	defer freeNode()
	killed := member.Kill()
	err := r.killNode(node, fault.For)
	if startErr := r.fleet.StartMember(member); startErr != nil {
		return member.Name, startErr
	}
	if err == nil {
		err = signalled(killed)
	}
	return member.Name + "+" + node.Name, err
}

// wipeMember takes a follower's disk away; an operator puts the member that
// comes back empty in the place of the old one.
func wipeMember(r *run, _ Fault) (string, error) {
	member, free := r.takeFollower()
	if member == nil {
		return "", errNoTarget
	}
	defer free()
	killed := member.Kill()
	if err := os.RemoveAll(member.Data); err != nil {
		return member.Name, err
	}
	if err := r.fleet.StartMember(member); err != nil {
		return member.Name, err
	}
	err := r.untilDone(func() error {
		leader := r.fleet.Leader()
		if leader == nil {
			return errNoTarget
		}
		client := adminapi.NewClient([]string{leader.Field("admin")}, "", patience)
		return client.Do(adminapi.Request{
			Method: http.MethodPost, Path: adminapi.PathMembers + "/replace", Body: adminapi.MemberChange{Name: member.Name},
		}, nil)
	})
	if err != nil {
		return member.Name, err
	}
	return member.Name, signalled(killed)
}

func killRouter(r *run, fault Fault) (string, error) {
	router, free := r.takeRouter(fault.Target)
	if router == nil {
		return "", errNoTarget
	}
	defer free()
	killed := router.Kill()
	time.Sleep(fault.For)
	if err := r.fleet.StartRouter(router); err != nil {
		return router.Name, err
	}
	return router.Name, signalled(killed)
}

func cutRouterControl(r *run, fault Fault) (string, error) {
	router, free := r.takeRouter(fault.Target)
	if router == nil {
		return "", errNoTarget
	}
	defer free()
	stall(router.Control, true)
	time.Sleep(fault.For)
	stall(router.Control, false)
	return router.Name, nil
}

func stall(paths map[string]*faultproxy.Proxy, shut bool) {
	for _, path := range paths {
		path.Stall(shut, shut)
	}
}

func cutNodeControl(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	r.loseNode(node)
	stall(node.Control, true)
	time.Sleep(fault.For)
	stall(node.Control, false)
	return node.Name, nil
}

func cutNodeRouters(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	node.Requests.Stall(true, true)
	time.Sleep(fault.For)
	node.Requests.Stall(false, false)
	return node.Name, nil
}

// resetConnections cuts every connection to a node, again and again.
func resetConnections(r *run, fault Fault) (string, error) {
	node, free := r.takeNode(fault.Target)
	if node == nil {
		return "", errNoTarget
	}
	defer free()
	const every = 100 * time.Millisecond
	cut := 0
	for end := time.Now().Add(fault.For); time.Now().Before(end); time.Sleep(every) {
		cut += node.Requests.CutAll()
	}
	if cut == 0 {
		return node.Name, eris.New("there was no connection to cut")
	}
	return node.Name, nil
}

// misbehave turns a back end's knobs for a while.
func misbehave(knobs standin.Knobs) injector {
	return func(r *run, fault Fault) (string, error) {
		node, free := r.takeNode(fault.Target)
		if node == nil {
			return "", errNoTarget
		}
		defer free()
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
	const mostAnswers = 80
	nodes := r.fleet.NodesOf(fault.Target)
	if len(nodes) == 0 {
		return fault.Target, errNoTarget
	}
	for _, node := range nodes {
		if err := node.SetKnobs(standin.Knobs{ReportedLoad: -1, CutBeforePercent: mostAnswers}); err != nil {
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

func (r *run) untilDone(try func() error) error {
	deadline := time.Now().Add(patience)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
