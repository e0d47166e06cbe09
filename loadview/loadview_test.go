package loadview

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var busy = Report{
	Process: 7, Version: 40, Slots: 18, Running: 18, Waiting: 3, RunTime: 143 * time.Millisecond, SuccessShare: 0.75,
	LinkBusy: 12 * time.Millisecond, InboundBusy: 5 * time.Millisecond, LimitWait: 2 * time.Millisecond,
}

// Reports that come as text, also damaged, forged or from another version.
func TestReportsAreReadStrictly(t *testing.T) {
	anonymous := busy
	anonymous.Process, anonymous.Version = 0, 0
	withoutLimit := anonymous
	withoutLimit.LimitWait = 0
	for name, c := range map[string]struct {
		text string
		want Report
		ok   bool
	}{
		"all parts":               {string(busy.AppendText(nil)), busy, true},
		"load only":               {string(busy.AppendLoad(nil)), anonymous, true},
		"of an earlier version":   {"18,3,18,143,750,12,5", withoutLimit, true},
		"of a later version":      {string(busy.AppendText(nil)) + ",9,unknown", busy, true},
		"nothing":                 {"", Report{}, false},
		"too short":               {"18,3,18,143,750,12", Report{}, false},
		"negative":                {"-18,3,18,143,750,12,5,2", Report{}, false},
		"a fraction":              {"18,3,18,143.5,750,12,5,2", Report{}, false},
		"more than all succeeded": {"18,3,18,143,1001,12,5,2", Report{}, false},
		"absurd slots":            {"18,3,99999999,143,750,12,5,2", Report{}, false},
		"absurd run time":         {"18,3,18,9223372036854775807,750,12,5,2", Report{}, false},
		"absurd process":          {"18,3,18,143,750,12,5,2,zzzzzzzzzz,1", Report{}, false},
		"not a number":            {"18,3,18,143,750,12,5,x", Report{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report, err := Parse([]byte(c.text))
			is.Equal(err == nil, c.ok)
			is.Equal(report, c.want)
		})
	}
}

// Messages that pass on reports, also damaged or of another format.
func TestPassedOnReportsAreReadStrictly(t *testing.T) {
	entry := Entry{Session: 375, Age: 12 * time.Millisecond, Report: busy}
	text := string(AppendEntries(nil, []Entry{entry, {Session: 9, Report: busy}}))
	for name, c := range map[string]struct {
		text string
		want int
		ok   bool
	}{
		"two":              {text, 2, true},
		"none":             {string(AppendEntries(nil, nil)), 0, true},
		"nothing":          {"", 0, false},
		"other format":     {"2" + text[1:], 0, false},
		"no report":        {"1;5", 0, false},
		"negative age":     {"1;5,-1," + string(busy.AppendText(nil)), 0, false},
		"absurd age":       {"1;5,99999999," + string(busy.AppendText(nil)), 0, false},
		"without process":  {"1;5,1," + string(busy.AppendLoad(nil)), 0, false},
		"session unparsed": {"1;?,1," + string(busy.AppendText(nil)), 0, false},
		"far too many":     {"1" + strings.Repeat(";5,1,"+string(busy.AppendText(nil)), 17), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entries, err := ParseEntries([]byte(c.text))
			is.Equal(err == nil, c.ok)
			is.Equal(len(entries), c.want)
			if c.want > 0 {
				is.Equal(entries[0], entry)
			}
		})
	}
}

// Whatever is reported, a message stays within its bound.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		view := NewView()
		for range random.IntN(40) {
			report := Report{Process: random.Uint32(), Version: random.Uint64() >> 1, Slots: random.IntN(1 << 40), Running: random.IntN(1 << 20), RunTime: time.Duration(random.Int64())}
			view.HearOf(Entry{Session: random.Uint64(), Age: time.Duration(random.Int64N(int64(MaxAge))), Report: report}, time.Hour)
		}
		text := AppendEntries(nil, view.Freshest(time.Hour, 0, nil))
		is.True(len(text) <= MaxEntriesText)
	}
}

