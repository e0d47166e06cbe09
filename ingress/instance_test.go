package ingress

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limehold/clock"
	"limehold/wire"
)

// Announcements may be seconds late. If one of an earlier incarnation were accepted, it would end the
// session of the current one and free keys that are still held.
func TestEarlierStartIsNotTakenBack(t *testing.T) {
	const always, never = time.Nanosecond, time.Hour // when the successor counts as silent
	type announced struct {
		id       string
		sequence uint64
		taken    bool
	}
	for name, c := range map[string]struct {
		every time.Duration
		list  []announced
	}{
		"a late one of the start before": {never, []announced{{"i-1", 1, true}, {"i-2", 1, true}, {"i-1", 2, false}}},
		"a late one of two starts ago":   {never, []announced{{"i-1", 1, true}, {"i-2", 1, true}, {"i-3", 1, true}, {"i-1", 9, false}, {"i-2", 9, false}}},
		"an older one of the same start": {never, []announced{{"i-1", 2, true}, {"i-1", 1, false}}},
		"the same start goes on":         {never, []announced{{"i-1", 1, true}, {"i-2", 1, true}, {"i-2", 2, true}}},
		// A process that has just started receives an announcement of the current incarnation, then
		// a late one of the previous one; the current one keeps announcing.
		"the running one goes on after a late one": {always, []announced{{"i-2", 5, true}, {"i-1", 90, true}, {"i-2", 6, true}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.options.Settings.Ingress.AnnounceEvery = c.every
			current := ""
			for _, item := range c.list {
				is.Equal(i.Announce(Announcement{ID: item.id, Service: "numbers", Slots: 2, Sequence: item.sequence}), item.taken)
				if item.taken {
					current = item.id
				}
				id, _ := i.CurrentIncarnation(clock.Now())
				is.Equal(id, current)
			}
		})
	}
}

// Guards against a drain time that begins anew with a restart of the ingress, which does not know since when the
// instance has been draining.
func TestInstanceFirstHeardOfAsDrainingGetsNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		before bool // set if an announcement that it is ready has arrived before
		want   string
	}{
		"first heard of": {false, wire.BackendReasonDraining},
		"known as ready": {true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.options.Settings.Ingress.DrainTime = time.Minute
			if c.before {
				i.Announce(announcementOf("i-1", 1, 1))
			}
			draining := announcementOf("i-1", 1, 2)
			draining.Draining = true
			i.Announce(draining)
			is.Equal(i.state(clock.Now()).rejectReason, c.want)
		})
	}
}

// announcementOf returns an announcement of one incarnation.
func announcementOf(id string, born int64, sequence uint64) Announcement {
	return Announcement{ID: id, StartedAt: born, Service: "numbers", Slots: 2, Sequence: sequence}
}

