package judge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/bench/load"
	"limehold/bench/report"
	"limehold/bench/standin"
)

const second = int64(time.Second)

// correctRun returns the input of a run without violations, which the cases modify.
func correctRun() *Input {
	return &Input{
		Window: Window{From: 0, To: 20 * time.Second}, InForceBound: 5 * time.Second,
		Pools: map[string]string{"one": "proofs", "two": "proofs"}, KeyedShards: 1, KeysPerShard: 10,
		Results: []load.Result{
			{Run: "r1", Stream: "edit", Prefix: "/p", Router: "router-1", Outcome: load.OutcomeOK, Status: 200, Revision: 5, Sent: 2 * time.Second, Done: 3 * time.Second},
			{Run: "r2", Stream: "edit", Prefix: "/p", Router: "router-1", Outcome: load.OutcomeNotRun, Status: 503, RetryAfter: true, Revision: 5, Sent: 4 * time.Second, Done: 5 * time.Second},
		},
		Records: map[string][]standin.Record{
			"one": {
				{Kind: standin.RecordStart, At: 0},
				{Kind: standin.RecordLease, At: 1 * second, Session: 1, Expiry: 6 * second},
				{Kind: standin.RecordGrant, At: 1 * second, Session: 1, Service: "s", Epoch: 1},
				{Kind: standin.RecordExecution, At: 3 * second, Started: 2 * second, Node: "one", Service: "s", Epoch: 1, Run: "r1"},
				{Kind: standin.RecordRelease, At: 5 * second, Session: 1, Service: "s", Epoch: 1},
			},
			"two": {
				{Kind: standin.RecordStart, At: 0},
				{Kind: standin.RecordLease, At: 1 * second, Session: 2, Expiry: 30 * second},
				{Kind: standin.RecordGrant, At: 6 * second, Session: 2, Service: "s", Epoch: 2},
			},
		},
		Changes: []Change{{Service: "s", Prefix: "/p", Revision: 5, Accepted: time.Second, InForce: 2 * time.Second}},
	}
}

func judgeRun(input *Input) *report.Report {
	result := &report.Report{FaultsSet: report.FaultsNone}
	Judge(input, result)
	return result
}

func TestSoundRunPasses(t *testing.T) {
	is := is.New(t)
	result := judgeRun(correctRun())
	is.Equal(result.Check(), nil)
	is.Equal(result.Churn.Moves, 1)
	is.Equal(result.Unavailable.KeySeconds, 20.0) // from 0 to 1 s and from 5 to 6 s, for 10 keys
	is.Equal(result.Unavailable.LongestGapMs, 1000.0)
}

