package diskspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// write is a write at a time, in seconds.
type write struct {
	at   time.Duration
	step Step
	full bool
}

func (w write) String() string { return fmt.Sprintf("%d %s full=%t", w.at, w.step, w.full) }

func (w write) apply(m *Monitor) (Report, bool) {
	if w.full {
		return m.Failed(w.at*time.Second, w.step, "no room")
	}
	return m.Succeeded(w.at*time.Second, w.step)
}

func TestChangesAreReportedOnce(t *testing.T) {
	type report struct {
		at   time.Duration
		full bool
	}
	for name, test := range map[string]struct {
		writes []write
		want   []report
		full   bool
	}{
		"room throughout":                     {writes: []write{{1, StepLog, false}, {2, StepSnapshot, false}}},
		"full and retried":                    {writes: []write{{1, StepLog, true}, {2, StepLog, true}, {3, StepLog, true}}, want: []report{{1, true}}, full: true},
		"room again":                          {writes: []write{{1, StepLog, true}, {2, StepLog, false}, {3, StepLog, false}}, want: []report{{1, true}, {2, false}}},
		"room for the log, not for snapshots": {writes: []write{{1, StepSnapshot, true}, {2, StepLog, true}, {3, StepLog, false}}, want: []report{{1, true}}, full: true},
		"room for all":                        {writes: []write{{1, StepSnapshot, true}, {2, StepLog, false}, {7, StepSnapshot, false}}, want: []report{{1, true}, {7, false}}},
		"full and free by turns":              {writes: []write{{1, StepLog, true}, {2, StepLog, false}, {3, StepLog, true}, {4, StepLog, false}, {12, StepLog, true}}, want: []report{{1, true}, {2, false}, {12, true}}, full: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m Monitor
			var got []report
			for _, w := range test.writes {
				if r, ok := w.apply(&m); ok {
					got = append(got, report{w.at, r.Full})
				}
			}
			is.Equal(got, test.want)
			is.Equal(m.Full(), test.full)
		})
	}
}

// Whatever the disk does, one line at most says in a quiet period that it is full, one at most follows that it has
// room again, and the state is that of the newest writes.
func TestReportsAreBounded(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var m Monitor
		newest := map[Step]bool{}
		var reports []Report
		lastFull := -quietPeriod
		for at := time.Duration(1); at < 300; at += time.Duration(random.IntN(3)) {
			w := write{at, Step(random.IntN(int(stepCount))), random.IntN(2) == 0}
			newest[w.step] = w.full
			if r, ok := w.apply(&m); ok {
				if r.Full && at*time.Second-lastFull < quietPeriod {
					t.Fatalf("seed %d: reported as full at %v and %v", seed, lastFull, at*time.Second)
				}
				if r.Full {
					lastFull = at * time.Second
				}
				reports = append(reports, r)
			}
			if full := newest[StepLog] || newest[StepSnapshot] || newest[StepIdentity]; m.Full() != full {
				t.Fatalf("seed %d, %v: full is %t", seed, w, m.Full())
			}
		}
		for i := range reports {
			if reports[i].Full != (i%2 == 0) {
				t.Fatalf("seed %d: report %d is %+v", seed, i, reports[i])
			}
		}
	}
}
