package simulate

import (
	"fmt"
	"testing"
	"time"
)

// Guards the promises while disks are full, beside all other faults: of a member, of the leader and of a majority.
func TestPromisesHoldWithFullDisks(t *testing.T) {
	const seeds, parts = 100, 4
	for part := range uint64(parts) {
		t.Run(fmt.Sprintf("seeds from %d", part*seeds), func(t *testing.T) {
			t.Parallel()
			failedWrites := 0
			for seed := part * seeds; seed < (part+1)*seeds; seed++ {
				result := Run(Options{Seed: seed, FullDisks: true})
				failedWrites += result.Counts["writes without room"]
				if result.Failure != nil {
					t.Error(result.Failure)
				}
			}
			if failedWrites == 0 {
				t.Error("no write failed for lack of room")
			}
		})
	}
}

// A leader whose disk is full gives way to a member that can write. The load is one command at a time.
func TestLeaderWithFullDiskGivesWay(t *testing.T) {
	const (
		fullFrom  = 3 * time.Second
		fullUntil = 13 * time.Second
	)
	for _, members := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			for seed := range uint64(8) {
				longest := longestUnanswered(seed+1, members, fullFrom, fullUntil, func(w *simulation) { w.leader().disk.fullUntil = fullUntil })
				if longest > maxUnanswered {
					t.Errorf("seed %d: no command was answered for %v", seed+1, longest)
				}
			}
		})
	}
}
