// Package control is the process of a control member: it replicates the fleet's
// state with its peers, and the one that leads grants leases, places shards,
// and answers operators.
package control

import (
	"crypto/tls"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold"
	"limehold/consensus"
	"limehold/membership"
	"limehold/metrics"
	"limehold/settings"
)

// Options configures a member.
type Options struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Metrics  *metrics.Registry
	// TLS secures connections between processes; nil: plain TCP.
	TLS *tls.Config
	// Token that operators must present; empty: none.
	Token string
	// Extend returns a handler that is asked first at the operators' listener; it
	// returns false for what is not its own. Optional.
	Extend func(*Member) func(*fasthttp.RequestCtx) bool
}

const (
	// minTick and maxTick bound the interval that drives the replication core and
	// the lease check: a quarter of the heartbeat.
	minTick       = 10 * time.Millisecond
	maxTick       = 50 * time.Millisecond
	ticksPerPulse = 4
	// maxBatch bounds the events that one sync covers.
	maxBatch = 4096
	// maxAppendEntries and maxAppendBytes bound one append message.
	maxAppendEntries = 1024
	maxAppendBytes   = 4 << 20
	// compactKeep entries stay in memory behind a snapshot for slow peers.
	compactKeep = 500
	// commandPatience bounds how long an operator's command may take.
	commandPatience = 5 * time.Second
)

// tickEvery is the interval that drives the replication core and the lease check.
func (o *Options) tickEvery() time.Duration {
	return max(minTick, min(maxTick, o.Settings.Control.Timing.Heartbeat/ticksPerPulse))
}

func (o *Options) consensusTiming() consensus.Timing {
	timing := o.Settings.Control.Timing
	return consensus.Timing{
		Heartbeat: timing.Heartbeat, ElectionMin: timing.ElectionMin,
		ElectionMax: timing.ElectionMax, DriftPermille: timing.DriftPermille,
	}
}

func (o *Options) leaseTiming() membership.LeaseTiming {
	return membership.LeaseTiming{
		Length: o.Settings.Control.LeaseLength, DriftPermille: o.Settings.Control.Timing.DriftPermille,
		Lateness: limehold.GrantLateness,
	}
}
