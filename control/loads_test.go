package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/adminapi"
	"limehold/catalog"
	"limehold/fleet"
	"limehold/loadview"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wire"
)

// The load command has to be useful while the leader, or the report of an instance, is missing.
func TestServiceLoadShowsWhatIsKnown(t *testing.T) {
	first, last := uint32(128), uint32(191)
	report := loadview.Report{Slots: 7, Running: 5, Waiting: 2, Pace: 1.4, Refused: 3, RunTime: 150 * time.Millisecond, SuccessShare: 1}
	known := wire.LeaderView{
		Leader: "core-1", Loads: []wire.NodeLoad{{Session: 11, Report: report, Age: 500 * time.Millisecond}},
		Busiest: []wire.ShardLoad{{Key: ownership.Key{Service: "orders", Shard: 2}, Rate: 700}, {Key: ownership.Key{Service: "other", Shard: 1}, Rate: 900}},
	}
	instances := []adminapi.InstanceLoad{{Node: "one", Session: 11, Zone: "a", Slots: 7}, {Node: "two", Session: 12, Zone: "b", Slots: 7}}
	for name, c := range map[string]struct {
		leader wire.LeaderView
		report *adminapi.LoadReport
		shards []adminapi.ShardLoad
	}{
		"no leader answers": {wire.LeaderView{}, nil, nil},
		"one report and a busy shard that moves": {
			known, &adminapi.LoadReport{Pace: 1.4, Running: 5, Waiting: 2, Refused: 3, RunTime: 0.15, SuccessShare: 1, Age: 0.5},
			[]adminapi.ShardLoad{{Shard: 2, First: &first, Last: &last, Work: 700, Owner: "one", Phase: "releasing", Target: "two"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state := fleet.NewState()
			for i, node := range []membership.Node{{Name: "one", Zone: "a", Pool: "orders", Slots: 7}, {Name: "two", Zone: "b", Pool: "orders", Slots: 7}, {Name: "three", Pool: "other"}} {
				node.Session = membership.SessionID(11 + i)
				state.Membership.Sessions[node.Session] = &node
			}
			state.Ownership.AddService("orders", 1024, 1)
			is.NoErr(state.Ownership.Assign(ownership.Key{Service: "orders", Shard: 2}, 1, 2, 11))
			is.NoErr(state.Ownership.BeginTransfer(ownership.Key{Service: "orders", Shard: 2}, 2, 12))
			service := &catalog.Service{Name: "orders", Spec: catalog.Spec{Pool: "orders", Keyed: true, Shards: 1024, Key: catalog.KeyRule{Ranges: true}}}
			want := adminapi.ServiceLoad{Service: "orders", Leader: c.leader.Leader, Instances: append([]adminapi.InstanceLoad(nil), instances...), Busiest: c.shards}
			want.Instances[0].Report = c.report
			is.Equal(serviceLoad(state, service, &c.leader), want)
		})
	}
}
