package fleet

import (
	"fmt"
	"path/filepath"

	"limehold/bench/faultproxy"
	"limehold/bench/shape"
)

func (f *Fleet) startNodes() error {
	number := 0
	for _, pool := range f.Options.Shape.Pools {
		for i := range pool.Instances {
			if _, err := f.AddNode(pool, fmt.Sprintf("%s-%d", pool.Name, i+1), f.zone(number)); err != nil {
				return err
			}
			number++
		}
	}
	return nil
}

// AddNode starts a back end and its agent and adds them to the deployment.
func (f *Fleet) AddNode(pool shape.Pool, name, zone string) (*Node, error) {
	requests, err := faultproxy.New(f.zoneDelay())
	if err != nil {
		return nil, err
	}
	paths, addresses, err := f.newControlPaths()
	if err != nil {
		return nil, err
	}
	node := &Node{
		Name: name, Zone: zone, Pool: pool, Requests: requests, Control: paths,
		Records: filepath.Join(f.Options.Folder, "records", name+".jsonl"),
	}
	if err := f.StartBackend(node); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	f.nodes = append(f.nodes, node)
	f.mutex.Unlock()
	f.Platform.Set(name, "live")
	return node, f.StartAgent(node, addresses)
}

// StartBackend starts a node's back end. A restarted back end listens at the
// same address as before.
func (f *Fleet) StartBackend(node *Node) error {
	listen := "127.0.0.1:0"
	if node.Backend != nil {
		listen = node.Backend.Field("address")
	}
	node.Backend = f.inheritUsage(node.Backend, newProcess(node.Name, "backend", f.Options.Limebench, logPath(f.Options.Folder, "backend-"+node.Name), []string{
		"backend", "--name", node.Name, "--listen", listen, "--records", node.Records,
		"--slots", fmt.Sprint(node.Pool.Slots), "--service-time", node.Pool.ServiceTime.String(),
		"--cold-start", f.Options.ColdStart.String(),
	}))
	if err := node.Backend.Start(); err != nil {
		return err
	}
	node.Requests.SetTarget(node.Backend.Field("address"))
	return nil
}

func (f *Fleet) inheritUsage(before, after *Process) *Process {
	if before != nil {
		before.mutex.Lock()
		after.usage = before.usage
		before.mutex.Unlock()
	}
	return after
}

// StartAgent starts a node's agent. controlAddresses is used at the first start
// only; a restarted agent keeps its arguments.
func (f *Fleet) StartAgent(node *Node, controlAddresses string) error {
	if node.Agent != nil {
		return node.Agent.Start()
	}
	advertised := node.Requests.Address()
	if f.Options.DirectBackendPaths {
		advertised = node.Backend.Field("address")
	}
	node.Agent = newProcess(node.Name, "agent", f.Options.Limehold, logPath(f.Options.Folder, "agent-"+node.Name), f.settings("agent",
		"name="+node.Name, "zone="+node.Zone, "agent.backend="+node.Backend.Field("address"),
		"agent.advertise="+advertised, "agent.pool="+node.Pool.Name,
		fmt.Sprintf("agent.slots=%d", node.Pool.Slots), fmt.Sprintf("agent.connections=%d", node.Pool.Connections),
		"agent.control="+controlAddresses))
	return node.Agent.Start()
}

// NodesInPool returns the nodes of a pool.
func (f *Fleet) NodesInPool(pool string) []*Node {
	var list []*Node
	for _, node := range f.AllNodes() {
		if node.Pool.Name == pool {
			list = append(list, node)
		}
	}
	return list
}
