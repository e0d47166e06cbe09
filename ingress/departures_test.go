package ingress

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/departure"
	"limehold/metrics"
	"limehold/settings"
	"limehold/wire"
)

// memoryStore is a store of departures that outlives the instances in front of it.
type memoryStore struct {
	mutex sync.Mutex
	list  departure.List
	// recording, if not nil, delays each record until it is closed.
	recording chan struct{}
}

func (s *memoryStore) RecordDeparture(ctx context.Context, notice departure.Notice) error {
	if s.recording != nil {
		select {
		case <-s.recording:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.list = s.list.With(notice)
	return nil
}

func (s *memoryStore) Departures(context.Context) (departure.List, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.list, nil
}

// startProcess returns the instance of a process that begins with what the store holds, and runs its records.
func (s *memoryStore) startProcess(t *testing.T) *Instance {
	t.Helper()
	config := settings.Default()
	i := newInstance(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), Departures: s}, newSlotGate(config.Ingress.QueueTime))
	ctx, stop := context.WithCancel(t.Context())
	fetched := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		i.departures.run(ctx, func(list departure.List) {
			i.adoptDepartures(list)
			close(fetched)
		})
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	<-fetched
	return i
}

func drainingOf(id string, startedAt int64, sequence uint64) Announcement {
	announced := announcementOf(id, startedAt, sequence)
	announced.Draining = true
	return announced
}

// Guards against late announcements that make an instance count as staying, of which an earlier process has acknowledged
// that it leaves.
func TestNextProcessKnowsWhatWasAcknowledged(t *testing.T) {
	const served, noInstance = "", reasonNoInstance
	for name, c := range map[string]struct {
		before  func(*Instance)
		after   []Announcement
		want    string
		acked   bool // set if AwaitRecorded is called in between
		adopted bool // set if the announcements reach the next process before it has fetched the departures
	}{
		"nothing acknowledged":             {before: func(i *Instance) {}, after: []Announcement{announcementOf("i-1", 10, 3)}, want: served},
		"departed":                         {before: func(i *Instance) { i.Depart("i-1") }, after: []Announcement{announcementOf("i-1", 10, 3)}, want: noInstance},
		"departed, a late one in between":  {before: func(i *Instance) { i.Depart("i-1") }, after: []Announcement{announcementOf("i-1", 10, 3)}, want: wire.BackendReasonDraining, adopted: true},
		"departed, the next start":         {before: func(i *Instance) { i.Depart("i-1") }, after: []Announcement{announcementOf("i-1", 10, 3), announcementOf("i-1", 20, 1)}, want: served},
		"departed, another identity":       {before: func(i *Instance) { i.Depart("i-1") }, after: []Announcement{announcementOf("i-2", 0, 1), announcementOf("i-1", 10, 3)}, want: served},
		"departed, not announced before":   {before: func(i *Instance) { i.Depart("i-9") }, after: []Announcement{announcementOf("i-9", 0, 3)}, want: noInstance},
		"departed while another had begun": {before: func(i *Instance) { i.Announce(announcementOf("i-2", 20, 1)); i.Depart("i-1") }, after: []Announcement{announcementOf("i-1", 10, 3)}, want: noInstance},
		"draining":                         {before: func(i *Instance) { i.Announce(drainingOf("i-1", 10, 5)) }, after: []Announcement{announcementOf("i-1", 10, 4)}, want: noInstance},
		"draining, a late one in between":  {before: func(i *Instance) { i.Announce(drainingOf("i-1", 10, 5)) }, after: []Announcement{announcementOf("i-1", 10, 4)}, want: wire.BackendReasonDraining, adopted: true},
		"draining, and it stays":           {before: func(i *Instance) { i.Announce(drainingOf("i-1", 10, 5)) }, after: []Announcement{announcementOf("i-1", 10, 6)}, want: served},
		"draining, stays, draining": {before: func(i *Instance) {
			i.Announce(drainingOf("i-1", 10, 5))
			i.Announce(announcementOf("i-1", 10, 6))
			i.Announce(drainingOf("i-1", 10, 7))
		}, after: []Announcement{announcementOf("i-1", 10, 6)}, want: noInstance},
		"draining, of two whose order is unknown": {before: func(i *Instance) {
			i.Announce(announcementOf("i-3", 0, 1))
			i.Announce(drainingOf("i-2", 0, 5)) // accepted as a successor
			i.Announce(announcementOf("i-4", 0, 1))
			i.Announce(drainingOf("i-3", 0, 5)) // superseded, while another one keeps announcing
		}, after: []Announcement{announcementOf("i-3", 0, 4)}, want: noInstance},
		"it said in answers that it leaves": {before: func(i *Instance) { i.mutex.Lock(); i.setLeaving(clock.Now(), 0); i.mutex.Unlock() }, after: []Announcement{announcementOf("i-1", 10, 3)}, want: wire.BackendReasonDraining},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{}
			before := store.startProcess(t)
			before.Announce(announcementOf("i-1", 10, 2))
			c.before(before)
			is.NoErr(before.AwaitRecorded(t.Context()))
			// Twice, as the process that adopts a notice may end as well.
			for range 2 {
				next := newInstance(Options{Settings: before.options.Settings, Logger: zap.NewNop(), Metrics: metrics.New(), Departures: store}, newSlotGate(before.options.Settings.Ingress.QueueTime))
				is.Equal(next.state(clock.Now()).rejectReason, wire.BackendReasonStarting)
				list, err := store.Departures(t.Context())
				is.NoErr(err)
				if !c.adopted {
					next.adoptDepartures(list)
				}
				for _, announced := range c.after {
					next.Announce(announced)
				}
				if c.adopted {
					is.Equal(next.state(clock.Now()).rejectReason, wire.BackendReasonStarting)
					next.adoptDepartures(list)
				}
				is.Equal(next.state(clock.Now()).rejectReason, c.want)
			}
		})
	}
}

// Guards against an acknowledgement of which the next process would not know.
func TestAnnouncementIsNotAcknowledgedBeforeItIsRecorded(t *testing.T) {
	for name, announce := range map[string]func(*Instance){
		"departed": func(i *Instance) { i.Depart("i-1") },
		"draining": func(i *Instance) { i.Announce(drainingOf("i-1", 10, 5)) },
		// The oldest of too many is dropped.
		"too many": func(i *Instance) {
			for n := range 40 {
				i.Depart(string(rune('a' + n)))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &memoryStore{recording: make(chan struct{})}
			i := store.startProcess(t)
			i.Announce(announcementOf("i-1", 10, 2))
			is.NoErr(i.AwaitRecorded(t.Context())) // one that stays needs no record
			announce(i)
			is.True(errors.Is(i.AwaitRecorded(t.Context()), ErrNotRecorded))
			close(store.recording)
			for i.AwaitRecorded(t.Context()) != nil { // a repeated call is acknowledged
			}
			list, err := store.Departures(t.Context())
			is.NoErr(err)
			is.True(len(list) > 0)
		})
	}
}
