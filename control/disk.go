package control

import (
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/diskspace"
	"limehold/wal"
)

// diskMonitor logs and publishes whether this member's disk is full. It is safe for concurrent use.
type diskMonitor struct {
	logger *zap.Logger
	mutex  sync.Mutex
	state  diskspace.Monitor
}

func newDiskMonitor(options Options) *diskMonitor {
	d := &diskMonitor{logger: options.Logger}
	options.Metrics.Gauge("log", "disk_full", "1 while writes of this member fail because its disk is full.", func() float64 {
		if d.healthy() != nil {
			return 1
		}
		return 0
	})
	options.Metrics.Gauge("log", "disk_full_failures", "Writes of this member that failed because its disk was full.", func() float64 {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return float64(d.state.Failures())
	})
	return d
}

// observe records the result of a write and reports whether it failed because the disk is full. Other errors are
// not recorded.
func (d *diskMonitor) observe(step diskspace.Step, err error) (full bool) {
	full = errors.Is(err, wal.ErrDiskFull)
	if err != nil && !full {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !full {
		if report, changed := d.state.Succeeded(clock.Now(), step); changed {
			d.logger.Info("disk_has_room", zap.Stringer("step", report.Step), zap.Duration("lasted", report.Lasted))
		}
		return false
	}
	if report, changed := d.state.Failed(clock.Now(), step, err.Error()); changed {
		d.logger.Error("disk_full", zap.Stringer("step", report.Step), zap.String("error", report.Cause), zap.Int("unreported", report.Unreported),
			zap.String("next", "free space in data_folder; this member persists nothing and does not vote until there is room"))
	}
	return true
}

// healthy returns an error while the disk is full.
func (d *diskMonitor) healthy() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if cause, since := d.state.Cause(); cause != "" {
		return eris.Errorf("this member's disk has been full for %v: %s; free space in data_folder", clock.Now()-since, cause)
	}
	return nil
}
