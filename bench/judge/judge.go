// Package judge joins what callers saw with what back ends recorded, and finds
// the promises that were broken. It knows nothing of what limehold itself says.
package judge

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"limehold/bench/load"
	"limehold/bench/report"
	"limehold/bench/standin"
)

// Window is a time for which something held, as readings of the records' clock.
type Window struct {
	From time.Duration
	To   time.Duration
}

func (w Window) overlaps(from, to time.Duration) bool { return from < w.To && to > w.From }

// Loss is the moment at which a node was lost without notice.
type Loss struct {
	Node string
	At   time.Duration
}

// Change is one accepted change of configuration.
type Change struct {
	Service  string
	Prefix   string
	Revision uint64
	// Accepted is when the operator had the answer.
	Accepted time.Duration
	// InForce is when every router was seen to have it; zero: never.
	InForce time.Duration
}

// Input is everything that a run has written down.
type Input struct {
	Results []load.Result
	// Records of the back ends, by node, in the order of their writing.
	Records map[string][]standin.Record
	// Pools maps each node to its pool.
	Pools map[string]string
	// Window of the load.
	Window Window
	// KeyedShards counts the shards, KeysPerShard the keys in each.
	KeyedShards  int
	KeysPerShard float64
	// Planned stops, and times of unplanned faults with the recovery from them.
	Planned   []Window
	Unplanned []Window
	Losses    []Loss
	Changes   []Change
	// LostChanges, Conflicts and RacesWonTwice are the operators' own findings.
	LostChanges   []string
	Conflicts     int
	RacesWonTwice int
	// InForceBound is how soon an accepted change must be in force.
	InForceBound time.Duration
}

const (
	// drainBound is how long after its word a leaving back end may get new work.
	drainBound = 3 * time.Second
	// evidenceLimit bounds the descriptions in a report.
	evidenceLimit = 40
	// BaselinePrefix begins the names of requests sent straight to back ends.
	BaselinePrefix = "direct-"
)

type judge struct {
	input  *Input
	report *report.Report
	// executions by the request's name.
	executions map[string][]standin.Record
}

// Judge fills a report with violations and measures.
func Judge(input *Input, into *report.Report) {
	j := &judge{input: input, report: into, executions: map[string][]standin.Record{}}
	j.index()
	j.countOutcomes()
	j.judgeExecutions()
	j.judgeAnswers()
	j.judgeOwners()
	j.judgeDrains()
	j.judgePlannedStops()
	j.judgeConfiguration()
	j.judgeDeadly()
	j.measure()
}

// evidence notes a violation; the counter is raised in any case.
func (j *judge) evidence(counter *int, format string, arguments ...any) {
	*counter++
	if len(j.report.Evidence) < evidenceLimit {
		j.report.Evidence = append(j.report.Evidence, fmt.Sprintf(format, arguments...))
	}
}

func (j *judge) index() {
	for _, records := range j.input.Records {
		for i := range records {
			record := &records[i]
			switch record.Kind {
			case standin.RecordGrant:
				j.report.Grants++
			case standin.RecordExecution:
				if strings.HasPrefix(record.Run, BaselinePrefix) {
					continue
				}
				j.report.Executions++
				j.executions[record.Run] = append(j.executions[record.Run], *record)
			}
		}
	}
}

func (j *judge) countOutcomes() {
	j.report.RefusedByReason = map[string]int{}
	for i := range j.input.Results {
		result := &j.input.Results[i]
		j.report.Requests++
		switch result.Outcome {
		case load.OutcomeOK:
			j.report.OK++
		case load.OutcomeNotRun, load.OutcomeNotSent:
			j.report.NotRun++
			j.report.RefusedByReason[reasonOf(result)]++
		case load.OutcomeCut:
			j.report.Cut++
		case load.OutcomeNoAnswer:
			j.report.NoAnswer++
		case load.OutcomeFailed:
			j.report.Failed++
		default:
			j.report.Unknown++
			j.report.RefusedByReason["unknown:"+result.Reason]++
		}
	}
	if j.report.Requests > 0 {
		j.report.AddedLoadPercent = 100 * float64(j.extraExecutions()) / float64(j.report.Requests)
	}
}

