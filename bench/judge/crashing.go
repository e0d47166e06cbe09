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

// CrashingRequestPrefix begins the names of requests that make back ends crash; the stream's name and
// a number follow.
const CrashingRequestPrefix = "deadly-"

const (
	// crashesToQuarantine is the number of crashes after which a request must be quarantined, and
	// maxQuarantineDelay the time from the last of them until it must be. A back end without an
	// ingress is seen to have crashed only after its restart, which takes 1.5 s; 3 s more are
	// allowed. maxLateCrashes is the number of crashes after that time that are not a violation.
	crashesToQuarantine = 3
	maxQuarantineDelay  = 1500*time.Millisecond + 3*time.Second
	maxLateCrashes      = 3
)

// checkCrashing checks that each crashing stream is quarantined in time, counts the crashes that it causes,
// and checks that no other request was rejected as quarantined.
func (c *checker) checkCrashing() {
	byStream := map[string][]standin.Record{}
	for run, records := range c.executions {
		if name, found := strings.CutPrefix(run, CrashingRequestPrefix); found {
			stream := name[:strings.LastIndexByte(name, '-')]
			byStream[stream] = append(byStream[stream], records...)
		}
	}
	for stream, crashes := range byStream {
		slices.SortFunc(crashes, func(a, b standin.Record) int { return cmp.Compare(a.At, b.At) })
		c.report.Crashes.Total += len(crashes)
		if len(crashes) <= crashesToQuarantine {
			continue
		}
		late := 0
		for _, crash := range crashes[crashesToQuarantine:] {
			if time.Duration(crash.At-crashes[crashesToQuarantine-1].At) > maxQuarantineDelay {
				late++
			}
		}
		c.report.Crashes.Late += late
		if late > maxLateCrashes {
			c.addViolation(&c.report.Violations.CrashingSentOn, "a request of %s under which %d back ends had ended ended %d more, later than %v after the third", stream, crashesToQuarantine, late, maxQuarantineDelay)
		}
	}
	for i := range c.input.Results {
		result := &c.input.Results[i]
		if result.Outcome == load.OutcomeNotRun && result.Reason == wire.BackendReasonQuarantined {
			c.addViolation(&c.report.Violations.OthersQuarantined, "request %s (%s) was refused as quarantined", result.Run, result.Stream)
		}
	}
}