// Reports that arrive late, out of order, from a former process or about unknown instances.
func TestViewKeepsTheNewestReport(t *testing.T) {
	const now, session = time.Minute, 5
	version := func(process uint32, version uint64) Report {
		return Report{Process: process, Version: version, Slots: 4}
	}
	passedOn := func(age time.Duration, report Report) func(*View) Verdict {
		return func(v *View) Verdict { return v.HearOf(Entry{Session: session, Age: age, Report: report}, now) }
	}
	direct := func(report Report) func(*View) Verdict {
		return func(v *View) Verdict { return v.Hear(session, report, now) }
	}
	for name, c := range map[string]struct {
		// age is that of the known report, version 10 of process 1.
		age     time.Duration
		hear    func(*View) Verdict
		verdict Verdict
		want    Report
	}{
		"newer":                                     {time.Second, passedOn(0, version(1, 11)), Taken, version(1, 11)},
		"newer, though of greater age":              {time.Second, passedOn(2*time.Second, version(1, 11)), Taken, version(1, 11)},
		"older, out of order":                       {time.Second, passedOn(0, version(1, 9)), Older, version(1, 10)},
		"the same again":                            {time.Second, passedOn(0, version(1, 10)), Older, version(1, 10)},
		"older, in its own answer":                  {time.Second, direct(version(1, 9)), Older, version(1, 10)},
		"of another process":                        {time.Second, passedOn(0, version(2, 90)), OtherProcess, version(1, 10)},
		"of another process, in its own answer":     {time.Second, direct(version(2, 1)), Taken, version(2, 1)},
		"of another process, the known one expired": {MaxAge + 1, passedOn(0, version(2, 1)), Taken, version(2, 1)},
		"expired":                                   {time.Second, passedOn(MaxAge+1, version(1, 11)), Expired, version(1, 10)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := NewView()
			is.Equal(view.Hear(session, version(1, 10), now-c.age), Taken)
			is.Equal(c.hear(view), c.verdict)
			is.Equal(view.known[session].report, c.want)
		})
	}
}

// A report that many processes pass on in circles grows older on its way.
func TestAgesAddUp(t *testing.T) {
	is := is.New(t)
	const hops, perHop = 20, 100 * time.Millisecond
	now := time.Minute
	entry := Entry{Session: 5, Report: busy}
	for range hops {
		view := NewView()
		is.Equal(view.HearOf(entry, now), Taken)
		now += perHop
		entry = view.Freshest(now, 0, nil)[0]
	}
	is.Equal(entry.Age, hops*perHop)
}

// What is passed on is of use to the receiver: neither its own report, nor one that it has shown, nor an expired one.
func TestOnlyUsefulReportsArePassedOn(t *testing.T) {
	is := is.New(t)
	const now = time.Minute
	view := NewView()
	for session := range uint64(4) {
		view.Hear(session, Report{Process: 1, Version: 10, Slots: 4}, now-time.Duration(session)*time.Second)
	}
	view.Hear(9, Report{Process: 1, Version: 10, Slots: 4}, now-MaxAge-1)
	shown := []Entry{{Session: 2, Report: Report{Process: 1, Version: 10}}, {Session: 3, Report: Report{Process: 1, Version: 9}}}
	var sessions []uint64
	for _, entry := range view.Freshest(now, 0, shown) {
		sessions = append(sessions, entry.Session)
	}
	is.Equal(sessions, []uint64{1, 3})
	view.Keep(func(session uint64) bool { return session == 9 })
	is.Equal(len(view.Freshest(now, 0, nil)), 0)
}

// Reports about any number of instances, also of forged ones, take bounded memory, and expired ones make room.
func TestViewIsBounded(t *testing.T) {
	is := is.New(t)
	view := NewView()
	for session := range uint64(MaxInstances) {
		is.Equal(view.HearOf(Entry{Session: session, Report: busy}, time.Minute), Taken)
	}
	is.Equal(view.HearOf(Entry{Session: MaxInstances, Report: busy}, time.Minute), Surplus)
	is.Equal(view.HearOf(Entry{Session: MaxInstances, Report: busy}, time.Minute+MaxAge+1), Taken)
	is.Equal(len(view.known), 1)
	view.Keep(func(session uint64) bool { return session != MaxInstances })
	is.Equal(len(view.known), 0)
}

// The three ways to share reports, by arithmetic: bytes a second at one machine, for 27 requests a second at each, all to
// services that are not divided, in cells of 1,118 nodes with 25 instances each service and a control budget of 29 KB/s.
// Reports by way of control that are as fresh as those in requests exceed the budget in a full cell.
func TestBytesOfTheWaysToShare(t *testing.T) {
	const requestsPerSecond, instances, controlBudget, cell = 27, 25, 29_000, 1_118
	entryBytes := len(AppendEntries(nil, []Entry{{Session: 1 << 20, Age: time.Second, Report: busy}}))
	for name, c := range map[string]struct{ machines int }{
		"57 machines": {57}, "1,000 machines": {1_000}, "19,000 machines": {19_000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inRequests := requestsPerSecond * 2 * (MaxEntriesText + len("Limehold-Load-View: \r\n"))
			// A router hears of each instance this often by the entries in its answers.
			freshness := instances * time.Second / (requestsPerSecond * maxPassedOn)
			// Each node receives the reports of all nodes of its cell, as it may call any service.
			byControl := float64(min(c.machines, cell)*entryBytes) / freshness.Seconds()
			t.Logf("entry %d B; in requests and answers %d B/s at a machine, each instance heard of every %s; as often by control's watch %.0f B/s", entryBytes, inRequests, freshness.Round(time.Millisecond), byControl)
			is.True(inRequests < controlBudget)
			is.Equal(byControl > controlBudget, c.machines >= 1_000)
		})
	}
}