func reasonOf(result *load.Result) string {
	if result.Outcome == load.OutcomeNotSent {
		return "no-router"
	}
	return result.Reason
}

// extraExecutions counts executions beyond the first of each request.
func (j *judge) extraExecutions() int {
	extra := 0
	for _, list := range j.executions {
		extra += len(list) - 1
	}
	return extra
}

// judgeExecutions checks that what was refused did not run, that what may not
// be repeated ran at most once, and that an answer came from a run.
func (j *judge) judgeExecutions() {
	violations := &j.report.Violations
	for i := range j.input.Results {
		result := &j.input.Results[i]
		ran := len(j.executions[result.Run])
		refused := result.Outcome == load.OutcomeNotRun || result.Outcome == load.OutcomeNotSent
		if refused && ran > 0 {
			j.evidence(&violations.ExecutedButNotRun, "request %s (%s) was answered not-run (%s) and ran on %s", result.Run, result.Stream, result.Reason, j.executions[result.Run][0].Node)
		}
		if !result.Repeatable && ran > 1 {
			j.evidence(&violations.ExecutedTwice, "request %s (%s) may not be repeated and ran %d times", result.Run, result.Stream, ran)
		}
		if result.Outcome == load.OutcomeOK && ran == 0 {
			j.evidence(&violations.AnsweredButNotRun, "request %s (%s) has an answer and no execution", result.Run, result.Stream)
		}
	}
}

func (j *judge) judgeAnswers() {
	violations := &j.report.Violations
	for i := range j.input.Results {
		result := &j.input.Results[i]
		if result.Outcome == load.OutcomeWrong {
			j.evidence(&violations.CrossedOrPartial, "request %s (%s) got an answer that is not its own: %s", result.Run, result.Stream, result.Error)
		}
		if result.Outcome == load.OutcomeNotRun && result.Status == statusUnavailable && !result.RetryAfter {
			j.evidence(&violations.RefusedWithNoAdvice, "request %s was refused (%s) without Retry-After", result.Run, result.Reason)
		}
	}
}

const statusUnavailable = 503

func (j *judge) judgeOwners() {
	for shard, list := range merge(j.input.Records) {
		for _, text := range overlaps(shard, list) {
			j.evidence(&j.report.Violations.OverlappingOwners, "%s", text)
		}
	}
	j.judgeEpochs()
}

// judgeEpochs checks that once a shard has run a request under an epoch, none
// runs under an older one.
func (j *judge) judgeEpochs() {
	byShard := map[shardID][]standin.Record{}
	for _, list := range j.executions {
		for _, record := range list {
			if record.Epoch > 0 {
				shard := shardID{record.Service, record.Shard}
				byShard[shard] = append(byShard[shard], record)
			}
		}
	}
	for shard, list := range byShard {
		slices.SortFunc(list, func(a, b standin.Record) int { return int(min(1, max(-1, a.At-b.At))) })
		newest := uint64(0)
		for _, record := range list {
			if record.Epoch < newest {
				j.evidence(&j.report.Violations.OverlappingOwners, "shard %s: request %s ran on %s under epoch %d after epoch %d", shard, record.Run, record.Node, record.Epoch, newest)
			}
			newest = max(newest, record.Epoch)
		}
	}
}

// judgeDrains looks for work that began long after a back end said it leaves.
func (j *judge) judgeDrains() {
	for node, records := range j.input.Records {
		leaving := int64(0)
		for i := range records {
			record := &records[i]
			switch record.Kind {
			case standin.RecordStart:
				leaving = 0
			case standin.RecordDrain:
				leaving = record.At
			case standin.RecordExecution:
				if leaving > 0 && record.Started > leaving+int64(drainBound) && !strings.HasPrefix(record.Run, BaselinePrefix) {
					j.evidence(&j.report.Violations.WorkAfterDrain, "request %s began on %s %s after it said that it leaves", record.Run, node, time.Duration(record.Started-leaving))
				}
			}
		}
	}
}

