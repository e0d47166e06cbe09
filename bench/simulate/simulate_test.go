package simulate

import (
	"testing"

	"github.com/matryer/is"
)

// regressionSeeds maps seeds that once failed to the cause of the failure.
var regressionSeeds = map[uint64]string{
	334:  "a voter rejected a vote request because its own configuration was older",
	356:  "a leader without a successor neither kept its lease nor stepped down",
	1264: "an operator's configuration change reached a frozen leader late",
	3740: "two commands had one ID",

	100229: "a member replacement waited for the end of a growing log",
	108845: "a leader that committed its own removal continued to send messages, and crashed",
	205676: "a lost snapshot was resent only after seconds",
	210305: "a lost snapshot was resent only after seconds",
	102968: "a member replacement was reported complete before the promotion was committed",
	109853: "a member replacement was reported complete before the promotion was committed",
	107585: "a node released its shards although the close of its session was lost",
}

func TestPromisesHoldUnderDrawnFaults(t *testing.T) {
	const seeds = 1000
	summary := RunMany(1, seeds, 1)
	for _, failure := range summary.Failures {
		minimal := Minimize(failure)
		t.Errorf("%v\nfaults: %q\nlast events: %q", minimal, minimal.Faults, minimal.Trace)
	}
	t.Logf("%d steps, %.0f virtual seconds", summary.Steps, summary.VirtualSeconds)
}

func TestSeedsThatOnceFailed(t *testing.T) {
	for seed, cause := range regressionSeeds {
		if failure := Run(Options{Seed: seed}).Failure; failure != nil {
			t.Errorf("%s: %v", cause, failure)
		}
	}
}

func TestSeedGivesTheSameRunAgain(t *testing.T) {
	is := is.New(t)
	first, second := Run(Options{Seed: 7}), Run(Options{Seed: 7})
	is.Equal(first.Steps, second.Steps)
	is.Equal(first.Counts, second.Counts)
}
