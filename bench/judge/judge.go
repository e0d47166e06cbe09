// Package judge compares the results that callers recorded with the records of the back ends
// and reports violated guarantees. It uses no data of limehold itself.
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

// Window is an interval of the records' clock.
type Window struct {
	From time.Duration
	To   time.Duration
}

func (w Window) overlaps(from, to time.Duration) bool { return from < w.To && to > w.From }

// NodeFailure is an unannounced failure of a node.
type NodeFailure struct {
	Node string
	At   time.Duration
}

// Change is one accepted change of the configuration.
type Change struct {
	Service  string
	Prefix   string
	Revision uint64
	// Accepted is the time at which the operator received the answer.
	Accepted time.Duration
	// InForce is the time at which every router was seen to use the change; 0 if that
	// was never seen.
	InForce time.Duration
}

// Input holds everything that a run has recorded.
type Input struct {
	Results []load.Result
	// Records holds the back ends' records by node, in the order in which they were written.
	Records map[string][]standin.Record
	// Pools maps each node to its pool.
	Pools map[string]string
	// Window is the interval in which load was generated.
	Window Window
	// KeyedShards is the number of shards, KeysPerShard the number of keys in each.
	KeyedShards  int
	KeysPerShard float64
	// Planned holds the planned stops, Unplanned the faults including the recovery from them.
	Planned      []Window
	Unplanned    []Window
	NodeFailures []NodeFailure
	Changes      []Change
	// LostChanges, Conflicts and RacesWonTwice are the findings of the operators.
	LostChanges   []string
	Conflicts     int
	RacesWonTwice int
	// InForceBound is the time within which an accepted change must be in force.
	InForceBound time.Duration
}

const (
	// maxDrainDelay is the time after its announcement in which a draining back end may still
	// receive new work.
	maxDrainDelay = 3 * time.Second
	// maxEvidence is the maximum number of descriptions in a report.
	maxEvidence = 40
	// BaselinePrefix begins the names of requests that are sent directly to back ends.
	BaselinePrefix = "direct-"
)

type checker struct {
	input  *Input
	report *report.Report
	// executions holds the executions by request name.
	executions map[string][]standin.Record
}

// Judge adds violations and measurements to a report.
func Judge(input *Input, into *report.Report) {
	c := &checker{input: input, report: into, executions: map[string][]standin.Record{}}
	c.indexExecutions()
	c.countOutcomes()
	c.checkExecutions()
	c.checkAnswers()
	c.checkOwners()
	c.checkDrains()
	c.checkPlannedStops()
	c.checkConfiguration()
	c.checkCrashing()
	c.measure()
}

// addViolation counts a violation and describes it if the report has room for more evidence.
func (c *checker) addViolation(counter *int, format string, arguments ...any) {
	*counter++
	if len(c.report.Evidence) < maxEvidence {
		c.report.Evidence = append(c.report.Evidence, fmt.Sprintf(format, arguments...))
	}
}

func (c *checker) indexExecutions() {
	for _, records := range c.input.Records {
		for i := range records {
			record := &records[i]
			switch record.Kind {
			case standin.RecordGrant:
				c.report.Grants++
			case standin.RecordExecution:
				if strings.HasPrefix(record.Run, BaselinePrefix) {
					continue
				}
				c.report.Executions++
				c.executions[record.Run] = append(c.executions[record.Run], *record)
			}
		}
	}
}

func (c *checker) countOutcomes() {
	c.report.RefusedByReason = map[string]int{}
	for i := range c.input.Results {
		result := &c.input.Results[i]
		c.report.Requests++
		switch result.Outcome {
		case load.OutcomeOK:
			c.report.OK++
		case load.OutcomeNotRun, load.OutcomeNotSent:
			c.report.NotRun++
			c.report.RefusedByReason[reasonOf(result)]++
		case load.OutcomeCut:
			c.report.Cut++
		case load.OutcomeNoAnswer:
			c.report.NoAnswer++
		case load.OutcomeFailed:
			c.report.Failed++
		default:
			c.report.Unknown++
			c.report.RefusedByReason["unknown:"+result.Reason]++
		}
	}
	if c.report.Requests > 0 {
		c.report.AddedLoadPercent = 100 * float64(c.extraExecutions()) / float64(c.report.Requests)
	}
}

func reasonOf(result *load.Result) string {
	if result.Outcome == load.OutcomeNotSent {
		return "no-router"
	}
	return result.Reason
}

// extraExecutions returns the number of executions beyond the first of each request.
func (c *checker) extraExecutions() int {
	extra := 0
	for _, list := range c.executions {
		extra += len(list) - 1
	}
	return extra
}

// checkExecutions checks that rejected requests did not run, that requests that are not
// repeatable ran at most once, and that every answer comes from an execution.
func (c *checker) checkExecutions() {
	violations := &c.report.Violations
	for i := range c.input.Results {
		result := &c.input.Results[i]
		executionCount := len(c.executions[result.Run])
		rejected := result.Outcome == load.OutcomeNotRun || result.Outcome == load.OutcomeNotSent
		if rejected && executionCount > 0 {
			c.addViolation(&violations.ExecutedButNotRun, "request %s (%s) was answered not-run (%s) and ran on %s", result.Run, result.Stream, result.Reason, c.executions[result.Run][0].Node)
		}
		if !result.Repeatable && executionCount > 1 {
			c.addViolation(&violations.ExecutedTwice, "request %s (%s) may not be repeated and ran %d times", result.Run, result.Stream, executionCount)
		}
		if result.Outcome == load.OutcomeOK && executionCount == 0 {
			c.addViolation(&violations.AnsweredButNotRun, "request %s (%s) has an answer and no execution", result.Run, result.Stream)
		}
	}
}

