package simulate

import (
	"fmt"
	"testing"
	"time"
)

const (
	// maxRecovery is the time within which a running group must have a serving leader.
	maxRecovery = 15 * time.Second
	// maxElectionTime is that time if syncs are shorter than a heartbeat interval.
	maxElectionTime = time.Second
	slowRun         = 40 * time.Second
	sampleEvery     = 10 * time.Millisecond
)

// Guards against endless elections on slow disks: syncs must not delay heartbeats or their answers, nor
// use up a candidate's election timeout. The only other fault is at most one member that is down.
func TestMembersWithSlowDisksFollowOneLeader(t *testing.T) {
	const seeds = 5
	for _, members := range []int{3, 4, 5} {
		for _, lost := range []int{0, 1} {
			for _, sync := range []time.Duration{2, 50, 100, 150, 200, 300, 500, 1000} {
				sync *= time.Millisecond
				t.Run(fmt.Sprintf("%d members, %d lost, %v", members, lost, sync), func(t *testing.T) {
					t.Parallel()
					limit := maxRecovery
					if sync < heartbeat {
						limit = maxElectionTime
					}
					latest := time.Duration(0)
					for seed := range uint64(seeds) {
						first, leaderless, term := observeLeadership(Options{Seed: seed + 1, Members: members, Sync: sync, Length: slowRun}, lost)
						latest = max(latest, first)
						if first > limit {
							t.Errorf("seed %d: no leader for the first %v", seed+1, first)
						}
						if leaderless > 0 {
							t.Errorf("seed %d: no leader for %v after the first one; final term %d", seed+1, leaderless, term)
						}
					}
					t.Logf("first leader after at most %v", latest)
				})
			}
		}
	}
}

// Members with slow disks and members with fast disks must agree on one leader, also when
// every majority includes a slow disk.
func TestMembersWithAFewSlowDisksFollowOneLeader(t *testing.T) {
	const seeds = 10
	for _, members := range []int{3, 4, 5} {
		for slow := 1; slow < members; slow++ {
			for _, sync := range []time.Duration{200 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprintf("%d of %d, %v", slow, members, sync), func(t *testing.T) {
					t.Parallel()
					latest := time.Duration(0)
					for seed := range uint64(seeds) {
						first, leaderless, term := observeLeadership(Options{Seed: seed + 1, Members: members, Sync: sync, SlowDisks: slow, Length: slowRun}, 0)
						latest = max(latest, first)
						if first > maxRecovery {
							t.Errorf("seed %d: no leader for the first %v", seed+1, first)
						}
						if leaderless > 0 {
							t.Errorf("seed %d: no leader for %v after the first one; final term %d", seed+1, leaderless, term)
						}
					}
					t.Logf("first leader after at most %v", latest)
				})
			}
		}
	}
}

// maxUnanswered is the longest time without an answered command after one member fails.
const maxUnanswered = 2 * time.Second

// A leader whose disk hangs while its network works must step down: it cannot commit anything.
func TestLeaderWhoseDiskHangsGivesWay(t *testing.T) {
	const (
		blockedFrom  = 3 * time.Second
		blockedUntil = 13 * time.Second
	)
	for _, members := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			for seed := range uint64(8) {
				longest := longestUnanswered(seed+1, members, blockedFrom, blockedUntil, func(w *simulation) { w.leader().disk.blockedUntil = blockedUntil })
				if longest > maxUnanswered {
					t.Errorf("seed %d: no command was answered for %v", seed+1, longest)
				}
			}
		})
	}
}

// longestUnanswered simulates a run in which only the given fault is injected, at from, and returns the longest time
// without an answered command between then and until.
func longestUnanswered(seed uint64, members int, from, until time.Duration, inject func(*simulation)) time.Duration {
	options := Options{Seed: seed, Members: members, Length: until}
	options.applyDefaults()
	options.lossPermille, options.duplicatePermille, options.delayedPermille = 0, 0, 0
	options.Length = until + time.Minute // operators work until the end of the run
	w := newSimulation(options)
	w.build()
	answered, last, longest := 0, from, time.Duration(0)
	w.schedule(from, func() { inject(w) })
	var sample func()
	sample = func() {
		w.schedule(sampleEvery, sample)
		if now := w.counts["commands answered"]; now > answered {
			answered, last = now, w.now
		}
		longest = max(longest, w.now-last)
	}
	w.schedule(from, sample)
	w.run(until)
	return longest
}

// observeLeadership simulates a run in which members[:lost] are down from the start and there are no other
// faults. It returns the time of the first serving leader, the time without one after that, and the highest
// term.
func observeLeadership(options Options, lost int) (first, leaderless time.Duration, term uint64) {
	options.applyDefaults()
	options.lossPermille, options.duplicatePermille, options.delayedPermille = 0, 0, 0
	w := newSimulation(options)
	w.build()
	for _, m := range w.members[:lost] {
		w.crash(m.process)
	}
	first = slowRun
	var sample func()
	sample = func() {
		w.schedule(sampleEvery, sample)
		for _, m := range w.members {
			term = max(term, m.core.Term())
		}
		switch served := w.servingLeader() != nil; {
		case served:
			first = min(first, w.now)
		case first < slowRun:
			leaderless += sampleEvery
		}
	}
	w.schedule(0, sample)
	w.run(options.Length)
	return first, leaderless, term
}
