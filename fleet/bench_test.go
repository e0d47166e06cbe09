package fleet

import (
	"fmt"
	"runtime"
	"testing"

	"limehold/catalog"
	"limehold/codec"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quarantine"
)

// newFilledState returns a state with the given number of shards, all assigned, on shards/68 nodes.
func newFilledState(shards int) *State {
	const shardsOfService, shardsOfNode = 256, 68
	state := NewState()
	apply := func(command Command) Result {
		result, _ := state.Apply(state.Revision+1, &command)
		return result
	}
	text := fmt.Sprintf("match: {path_prefix: \"/${prefix}\"}\npool: p\nkeyed: true\nkey: {source: path, segment: 0}\nshards: %d\n", shardsOfService)
	apply(Command{ApplyTemplate: &ApplyTemplate{Expected: catalog.AnyRevision, Template: catalog.Template{
		Name: "t", SpecText: text, Parameters: []catalog.Parameter{{Name: "prefix", Type: catalog.ParameterName}},
	}}})
	var nodes []membership.SessionID
	for i := range shards / shardsOfNode {
		nodes = append(nodes, apply(Command{OpenSession: &OpenSession{Node: membership.Node{
			Name: fmt.Sprintf("node-%d", i), Incarnation: "a", Zone: "zone", Address: "10.0.0.1:9000", Pool: "p", Slots: 18,
		}}}).Session)
	}
	for i := range shards / shardsOfService {
		name := fmt.Sprintf("service-%d", i)
		apply(Command{CreateService: &CreateService{Name: name, Template: "t", Values: map[string]string{"prefix": name}}})
		assign := &Assign{Cause: "placement"}
		for shard := range shardsOfService {
			assign.Decisions = append(assign.Decisions, ShardDecision{
				Key: ownership.Key{Service: name, Shard: uint32(shard)}, To: nodes[(i*shardsOfService+shard)%len(nodes)],
			})
		}
		apply(Command{Assign: assign})
	}
	return state
}

// BenchmarkMemory reports a member's memory per shard, including its share of services,
// nodes and journal.
func BenchmarkMemory(b *testing.B) {
	for _, shards := range []int{34_816, 69_632, 139_264} {
		b.Run(fmt.Sprintf("%d shards", shards), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := newFilledState(shards)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(shards), "bytes/shard")
				data, err := state.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data))/float64(shards), "snapshot-bytes/shard")
				runtime.KeepAlive(state)
			}
		})
	}
}

// BenchmarkSnapshot measures the encoding of the state, which blocks the goroutine that applies commands.
func BenchmarkSnapshot(b *testing.B) {
	for _, shards := range []int{34_816, 139_264} {
		state := newFilledState(shards)
		b.Run(fmt.Sprintf("%d shards", shards), func(b *testing.B) {
			for b.Loop() {
				if _, err := state.Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTakeEnd measures the crash of an instance with 18 running requests, none seen
// before, when the table is full: the time per member and the bytes sent to each router.
func BenchmarkTakeEnd(b *testing.B) {
	state := NewState()
	number, bytes := 0, 0
	for b.Loop() {
		number++
		end := &quarantine.CrashReport{Service: "numbers", Instance: fmt.Sprint("i-", number), Node: "node-1", Version: "v1"}
		for n := range 18 {
			identity, _ := (&quarantine.Request{Target: fmt.Appendf(nil, "/%d/%d", number, n)}).Identity(nil)
			end.Runs = append(end.Runs, quarantine.Run{Identity: identity, Sample: "GET shop.example/numbers/12345"})
		}
		command := Command{RecordReports: &RecordReports{Reports: []Report{{Crash: end}}}}
		_, changes := state.Apply(state.Revision+1, &command)
		rows := state.Quarantine.ViewsOf(changes.Quarantine)
		bytes = len(codec.MustMarshal(&rows))
	}
	b.ReportMetric(float64(bytes), "B/router")
	encoded, err := state.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(encoded)), "B/state")
}