// judgePlannedStops looks for requests without an answer while only planned
// stops were under way.
func (j *judge) judgePlannedStops() {
	for i := range j.input.Results {
		result := &j.input.Results[i]
		switch result.Outcome {
		case load.OutcomeUnknown, load.OutcomeCut, load.OutcomeNoAnswer:
		default:
			continue
		}
		if within(j.input.Unplanned, result) || !within(j.input.Planned, result) && len(j.input.Unplanned) > 0 {
			continue
		}
		j.evidence(&j.report.Violations.CutByPlannedStop, "request %s (%s) by %s ended %s (%s %s) with no unplanned fault under way, %.3fs after the start",
			result.Run, result.Stream, result.Router, result.Outcome, result.Reason, result.Error, (result.Sent - j.input.Window.From).Seconds())
	}
}

func within(windows []Window, result *load.Result) bool {
	return slices.ContainsFunc(windows, func(window Window) bool { return window.overlaps(result.Sent, result.Done) })
}

// judgeConfiguration checks that no router went back to an older revision, and
// that accepted changes came into force in time.
func (j *judge) judgeConfiguration() {
	violations := &j.report.Violations
	for _, text := range j.input.LostChanges {
		j.evidence(&violations.LostAcknowledged, "%s", text)
	}
	violations.RacesWonTwice += j.input.RacesWonTwice
	j.judgeReverted()
	j.judgeOutdated()
	for _, change := range j.input.Changes {
		if change.InForce == 0 || change.InForce-change.Accepted > j.input.InForceBound {
			j.evidence(&violations.ConfigNotInForce, "revision %d of service %s was not in force at all routers within %s", change.Revision, change.Service, j.input.InForceBound)
		}
	}
}

// judgeOutdated looks for requests that were handled under an older revision
// long after a change had been accepted.
func (j *judge) judgeOutdated() {
	for i := range j.input.Results {
		result := &j.input.Results[i]
		if result.Revision == 0 || result.Reason == reasonNotCurrent {
			continue
		}
		for _, change := range j.input.Changes {
			if change.Prefix == result.Prefix && result.Revision < change.Revision && result.Sent > change.Accepted+j.input.InForceBound {
				j.evidence(&j.report.Violations.ConfigNotInForce, "%s handled request %s to %s under revision %d, %s after revision %d had been accepted",
					result.Router, result.Run, result.Prefix, result.Revision, result.Sent-change.Accepted, change.Revision)
			}
		}
	}
}

// reasonNotCurrent is the refusal of a router that admits nothing because it
// cannot confirm its configuration (docs/CALLERS.md).
const reasonNotCurrent = "not-current"

// judgeReverted compares requests to the same service at the same router of
// which one began after the other had ended.
func (j *judge) judgeReverted() {
	type place struct{ router, prefix string }
	byPlace := map[place][]*load.Result{}
	for i := range j.input.Results {
		result := &j.input.Results[i]
		if result.Revision > 0 {
			at := place{result.Router, result.Prefix}
			byPlace[at] = append(byPlace[at], result)
		}
	}
	for at, list := range byPlace {
		bySent := slices.Clone(list)
		slices.SortFunc(bySent, func(a, b *load.Result) int { return int(min(1, max(-1, a.Sent-b.Sent))) })
		slices.SortFunc(list, func(a, b *load.Result) int { return int(min(1, max(-1, a.Done-b.Done))) })
		newest, ended := uint64(0), 0
		for _, result := range bySent {
			for ended < len(list) && list[ended].Done < result.Sent {
				newest = max(newest, list[ended].Revision)
				ended++
			}
			if result.Revision < newest {
				j.evidence(&j.report.Violations.ConfigReverted, "%s handled request %s to %s under revision %d after revision %d", at.router, result.Run, at.prefix, result.Revision, newest)
			}
		}
	}
}
