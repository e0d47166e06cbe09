package fleet

import (
	"testing"

	"limehold/membership"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/routing"
)

// FuzzApply applies arbitrary log data. A command that panics would crash every member
// that applies it, and again at each restart when the log is replayed.
func FuzzApply(f *testing.F) {
	key := ownership.Key{Service: "a", Shard: 1}
	for _, command := range []Command{
		{OpenSession: &OpenSession{Node: membership.Node{Name: "n", Incarnation: "i", Pool: "proofs"}, PredecessorsEnded: true}},
		{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{1, 3}}},
		{SetDraining: &SetDraining{Session: 3, Draining: true}},
		{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: 3, Next: 1}, {Key: ownership.Key{Service: "b", Shard: 99}, To: 3}}}},
		{Transfer: &Transfer{Decisions: []ShardDecision{{Key: key, Epoch: 1, To: 3}}}},
		{Release: &Release{Session: 3, Shards: []ReleasedShard{{Key: key, Epoch: 1}}}},
		{RetireService: &RetireService{Name: "a"}}, {RemoveService: &RemoveService{Name: "a"}},
		{CreateService: &CreateService{Name: "b", Template: "proofs", Values: map[string]string{"prefix": "b"}}},
		{ChangeRoutes: &routing.Change{Version: 1, ReplaceAll: true, Upsert: []routing.Item{{Section: routing.SectionRoutes, Name: "r", Route: &routing.Route{Name: "r"}}}}},
		{SetZoneDraining: &SetZoneDraining{Zone: "z", Draining: true}},
		{SetZoneDraining: &SetZoneDraining{Zone: "z", Draining: true}, Order: &Order{Resource: ZoneResource("z")}},
		{RecordReports: &RecordReports{Reports: []Report{crashReport(1, crashingRequest()), {}, {Success: &quarantine.SuccessReport{}}}}},
		{UpdateQuarantine: &UpdateQuarantine{Expired: []quarantine.RecordVersion{{}}, Trials: []TrialOffer{{}}}},
		{ClaimTrial: &ClaimTrial{Number: 1}}, {ReleaseRequest: &ReleaseRequest{}},
	} {
		f.Add(command.Encode(), command.Encode())
	}
	f.Fuzz(func(t *testing.T, one, other []byte) {
		m := newMachine(t)
		m.node("n")
		for range 2 {
			for _, data := range [][]byte{one, other} {
				command, err := DecodeCommand(data)
				if err != nil {
					continue
				}
				m.state.Apply(m.state.Revision+1, command)
			}
		}
		if _, err := m.state.Encode(); err != nil {
			t.Error(err)
		}
	})
}
