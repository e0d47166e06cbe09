package judge

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"limehold/bench/load"
	"limehold/bench/standin"
	"limehold/wire"
)

// DeadlyPrefix begins the names of requests under which back ends end; the stream's name and
// a number follow.
const DeadlyPrefix = "deadly-"

const (
	// deadlyEnds is how many ends show that a request brings them about, deadlyKnown how long
	// after the third everybody is to know it: a back end that has no ingress before it is seen
	// to have ended when it is up again, which takes a second and a half, and three seconds are
	// allowed from then on. deadlyMore is how often it may be sent on later than that.
	deadlyEnds  = 3
	deadlyKnown = 1500*time.Millisecond + 3*time.Second
	deadlyMore  = 3
)

// judgeDeadly counts the ends of back ends under one and the same request, and the other
// requests that were taken for such a one.
func (j *judge) judgeDeadly() {
	byStream := map[string][]standin.Record{}
	for run, records := range j.executions {
		if name, found := strings.CutPrefix(run, DeadlyPrefix); found {
			stream := name[:strings.LastIndexByte(name, '-')]
			byStream[stream] = append(byStream[stream], records...)
		}
	}
	for stream, ends := range byStream {
		slices.SortFunc(ends, func(a, b standin.Record) int { return cmp.Compare(a.At, b.At) })
		j.report.Deadly.Ends += len(ends)
		if len(ends) <= deadlyEnds {
			continue
		}
		late := 0
		for _, end := range ends[deadlyEnds:] {
			if time.Duration(end.At-ends[deadlyEnds-1].At) > deadlyKnown {
				late++
			}
		}
		j.report.Deadly.EndsLate += late
		if late > deadlyMore {
			j.evidence(&j.report.Violations.DeadlySentOn, "a request of %s under which %d back ends had ended ended %d more, later than %v after the third", stream, deadlyEnds, late, deadlyKnown)
		}
	}
	for i := range j.input.Results {
		result := &j.input.Results[i]
		if result.Outcome == load.OutcomeNotRun && result.Reason == wire.BackendReasonQuarantined {
			j.evidence(&j.report.Violations.OthersQuarantined, "request %s (%s) was refused as quarantined", result.Run, result.Stream)
		}
	}
}