// An incarnation may reuse the previous ID. The two are distinguished by when they began or, without
// these times, by the order of their announcements.
func TestInstanceStartsAreToldApart(t *testing.T) {
	const always, never = time.Nanosecond, time.Hour // when the current incarnation counts as silent
	type announced struct {
		id       string
		born     int64
		sequence uint64
		taken    bool
		// current is the accepted incarnation afterwards.
		current string
	}
	for name, c := range map[string]struct {
		silent time.Duration
		list   []announced
	}{
		"the same identity, born later, is served at once": {never, []announced{{"i-1", 10, 70, true, "i-1@10"}, {"i-1", 20, 1, true, "i-1@20"}, {"i-1", 20, 2, true, "i-1@20"}}},
		"a late one of the start before, same identity":    {never, []announced{{"i-1", 10, 70, true, "i-1@10"}, {"i-1", 20, 1, true, "i-1@20"}, {"i-1", 10, 71, false, "i-1@20"}}},
		"even where the present one is silent":             {always, []announced{{"i-1", 10, 70, true, "i-1@10"}, {"i-1", 20, 1, true, "i-1@20"}, {"i-1", 10, 71, false, "i-1@20"}}},
		"a late one of another identity":                   {always, []announced{{"i-1", 10, 70, true, "i-1@10"}, {"i-2", 20, 1, true, "i-2@20"}, {"i-1", 10, 71, false, "i-2@20"}}},
		"a late one of a start never heard of":             {always, []announced{{"i-2", 20, 1, true, "i-2@20"}, {"i-1", 10, 71, false, "i-2@20"}}},
		"a late one first, as the process has just begun":  {never, []announced{{"i-1", 10, 71, true, "i-1@10"}, {"i-1", 20, 5, true, "i-1@20"}}},
		"a start of the start before without its time":     {always, []announced{{"i-1", 20, 9, true, "i-1@20"}, {"i-2", 0, 1, true, "i-2"}, {"i-3", 10, 9, false, "i-2"}}},
		"without times, a late one":                        {never, []announced{{"i-1", 0, 70, true, "i-1"}, {"i-2", 0, 1, true, "i-2"}, {"i-1", 0, 71, false, "i-2"}}},
		"without times, an older one of the same identity": {never, []announced{{"i-1", 0, 70, true, "i-1"}, {"i-1", 0, 1, false, "i-1"}}},
		"the present one says when, the late one does not": {never, []announced{{"i-1", 0, 70, true, "i-1"}, {"i-2", 20, 1, true, "i-2@20"}, {"i-1", 0, 71, false, "i-2@20"}}},
		"one of its identity that does not say when":       {never, []announced{{"i-1", 20, 1, true, "i-1@20"}, {"i-1", 0, 71, false, "i-1@20"}, {"i-1", 20, 2, true, "i-1@20"}}},
		"the same, which goes on alone":                    {always, []announced{{"i-1", 20, 1, true, "i-1@20"}, {"i-1", 0, 71, true, "i-1"}}},
		"born in the same millisecond":                     {never, []announced{{"i-1", 10, 5, true, "i-1@10"}, {"i-2", 10, 1, true, "i-2@10"}, {"i-1", 10, 6, false, "i-2@10"}}},
		"an older one of the same start":                   {never, []announced{{"i-1", 10, 5, true, "i-1@10"}, {"i-1", 10, 5, false, "i-1@10"}, {"i-1", 10, 4, false, "i-1@10"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.options.Settings.Ingress.AnnounceEvery = c.silent
			for _, item := range c.list {
				is.Equal(i.Announce(announcementOf(item.id, item.born, item.sequence)), item.taken)
				current, _ := i.CurrentIncarnation(clock.Now())
				is.Equal(current, item.current)
				is.Equal(i.Health().Incarnation, item.current)
			}
			is.Equal(i.state(clock.Now()).id, i.current.ID) // the instance knows only its ID
		})
	}
}

// No state of an incarnation carries over to the next one under its ID.
func TestInstanceStartAgainIsBelievedNothingOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	i := newHeartbeatInstance(t, 0)
	before := announcementOf("i-1", 10, 5)
	before.Draining, before.Slots = true, 40
	is.True(i.Announce(before))
	i.slowdown.observe([]byte("1,0,2,300"), clock.Now())
	for range 100 {
		i.success.record(false, clock.Now())
	}
	i.ended = before.From()
	i.gate.updateCold(func(c *coldStart) { c.updateFromProbe(0, clock.Now(), clock.Now()) })
	is.Equal(i.Health().Status, wire.BackendDraining)
	is.True(i.Health().Capacity < 1)
	is.Equal(i.gate.load().slots, 40)
	is.True(!i.gate.cold.isUncertain())
	is.Equal(i.state(clock.Now()).rejectReason, reasonNoInstance)
	is.True(i.HasEnded("i-1@10"))

	is.True(i.Announce(announcementOf("i-1", 20, 1)))
	is.Equal(i.Health().Status, wire.BackendOK)
	is.Equal(i.Health().Capacity, 1.0) // as usual
	is.Equal(i.gate.load().slots, 2)
	is.True(i.gate.cold.isUncertain()) // it may be cold
	is.Equal(i.state(clock.Now()).rejectReason, "")
	is.Equal(i.success.share(clock.Now()), 1.0)
	is.True(!i.HasEnded("i-1@20"))
	is.True(!i.HasEnded("i-1"))
	current, healthy := i.CurrentIncarnation(clock.Now())
	is.Equal(current, "i-1@20")
	is.True(healthy)
}

