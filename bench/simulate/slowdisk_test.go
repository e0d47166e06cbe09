package simulate

import (
	"fmt"
	"testing"
	"time"
)

const (
	// recoveredWithin is the time in which a group whose members run is to serve again.
	recoveredWithin = 15 * time.Second
	// electedWithin is the same on disks that are as good as usual.
	electedWithin = time.Second
	slowRun       = 40 * time.Second
	sampleEvery   = 10 * time.Millisecond
)

// Control was without a leader for seconds and until the end, though all members were up and answered within a
// millisecond: each stood for election again and again.
//
// Nothing fails in these runs: no message is lost, nobody is cut off. Only each sync of each disk takes long.
// A leader has to come, and then has to go on leading: a disk that is slow is no reason to change it.
//
// One goroutine drove the core and synced the log, so that a sync stopped the group's clockwork: a leader sent no
// heartbeats during its own, a follower answered none during its own, and a candidate's time to win ran out while
// its vote and the others' were being saved. Terms showed it: 113 in 40 s at 200 ms a sync, with every pre-vote
// granted. Now only what depends on a write waits for it, and the time to stand follows how long votes take to save.
func TestMembersWithSlowDisksFollowOneLeader(t *testing.T) {
	const seeds = 5
	for _, members := range []int{3, 4, 5} {
		for _, lost := range []int{0, 1} {
			for _, sync := range []time.Duration{2, 50, 100, 150, 200, 300, 500, 1000} {
				sync *= time.Millisecond
				t.Run(fmt.Sprintf("%d members, %d lost, %v", members, lost, sync), func(t *testing.T) {
					t.Parallel()
					within := recoveredWithin
					if sync < heartbeat {
						within = electedWithin
					}
					latest := time.Duration(0)
					for seed := range uint64(seeds) {
						first, without, term := ledFrom(Options{Seed: seed + 1, Members: members, Sync: sync, Length: slowRun}, lost)
						latest = max(latest, first)
						if first > within {
							t.Errorf("seed %d: nobody led for %v", seed+1, first)
						}
						if without > 0 {
							t.Errorf("seed %d: once somebody had led, nobody did for %v; term %d in the end", seed+1, without, term)
						}
					}
					t.Logf("a leader after %v at the latest", latest)
				})
			}
		}
	}
}

// Where only some disks are slow, each member sees what saving takes at its own. Those that are fast, and
// those that are slow, come to one leader all the same, also where a majority takes one of the slow.
func TestMembersWithAFewSlowDisksFollowOneLeader(t *testing.T) {
	const seeds = 10
	for _, members := range []int{3, 4, 5} {
		for slow := 1; slow < members; slow++ {
			for _, sync := range []time.Duration{200 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprintf("%d of %d, %v", slow, members, sync), func(t *testing.T) {
					t.Parallel()
					latest := time.Duration(0)
					for seed := range uint64(seeds) {
						first, without, term := ledFrom(Options{Seed: seed + 1, Members: members, Sync: sync, SlowDisks: slow, Length: slowRun}, 0)
						latest = max(latest, first)
						if first > recoveredWithin {
							t.Errorf("seed %d: nobody led for %v", seed+1, first)
						}
						if without > 0 {
							t.Errorf("seed %d: once somebody had led, nobody did for %v; term %d in the end", seed+1, without, term)
						}
					}
					t.Logf("a leader after %v at the latest", latest)
				})
			}
		}
	}
}

// answeredWithin is the time in which changes are to be taken again when one member is lost.
const answeredWithin = 2 * time.Second

// The leader's disk answers nothing for seconds. The leader itself runs, is heard and hears the others, and
// must not keep the place that another one could fill: what is committed would be answered to nobody.
func TestLeaderWhoseDiskHangsGivesWay(t *testing.T) {
	const (
		hangsFrom = 3 * time.Second
		hangsTo   = 13 * time.Second
	)
	for _, members := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			for seed := range uint64(8) {
				options := Options{Seed: seed + 1, Members: members, Length: hangsTo}
				options.applyDefaults()
				options.lossPermille, options.repeatPermille, options.latePermille = 0, 0, 0
				options.Length = hangsTo + time.Minute // nothing comes to rest within the run
				w := newWorld(options)
				w.build()
				answered, last, longest := 0, hangsFrom, time.Duration(0)
				w.later(hangsFrom, func() { w.leader().disk.hangsUntil = hangsTo })
				var sample func()
				sample = func() {
					w.later(sampleEvery, sample)
					if now := w.counts["commands answered"]; now > answered {
						answered, last = now, w.now
					}
					longest = max(longest, w.now-last)
				}
				w.later(hangsFrom, sample)
				w.run(hangsTo)
				if longest > answeredWithin {
					t.Errorf("seed %d: no command was answered for %v", seed+1, longest)
				}
			}
		})
	}
}

// ledFrom plays a run without faults, but that some members are lost from the start. It returns when a leader
// first served, for how long none did after that, and the highest term.
func ledFrom(options Options, lost int) (first, without time.Duration, term uint64) {
	options.applyDefaults()
	options.lossPermille, options.repeatPermille, options.latePermille = 0, 0, 0
	w := newWorld(options)
	w.build()
	for _, m := range w.members[:lost] {
		w.die(m.process)
	}
	first = slowRun
	var sample func()
	sample = func() {
		w.later(sampleEvery, sample)
		for _, m := range w.members {
			term = max(term, m.core.Term())
		}
		switch served := w.servingLeader() != nil; {
		case served:
			first = min(first, w.now)
		case first < slowRun:
			without += sampleEvery
		}
	}
	w.later(0, sample)
	w.run(options.Length)
	return first, without, term
}