// Each case violates one guarantee; the report must contain that violation and no other.
func TestJudgeFindsEachBrokenPromise(t *testing.T) {
	cases := []struct {
		name    string
		violate func(*Input)
		want    string
	}{
		{"two owners at once", func(in *Input) {
			in.Records["two"][2].At = 4 * second
		}, "overlapping_owners"},
		{"owner past its lease without a release", func(in *Input) {
			in.Records["one"] = in.Records["one"][:4]
			in.Records["two"][2].At = 5 * second // the lease of the first owner ends at 6 s
		}, "overlapping_owners"},
		{"epoch that does not rise", func(in *Input) {
			in.Records["two"][2].Epoch = 1
		}, "overlapping_owners"},
		{"older epoch runs after a newer one", func(in *Input) {
			in.Records["two"] = append(in.Records["two"], standin.Record{Kind: standin.RecordExecution, At: 7 * second, Started: 7 * second, Node: "two", Service: "s", Epoch: 2, Run: "r3"},
				standin.Record{Kind: standin.RecordExecution, At: 8 * second, Started: 8 * second, Node: "two", Service: "s", Epoch: 1, Run: "r4"})
		}, "overlapping_owners"},
		{"run twice", func(in *Input) {
			in.Records["two"] = append(in.Records["two"], standin.Record{Kind: standin.RecordExecution, At: 7 * second, Started: 7 * second, Node: "two", Service: "s", Epoch: 2, Run: "r1"})
		}, "executed_twice"},
		{"refused and run", func(in *Input) {
			in.Records["two"] = append(in.Records["two"], standin.Record{Kind: standin.RecordExecution, At: 7 * second, Started: 7 * second, Node: "two", Service: "s", Epoch: 2, Run: "r2"})
		}, "executed_but_not_run"},
		{"answered without a run", func(in *Input) {
			in.Results = append(in.Results, load.Result{Run: "r9", Outcome: load.OutcomeOK, Status: 200})
		}, "answered_but_not_executed"},
		{"answer of another request", func(in *Input) {
			in.Results[0].Outcome = load.OutcomeWrong
		}, "crossed_or_partial_answers"},
		{"refusal without advice", func(in *Input) {
			in.Results[1].RetryAfter = false
		}, "refused_without_retry_after"},
		{"configuration goes back", func(in *Input) {
			in.Results[1].Revision = 4
		}, "config_reverted"},
		{"change never in force", func(in *Input) {
			in.Changes[0].InForce = 0
		}, "config_not_in_force"},
		{"change in force too late", func(in *Input) {
			in.Changes[0].InForce = 9 * time.Second
		}, "config_not_in_force"},
		{"old configuration long after a change", func(in *Input) {
			in.Changes = append(in.Changes, Change{Service: "s", Prefix: "/p", Revision: 8, Accepted: time.Second, InForce: 2 * time.Second})
			in.Results[1].Sent, in.Results[1].Done = 15*time.Second, 16*time.Second
		}, "config_not_in_force"},
		{"acknowledged change lost", func(in *Input) {
			in.LostChanges = []string{"service s is back at an older value"}
		}, "lost_acknowledged"},
		{"both operators won", func(in *Input) {
			in.RacesWonTwice = 1
		}, "races_won_twice"},
		{"work after the word that it leaves", func(in *Input) {
			in.Records["two"] = append(in.Records["two"], standin.Record{Kind: standin.RecordDrain, At: 7 * second},
				standin.Record{Kind: standin.RecordExecution, At: 12 * second, Started: 11 * second, Node: "two", Service: "s", Epoch: 2, Run: "r5"})
		}, "work_after_drain"},
		{"cut with no fault at all", func(in *Input) {
			in.Results = append(in.Results, load.Result{Run: "r6", Outcome: load.OutcomeCut, Sent: 9 * time.Second, Done: 10 * time.Second})
		}, "cut_by_planned_stop"},
		{"cut during a planned stop", func(in *Input) {
			in.Unplanned = []Window{{From: time.Second, To: 2 * time.Second}}
			in.Planned = []Window{{From: 9 * time.Second, To: 11 * time.Second}}
			in.Results = append(in.Results, load.Result{Run: "r6", Outcome: load.OutcomeUnknown, Sent: 9 * time.Second, Done: 10 * time.Second})
		}, "cut_by_planned_stop"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			input := correctRun()
			test.violate(input)
			result := judgeRun(input)
			for _, count := range result.Violations.Counts() {
				is.Equal(count.Value > 0, count.Name == test.want) // this violation and no other
			}
			is.True(len(result.Check()) > 0)
		})
	}
}

func TestCutDuringAnUnplannedFaultIsNoViolation(t *testing.T) {
	is := is.New(t)
	input := correctRun()
	input.Unplanned = []Window{{From: 8 * time.Second, To: 11 * time.Second}}
	input.Results = append(input.Results, load.Result{Run: "r6", Outcome: load.OutcomeUnknown, Sent: 9 * time.Second, Done: 10 * time.Second})
	is.Equal(judgeRun(input).Check(), nil)
}

func TestRunThatCheckedNothingFails(t *testing.T) {
	is := is.New(t)
	empty := &report.Report{FaultsSet: "standard"}
	Judge(&Input{Window: Window{To: time.Second}}, empty)
	is.True(len(empty.Check()) >= 4)
	idle := judgeRun(correctRun())
	idle.Faults = []report.Fault{{Kind: "kill-node", TookEffect: false}}
	is.True(len(idle.Check()) > 0)
}

func TestNewOwnerIsTimedFromTheLoss(t *testing.T) {
	is := is.New(t)
	input := correctRun()
	input.Records["one"] = input.Records["one"][:4] // killed: no release
	input.NodeFailures = []NodeFailure{{Node: "one", At: 5500 * time.Millisecond}}
	result := judgeRun(input)
	is.Equal(result.Unavailable.NewOwnerMsMax, 500.0)
	is.Equal(result.Churn.MovesAfterFaults, 1)
	is.Equal(result.Unavailable.LongestGapMs, 1000.0)
}