func (c *checker) checkAnswers() {
	violations := &c.report.Violations
	for i := range c.input.Results {
		result := &c.input.Results[i]
		if result.Outcome == load.OutcomeWrong {
			c.addViolation(&violations.CrossedOrPartial, "request %s (%s) got an answer that is not its own: %s", result.Run, result.Stream, result.Error)
		}
		if result.Outcome == load.OutcomeNotRun && result.Status == statusUnavailable && !result.RetryAfter {
			c.addViolation(&violations.RefusedWithNoAdvice, "request %s was refused (%s) without Retry-After", result.Run, result.Reason)
		}
	}
}

const statusUnavailable = 503

func (c *checker) checkOwners() {
	for shard, list := range mergeOwnerships(c.input.Records) {
		for _, text := range ownershipConflicts(shard, list) {
			c.addViolation(&c.report.Violations.OverlappingOwners, "%s", text)
		}
	}
	c.checkEpochs()
}

// checkEpochs checks that a shard runs no request under an older epoch than that of an
// earlier request.
func (c *checker) checkEpochs() {
	byShard := map[shardID][]standin.Record{}
	for _, list := range c.executions {
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
				c.addViolation(&c.report.Violations.OverlappingOwners, "shard %s: request %s ran on %s under epoch %d after epoch %d", shard, record.Run, record.Node, record.Epoch, newest)
			}
			newest = max(newest, record.Epoch)
		}
	}
}

// checkDrains finds requests that began more than maxDrainDelay after a back end announced
// that it drains.
func (c *checker) checkDrains() {
	for node, records := range c.input.Records {
		drainedAt := int64(0)
		for i := range records {
			record := &records[i]
			switch record.Kind {
			case standin.RecordStart:
				drainedAt = 0
			case standin.RecordDrain:
				drainedAt = record.At
			case standin.RecordExecution:
				if drainedAt > 0 && record.Started > drainedAt+int64(maxDrainDelay) && !strings.HasPrefix(record.Run, BaselinePrefix) {
					c.addViolation(&c.report.Violations.WorkAfterDrain, "request %s began on %s %s after it said that it leaves", record.Run, node, time.Duration(record.Started-drainedAt))
				}
			}
		}
	}
}

// checkPlannedStops finds requests without a complete answer that ran during planned stops
// and no unplanned fault, or in a run without unplanned faults.
func (c *checker) checkPlannedStops() {
	for i := range c.input.Results {
		result := &c.input.Results[i]
		switch result.Outcome {
		case load.OutcomeUnknown, load.OutcomeCut, load.OutcomeNoAnswer:
		default:
			continue
		}
		if overlapsAny(c.input.Unplanned, result) || !overlapsAny(c.input.Planned, result) && len(c.input.Unplanned) > 0 {
			continue
		}
		c.addViolation(&c.report.Violations.CutByPlannedStop, "request %s (%s) by %s ended %s (%s %s) with no unplanned fault under way, %.3fs after the start",
			result.Run, result.Stream, result.Router, result.Outcome, result.Reason, result.Error, (result.Sent - c.input.Window.From).Seconds())
	}
}

func overlapsAny(windows []Window, result *load.Result) bool {
	return slices.ContainsFunc(windows, func(window Window) bool { return window.overlaps(result.Sent, result.Done) })
}

// checkConfiguration checks that no router returns to an older revision, and that accepted
// changes come into force in time.
func (c *checker) checkConfiguration() {
	violations := &c.report.Violations
	for _, text := range c.input.LostChanges {
		c.addViolation(&violations.LostAcknowledged, "%s", text)
	}
	violations.RacesWonTwice += c.input.RacesWonTwice
	c.checkReverted()
	c.checkOutdated()
	for _, change := range c.input.Changes {
		if change.InForce == 0 || change.InForce-change.Accepted > c.input.InForceBound {
			c.addViolation(&violations.ConfigNotInForce, "revision %d of service %s was not in force at all routers within %s", change.Revision, change.Service, c.input.InForceBound)
		}
	}
}

// checkOutdated finds requests that were handled under an older revision more than
// InForceBound after a change was accepted.
func (c *checker) checkOutdated() {
	for i := range c.input.Results {
		result := &c.input.Results[i]
		if result.Revision == 0 || result.Reason == reasonNotCurrent {
			continue
		}
		for _, change := range c.input.Changes {
			if change.Prefix == result.Prefix && result.Revision < change.Revision && result.Sent > change.Accepted+c.input.InForceBound {
				c.addViolation(&c.report.Violations.ConfigNotInForce, "%s handled request %s to %s under revision %d, %s after revision %d had been accepted",
					result.Router, result.Run, result.Prefix, result.Revision, result.Sent-change.Accepted, change.Revision)
			}
		}
	}
}

// reasonNotCurrent is the reason for which a router rejects requests while it cannot confirm
// its configuration (docs/CALLERS.md).
const reasonNotCurrent = "not-current"

// checkReverted checks, for each service at each router, that a request that starts after
// another has ended is not handled under an older revision.
func (c *checker) checkReverted() {
	type endpoint struct{ router, prefix string }
	byEndpoint := map[endpoint][]*load.Result{}
	for i := range c.input.Results {
		result := &c.input.Results[i]
		if result.Revision > 0 {
			key := endpoint{result.Router, result.Prefix}
			byEndpoint[key] = append(byEndpoint[key], result)
		}
	}
	for key, list := range byEndpoint {
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
				c.addViolation(&c.report.Violations.ConfigReverted, "%s handled request %s to %s under revision %d after revision %d", key.router, result.Run, key.prefix, result.Revision, newest)
			}
		}
	}
}
