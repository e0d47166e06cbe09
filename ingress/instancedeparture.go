package ingress

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/departure"
	"limehold/incarnation"
)

// This file handles what the instance announces about its end.

// Depart processes an instance's departure, which may be acknowledged once AwaitRecorded has returned.
// A departure names no incarnation: it applies to the current one if that has the ID, or
// else to the last one that had it.
func (i *Instance) Depart(id string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.isKnown || i.current.ID != id {
		i.departFormer(id)
		return
	}
	departing := i.current.From()
	i.departed.Add(departing)
	i.departures.record(departure.Notice{Kind: departure.Departed, Incarnation: departing})
	if i.drainingSince == 0 {
		i.drainingSince = clock.Now()
	}
	i.logger.Info("instance_departed", zap.Stringer("instance", departing))
	i.requestCheck()
}

// keepDrain keeps an announcement of draining that was not accepted, unless it is older than what is known of its sender. If
// the order of its sender and the current incarnation is unknown, the sender may be the one that runs, and relies on the
// acknowledgement. The mutex is held.
func (i *Instance) keepDrain(announced Announcement) {
	sender, current := announced.From(), i.current.From()
	if sender == current || i.hasDeparted(sender) || announced.Sequence <= i.drainedAt[sender] {
		return
	}
	if isLater, known := current.Follows(sender); known && isLater {
		return
	}
	if len(i.drainedAt) < maxFormerIncarnations {
		i.drainedAt[sender] = announced.Sequence
	}
	i.departures.record(departure.Notice{Kind: departure.Draining, Incarnation: sender, Sequence: announced.Sequence})
	if sender.ID == current.ID && i.drainingSince == 0 {
		// Requests name the identity only.
		i.drainingSince = clock.Now()
	}
	i.logger.Info("instance_draining", zap.Stringer("instance", sender), zap.Uint64("sequence", announced.Sequence), zap.Stringer("current", current))
}

// departFormer records the departure of an incarnation that is not the current one. If the
// incarnation was never announced to this process, its start time is unknown, but it is before
// now by the clock of this machine. The mutex is held.
func (i *Instance) departFormer(id string) {
	if former, known := i.superseded.Latest(id); known {
		i.departed.Add(former)
		i.departures.record(departure.Notice{Kind: departure.Departed, Incarnation: former})
		return
	}
	last := incarnation.ID{ID: id, StartedAt: time.Now().UnixMilli()}
	i.departedUnannounced.Add(incarnation.ID{ID: id})
	i.departedUnannounced.Add(last)
	i.departures.record(departure.Notice{Kind: departure.Departed, Incarnation: last, CoversEarlier: true})
}

// hasDeparted reports whether an incarnation has departed. The mutex is held.
func (i *Instance) hasDeparted(sender incarnation.ID) bool {
	return i.departed.Has(sender) || i.departedUnannounced.Has(sender) || i.departedUnannounced.HasLater(sender)
}

// AwaitRecorded waits until what the instance has announced about its end is recorded. An announcement may be acknowledged
// only then; otherwise ErrNotRecorded is returned.
func (i *Instance) AwaitRecorded(ctx context.Context) error { return i.departures.await(ctx) }

// adoptDepartures adopts what earlier processes have recorded. Until it has been called, the instance gets no requests.
func (i *Instance) adoptDepartures(notices departure.List) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, notice := range notices {
		i.adoptDeparture(notice)
	}
	if i.isKnown {
		i.applyDepartures(i.current)
	}
	i.departuresKnown = true
}

// adoptDeparture adopts one notice. The mutex is held.
func (i *Instance) adoptDeparture(notice departure.Notice) {
	switch {
	case notice.Kind == departure.Departed && notice.CoversEarlier:
		i.departedUnannounced.Add(incarnation.ID{ID: notice.Incarnation.ID})
		i.departedUnannounced.Add(notice.Incarnation)
	case notice.Kind == departure.Departed:
		i.departed.Add(notice.Incarnation)
	case notice.Kind == departure.Leaving:
		i.saidLeaving.Add(notice.Incarnation)
	default:
		i.drainedAt[notice.Incarnation] = notice.Sequence
	}
}

// applyDepartures applies the adopted notices to the current incarnation, which an announcement has made known. It has been
// draining for an unknown part of its drain time, so it gets no requests. The mutex is held.
func (i *Instance) applyDepartures(announced Announcement) {
	sender := announced.From()
	if i.saidLeaving.Has(sender) {
		i.reports.leaving = true
	}
	isDraining := i.reports.leaving || i.hasDeparted(sender) || announced.Sequence <= i.drainedAt[sender]
	if !isDraining || i.drainingSince != 0 {
		return
	}
	i.drainingSince = i.drainedBefore()
	i.logger.Info("instance_draining", zap.Stringer("instance", sender), zap.String("source", "an earlier process of this node"))
	if i.hasDeparted(sender) {
		i.requestCheck()
	}
}

// drainedBefore returns a begin of the drain with which the drain time is over. It stands for a begin that this process
// does not know.
func (i *Instance) drainedBefore() time.Duration {
	return clock.Now() - i.options.Settings.Ingress.DrainTime - 1
}
