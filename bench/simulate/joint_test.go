package simulate

import (
	"fmt"
	"testing"
)

// Guards the promises while members that lost their disks are replaced by joint changes, beside all other faults.
func TestPromisesHoldWithJointReplacements(t *testing.T) {
	const seeds, parts = 100, 4
	for part := range uint64(parts) {
		t.Run(fmt.Sprintf("seeds from %d", part*seeds), func(t *testing.T) {
			t.Parallel()
			joint, replaced := 0, 0
			for seed := part * seeds; seed < (part+1)*seeds; seed++ {
				result := Run(Options{Seed: seed, JointReplacements: true})
				joint += result.Counts["joint configurations"]
				replaced += result.Counts["members replaced"]
				if result.Failure != nil {
					t.Error(result.Failure)
				}
			}
			if joint == 0 || replaced == 0 {
				t.Errorf("%d joint configurations, %d members replaced", joint, replaced)
			}
			t.Logf("%d joint configurations, %d members replaced", joint, replaced)
		})
	}
}
