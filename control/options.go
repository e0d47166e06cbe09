// Package control implements a control member. The members replicate the fleet's
// state; the leader grants leases and places shards, and every member answers
// operators and routers.
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
	"limehold/wal"
)

// Options configures a member.
type Options struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Metrics  *metrics.Registry
	// TLS secures connections between processes. If it is nil, they use plain TCP.
	TLS *tls.Config
	// Token is the token that operators must present. If it is empty, none is required.
	Token string
	// NewAdminHandler returns a handler that gets each request on the operators' listener first
	// and returns false for requests that it does not serve. Optional.
	NewAdminHandler func(*Member) func(*fasthttp.RequestCtx) bool

	// createFile creates the segments of the log in place of the file system. Optional.
	createFile func(path string) (wal.File, error)
}

const (
	// minTick and maxTick bound the interval that drives the replication core and the lease
	// check. Within them it is the heartbeat interval divided by ticksPerHeartbeat.
	minTick           = 10 * time.Millisecond
	maxTick           = 50 * time.Millisecond
	ticksPerHeartbeat = 4
	// maxBatch bounds the events that are processed before their output is written.
	maxBatch = 4096
	// maxAppendEntries and maxAppendBytes bound one append message.
	maxAppendEntries = 1024
	maxAppendBytes   = 4 << 20
	// compactKeep is the number of entries before a snapshot that stay in memory for slow peers.
	compactKeep = 500
	// commandTimeout bounds an operator's command, including retries.
	commandTimeout = 5 * time.Second
)

// tickInterval returns the interval that drives the replication core and the lease check.
func (o *Options) tickInterval() time.Duration {
	return max(minTick, min(maxTick, o.Settings.Control.Timing.Heartbeat/ticksPerHeartbeat))
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
		Lateness: limehold.GrantDelayLimit(o.Settings.Control.MaxGrantDelay),
	}
}