// A departure names only an ID: it must apply to one incarnation.
func TestInstanceDepartureIsOfOneStart(t *testing.T) {
	later := time.Now().Add(maxClockStep / 2).UnixMilli()
	for name, c := range map[string]struct {
		before   []Announcement
		departs  string
		then     Announcement
		taken    bool
		draining bool
	}{
		"of the present start":                  {[]Announcement{announcementOf("i-1", 10, 1)}, "i-1", announcementOf("i-1", 10, 2), false, true},
		"of the present start, without time":    {[]Announcement{announcementOf("i-1", 0, 1)}, "i-1", announcementOf("i-1", 0, 2), false, true},
		"its identity starts again":             {[]Announcement{announcementOf("i-1", 10, 1)}, "i-1", announcementOf("i-1", 20, 1), true, false},
		"of a former start":                     {[]Announcement{announcementOf("i-1", 0, 1), announcementOf("i-2", 0, 1)}, "i-1", announcementOf("i-2", 0, 2), true, false},
		"of a former start, which says more":    {[]Announcement{announcementOf("i-1", 0, 1), announcementOf("i-2", 0, 1)}, "i-1", announcementOf("i-1", 0, 2), false, false},
		"unheard of, and late ones come":        {nil, "i-1", announcementOf("i-1", 10, 9), false, false},
		"unheard of, late ones without time":    {nil, "i-1", announcementOf("i-1", 0, 9), false, false},
		"unheard of, its identity starts again": {nil, "i-1", announcementOf("i-1", later, 1), true, false},
		"unheard of, another one starts":        {nil, "i-1", announcementOf("i-2", 10, 1), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.options.Settings.Ingress.AnnounceEvery = time.Nanosecond // the current one counts as silent at once
			for _, announced := range c.before {
				is.True(i.Announce(announced))
			}
			i.Depart(c.departs)
			is.Equal(i.Announce(c.then), c.taken)
			is.Equal(i.Health().Status == wire.BackendDraining, c.draining)
		})
	}
}

// The memory for IDs, which come from outside, is bounded.
func TestInstanceRemembersNoMoreThanItNeeds(t *testing.T) {
	is := is.New(t)
	i := newHeartbeatInstance(t, 0)
	is.True(i.Announce(announcementOf("i-1", 10, 1)))
	i.Depart("i-1")
	for n := range 4 * maxFormerIncarnations {
		i.Depart(time.Duration(n).String())
	}
	is.True(!i.Announce(announcementOf("i-1", 10, 2))) // departures of unknown IDs do not displace it
	is.Equal(i.Health().Status, wire.BackendDraining)
}

// The crash of an incarnation is counted once, whichever of its connections breaks later, and also
// after others of the same ID.
func TestInstanceEndsAreCountedOnceALife(t *testing.T) {
	is := is.New(t)
	i := newHeartbeatInstance(t, 0)
	for n := range 5 {
		is.True(i.Announce(announcementOf("i-1", int64(10+n), 1)))
	}
	for n := range 4 {
		i.recordBroken(brokenRequest{instance: instanceState{id: "i-1", started: int64(10 + n)}, brokeAt: clock.Now()})
	}
	counted, _ := i.options.Metrics.Text()
	is.True(containsLine(string(counted), `limehold_ingress_instance_ends_total{cause="another start"} 4`))
}

func containsLine(text, line string) bool {
	return slices.Contains(strings.Split(text, "\n"), line)
}

// An announcement to the wrong sidecar changes nothing.
func TestInstanceAnnouncementsOfOthersAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		pool, at         string
		service, address string
		field            string
	}{
		"its own":                        {"orders", "127.0.0.1:9000", "orders", "127.0.0.1:9000", ""},
		"its own, written otherwise":     {"orders", "127.0.0.1:9000", "orders", "[::ffff:127.0.0.1]:9000", ""},
		"a host by its name":             {"orders", "localhost:9000", "orders", "localhost:9000", ""},
		"another service":                {"orders", "127.0.0.1:9000", "press", "127.0.0.1:9000", "service"},
		"another port":                   {"orders", "127.0.0.1:9000", "orders", "127.0.0.1:9001", "address"},
		"another host":                   {"orders", "127.0.0.1:9000", "orders", "127.0.0.2:9000", "address"},
		"no address at all":              {"orders", "127.0.0.1:9000", "orders", "nowhere", "address"},
		"an address that is not said":    {"orders", "127.0.0.1:9000", "orders", "", ""},
		"settings that name no service":  {"", "127.0.0.1:9000", "press", "127.0.0.1:9000", ""},
		"settings that name no instance": {"orders", "", "orders", "127.0.0.1:9000", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.options.Settings.Agent.Pool, i.options.Settings.Ingress.Instance = c.pool, c.at
			announced := announcementOf("i-2", 20, 1)
			announced.Service, announced.Address = c.service, c.address
			err := i.Validate(announced)
			is.Equal(err == nil, c.field == "")
			is.Equal(i.Announce(announced), c.field == "")
			if err == nil {
				return
			}
			var problem *RejectedError
			is.True(errors.As(err, &problem))
			is.Equal(problem.Field, c.field)
			is.True(problem.Value != "" && problem.Fix != "")
			current, _ := i.CurrentIncarnation(clock.Now())
			is.Equal(current, "")
		})
	}
}

