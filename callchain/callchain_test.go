package callchain

import (
	"fmt"
	"testing"
	"time"
)

func TestCallsOfRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		id   string
		at   time.Duration
		want bool
	}{
		"a call":                       {"a1.b2", 0, true},
		"a call of a call":             {"a1.b2.c3", 0, true},
		"the run itself":               {"a1", 0, false},
		"another request":              {"a12.b2", 0, false},
		"an ID that only begins alike": {"a1b2", 0, false},
		"no parent":                    {".a1", 0, false},
		"no ID":                        {"", 0, false},
		"after the deadline":           {"a1.b2", 2 * time.Second, false},
		"a parent with a separator":    {"x.y.b2", 0, true},
		"a sibling of that parent":     {"x.z.b2", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			repeats := New(func() time.Duration { return now })
			repeats.Add("a1", 2*time.Second)
			repeats.Add("x.y", 2*time.Second)
			now = c.at
			if got := repeats.HasCall(c.id); got != c.want {
				t.Errorf("HasCall(%q) is %t, want %t", c.id, got, c.want)
			}
		})
	}
}

// Guards against memory that grows with the requests: runs are forgotten after their deadlines, and there is a limit.
func TestRunsAreBounded(t *testing.T) {
	now := time.Duration(0)
	repeats := New(func() time.Duration { return now })
	for number := range 2 * maxRuns {
		repeats.Add(fmt.Sprint("first-", number), time.Minute)
	}
	if len(repeats.until) != maxRuns {
		t.Errorf("%d runs are remembered, want %d", len(repeats.until), maxRuns)
	}
	now = 2 * time.Minute
	repeats.Add("later", 3*time.Minute)
	if len(repeats.until) != 1 || !repeats.HasCall("later.1") {
		t.Errorf("%d runs are remembered after the deadline of all others, want 1", len(repeats.until))
	}
}
