// Package control is the process of a control member: it replicates the fleet's
// state with its peers, and the one that leads grants leases, places shards,
// and answers operators.
package control

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

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
}

const (
	// tickEvery drives the replication core and the lease check.
	tickEvery = 10 * time.Millisecond
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
	}
}
