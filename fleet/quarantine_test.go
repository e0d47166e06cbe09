package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"limehold/decisions"
	"limehold/quarantine"
)

// crashingRequest returns a request that crashes instances.
func crashingRequest() quarantine.Identity {
	identity, _ := (&quarantine.Request{Method: []byte("GET"), Target: []byte("/deadly")}).Identity(nil)
	return identity
}

// crashReport returns the report of a crash during a request.
func crashReport(number int, identity quarantine.Identity) Report {
	return Report{Crash: &quarantine.CrashReport{
		Service: "numbers", Instance: fmt.Sprint("i-", number), Node: fmt.Sprint("n-", number), Version: "v1",
		Runs: []quarantine.Run{{Identity: identity, Sample: "GET shop.example/deadly"}},
	}}
}

// Quarantine records change only by commands, survive snapshots, and are reported to
// watchers and in the journal.
func TestQuarantineIsReplicated(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	crashing := crashingRequest()
	apply := func(command Command) (Result, Changes) { return m.state.Apply(m.state.Revision+1, &command) }
	for n := range 2 {
		_, changes := apply(Command{RecordReports: &RecordReports{Reports: []Report{crashReport(n, crashing)}}})
		is.True(!changes.Empty())
	}
	// A repeated report changes nothing and notifies no watcher.
	_, changes := apply(Command{RecordReports: &RecordReports{Reports: []Report{crashReport(1, crashing)}}})
	is.True(changes.Empty())
	apply(Command{RecordReports: &RecordReports{Reports: []Report{crashReport(2, crashing)}}})

	encoded, err := m.state.Encode()
	is.NoErr(err)
	m.state, err = DecodeState(encoded)
	is.NoErr(err)
	record, found := m.state.Quarantine.Get(crashing.Any)
	is.True(found)
	is.True(record.Quarantined)

	result, _ := apply(Command{ReleaseRequest: &ReleaseRequest{Digest: crashing.PerCaller, Reason: "wrong one"}})
	is.Equal(result.Stale, 1)
	result, changes = apply(Command{ReleaseRequest: &ReleaseRequest{Digest: crashing.Any, Reason: "mended"}})
	is.Equal(result.Stale, 0)
	is.Equal(m.state.Quarantine.ViewsOf(changes.Quarantine), []quarantine.View{{Digest: crashing.Any, Removed: true}})

	var logged []decisions.Event
	for _, event := range m.state.Journal.Events {
		if event.Kind == decisions.KindQuarantined || event.Kind == decisions.KindRequestReleased {
			logged = append(logged, event)
		}
	}
	is.Equal(len(logged), 2)
	is.Equal(logged[0].Cause, "3 instances ended while they ran GET shop.example/deadly: i-0 at n-0 i-1 at n-1 i-2 at n-2")
	is.Equal(logged[1].Cause, "operator: mended")
}

func TestTrialIsGivenOnce(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	deadly := crashingRequest()
	apply := func(command Command) Result {
		result, _ := m.state.Apply(m.state.Revision+1, &command)
		return result
	}
	for n := range 3 {
		apply(Command{RecordReports: &RecordReports{Reports: []Report{crashReport(n, deadly)}}})
	}
	record, _ := m.state.Quarantine.Get(deadly.Any)
	offer := TrialOffer{Record: quarantine.RecordVersion{Digest: deadly.Any, Changed: record.Changed}, Cause: "time"}
	apply(Command{UpdateQuarantine: &UpdateQuarantine{Trials: []TrialOffer{offer}}})
	apply(Command{UpdateQuarantine: &UpdateQuarantine{Trials: []TrialOffer{offer}}}) // a delayed duplicate
	record, _ = m.state.Quarantine.Get(deadly.Any)
	is.True(record.Trial.Offered())
	is.Equal(record.Trials, uint32(1))
	take := func(holder string) int {
		return apply(Command{ClaimTrial: &ClaimTrial{Digest: deadly.Any, Number: record.Trial.Number, Holder: holder}}).Stale
	}
	is.Equal(take("r-1"), 0)
	is.Equal(take("r-1"), 0)
	is.Equal(take("r-2"), 1)
}
