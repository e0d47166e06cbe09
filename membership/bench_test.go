package membership

import (
	"testing"
	"time"
)

// BenchmarkRenew measures the leader's work for one lease renewal.
func BenchmarkRenew(b *testing.B) {
	const sessions = 5000
	open := make([]SessionID, sessions)
	for i := range open {
		open[i] = SessionID(i + 1)
	}
	leases := NewLeases(testTiming, open, 0)
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += time.Microsecond
		leases.Renew(open[i%sessions], now)
		leases.Expired(now)
	}
}
