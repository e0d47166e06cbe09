package control

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/adminapi"
	"limehold/catalog"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wire"
)

// busiestPerService is the number of shards that operators are shown of each service.
const busiestPerService = 8

// loads returns the newest load reports of the sessions, in the order of these.
func (s *sessions) loads(now time.Duration) []wire.NodeLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []wire.NodeLoad
	for session := range s.openedAt {
		if report, age, known := s.reports.Get(session, now); known {
			list = append(list, wire.NodeLoad{Session: session, Report: report, Age: age})
		}
	}
	slices.SortFunc(list, func(a, b wire.NodeLoad) int { return cmp.Compare(a.Session, b.Session) })
	return list
}

// busiestShards returns the shards with the most work on the leader.
func (m *Member) busiestShards() []wire.ShardLoad {
	m.loadMutex.Lock()
	defer m.loadMutex.Unlock()
	var list []wire.ShardLoad
	for _, busy := range m.loads.Busiest(busiestPerService) {
		list = append(list, wire.ShardLoad{Key: busy.Key, Rate: busy.Rate})
	}
	return list
}

// routeLoad serves the operators' requests on the load of services: of all, or of the named one.
func (m *Member) routeLoad(ctx context.Context, request *fasthttp.RequestCtx, method, name string) (any, error) {
	if method != http.MethodGet {
		return nil, methodNotAllowed(method)
	}
	leader := m.leaderView(ctx)
	list := []adminapi.ServiceLoad{}
	err := m.read(ctx, request, func(state *fleet.State) {
		for _, service := range state.Catalog.Services {
			if name == "" || service.Name == name {
				list = append(list, serviceLoad(state, service, &leader))
			}
		}
	})
	if err == nil && name != "" && len(list) == 0 {
		return nil, notFound("service " + name)
	}
	slices.SortFunc(list, func(a, b adminapi.ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return list, err
}

// serviceLoad describes the load of a service by what the leader knows.
func serviceLoad(state *fleet.State, service *catalog.Service, leader *wire.LeaderView) adminapi.ServiceLoad {
	load := adminapi.ServiceLoad{Service: service.Name, Leader: leader.Leader, Instances: []adminapi.InstanceLoad{}}
	reports := map[membership.SessionID]*wire.NodeLoad{}
	for i := range leader.Loads {
		reports[leader.Loads[i].Session] = &leader.Loads[i]
	}
	for _, node := range state.Membership.Sessions {
		if node.Pool == service.Spec.Pool {
			load.Instances = append(load.Instances, instanceLoad(node, reports[node.Session]))
		}
	}
	slices.SortFunc(load.Instances, func(a, b adminapi.InstanceLoad) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Session, b.Session))
	})
	for _, busy := range leader.Busiest {
		if busy.Key.Service == service.Name {
			load.Busiest = append(load.Busiest, shardLoad(state, service, busy))
		}
	}
	return load
}

func instanceLoad(node *membership.Node, known *wire.NodeLoad) adminapi.InstanceLoad {
	load := adminapi.InstanceLoad{Node: node.Name, Session: uint64(node.Session), Zone: node.Zone, Slots: node.Slots, Draining: !node.Eligible()}
	if known == nil {
		return load
	}
	report := known.Report
	load.Report = &adminapi.LoadReport{
		Pace: report.Pace, Running: report.Running, Waiting: report.Waiting, Refused: report.Refused,
		RunTime: report.RunTime.Seconds(), SuccessShare: report.SuccessShare, Age: known.Age.Seconds(),
	}
	return load
}

// shardLoad describes a busy shard. explain says why it has its owner.
func shardLoad(state *fleet.State, service *catalog.Service, busy wire.ShardLoad) adminapi.ShardLoad {
	load := adminapi.ShardLoad{Shard: busy.Key.Shard, Work: busy.Rate}
	shard, _ := state.Ownership.Get(busy.Key)
	load.Phase = shard.Phase.String()
	if service.Spec.Key.Ranges {
		first, last := ownership.Range(busy.Key.Shard, service.Spec.Shards)
		load.First, load.Last = &first, &last
	}
	if owner := state.Membership.Sessions[shard.Owner]; owner != nil {
		load.Owner = owner.Name
	}
	if target := state.Membership.Sessions[shard.Target]; target != nil {
		load.Target = target.Name
	}
	return load
}