// Repeated wrong announcements are logged once a second, with the number of suppressed lines.
func TestInstanceRefusalsAreLoggedWithinABound(t *testing.T) {
	is := is.New(t)
	i := newHeartbeatInstance(t, 0)
	core, lines := observer.New(zap.InfoLevel)
	i.logger = zap.New(core)
	long := strings.Repeat("x", 5000)
	for range 100 {
		i.RecordRejected(long, NewRejectedError("slots", long, "use a whole number"))
	}
	is.Equal(lines.Len(), 1)
	line := lines.All()[0]
	is.Equal(line.Message, "heartbeat_refused")
	is.Equal(line.ContextMap()["field"], "slots")
	is.True(len(line.ContextMap()["value"].(string)) < 100)
	is.True(len(line.ContextMap()["instance"].(string)) < 100)
	i.rejections.lines.loggedAt -= logInterval
	i.RecordRejected("i-1", NewRejectedError("slots", "-1", "use a whole number"))
	is.Equal(lines.Len(), 2)
	is.Equal(lines.All()[1].ContextMap()["left_out"], int64(99))
	counted, _ := i.options.Metrics.Text()
	is.True(containsLine(string(counted), `limehold_ingress_heartbeats_refused_total{field="slots"} 101`))
}

// Only requests of the crashed incarnation become suspects, not those of another one under its ID.
func TestInstanceEndTakesTheRunsOfItsLife(t *testing.T) {
	for name, c := range map[string]struct {
		state instanceState
		taken int
	}{
		"of this start":            {instanceState{id: "i-1", started: 20}, 1},
		"of the start before":      {instanceState{id: "i-1", started: 10}, 0},
		"of one that says no time": {instanceState{id: "i-1"}, 0},
		"of another identity":      {instanceState{id: "i-2", started: 20}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			known, ended := &crashRecord{}, announcementOf("i-1", 20, 1).From().String()
			known.add(brokenRequest{instance: c.state})
			is.Equal(known.hasBroken(ended, 0), c.taken > 0)
			taken, first := known.takeBroken(ended, 0)
			is.Equal(len(taken), c.taken)
			is.True(first)
		})
	}
}

// If a machine's time of day steps back, a later incarnation seems to have begun before. It must be
// served once the previous one has been silent for longer than announcements are delayed.
func TestInstanceStartAfterTheTimeStepsBackIsServed(t *testing.T) {
	is := is.New(t)
	i := newHeartbeatInstance(t, 0)
	is.True(i.Announce(announcementOf("i-1", 20, 5)))
	is.True(!i.Announce(announcementOf("i-2", 10, 1)))
	i.announcedAt -= maxAnnouncementDelay
	is.True(i.Announce(announcementOf("i-2", 10, 2)))
	is.True(i.Announce(announcementOf("i-3", 11, 1)))
}

// Guards against keys that count as free while the previous incarnation still runs: a late announcement of one that had
// ended was taken for a successor's, as the previous one had been announcing for long.
func TestInstanceStartProvesTheEndOfTheOneBeforeOnlyIfItBeganLater(t *testing.T) {
	for name, c := range map[string]struct {
		before, present Announcement
		heardFor        time.Duration
		proved          bool
	}{
		"born later":                           {announcementOf("i-1", 10, 1), announcementOf("i-2", 20, 1), 0, true},
		"times not said, before heard briefly": {announcementOf("i-1", 0, 1), announcementOf("i-2", 0, 1), maxAnnouncementDelay / 2, false},
		"times not said, before heard long":    {announcementOf("i-1", 0, 1), announcementOf("i-2", 0, 1), maxAnnouncementDelay + time.Second, false},
		"born in the same millisecond":         {announcementOf("i-1", 10, 1), announcementOf("i-2", 10, 1), 0, false},
		"none before":                          {Announcement{}, announcementOf("i-2", 0, 1), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			if c.before.ID != "" {
				is.True(i.Announce(c.before))
			}
			i.firstAnnounced -= c.heardFor
			is.True(i.Announce(c.present))
			is.Equal(i.Description().PredecessorsEnded, c.proved)
		})
	}
}
