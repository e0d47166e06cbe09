package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// identityOf returns the identity of a request with a name from a caller.
func identityOf(name, caller string) Identity {
	request := Request{Method: []byte("GET"), Target: []byte(name), Caller: [][]byte{[]byte(caller)}}
	identity, _ := request.Identity(nil)
	return identity
}

// crashReport returns a report that an instance at a node crashed while running the given requests.
func crashReport(instance, node string, running ...Identity) *CrashReport {
	end := &CrashReport{Service: "numbers", Instance: instance, Node: node, Version: "v1"}
	for _, identity := range running {
		end.Runs = append(end.Runs, Run{Identity: identity, Sample: "GET /"})
	}
	return end
}

// history is a table with a revision that rises with each report.
type history struct {
	Table
	revision uint64
}

func (h *history) crash(instance, node string, running ...Identity) Changes {
	h.revision++
	return h.RecordCrash(crashReport(instance, node, running...), h.revision, 0)
}

func (h *history) succeed(digest Digest) {
	h.revision++
	record, _ := h.Get(digest)
	h.RecordSuccess(&SuccessReport{Digest: digest, Opened: record.Opened}, h.revision)
}

func (h *history) quarantined(identity Identity) bool {
	anybody, _ := h.Get(identity.Any)
	perCaller, _ := h.Get(identity.PerCaller)
	return anybody.Quarantined || perCaller.Quarantined
}

// freshRequests returns requests that run beside others, each for the first time.
func freshRequests(suffix string) []Identity {
	var list []Identity
	for n := range 11 {
		list = append(list, identityOf(fmt.Sprint("beside-", suffix, "-", n), "b"))
	}
	return list
}

// Two crashes must not quarantine a request whatever the blame, and neither must several at one node.
func TestGuiltNeedsSeveralEnds(t *testing.T) {
	for name, c := range map[string]struct {
		nodes  []string
		blame  int64
		guilty bool
	}{
		"no end":                    {nil, 10 * quarantineBlame, false},
		"one end":                   {[]string{"a"}, 10 * quarantineBlame, false},
		"two ends":                  {[]string{"a", "b"}, 10 * quarantineBlame, false},
		"three ends":                {[]string{"a", "b", "c"}, quarantineBlame, true},
		"three ends, two nodes":     {[]string{"a", "b", "b"}, quarantineBlame, true},
		"three ends, little blame":  {[]string{"a", "b", "c"}, quarantineBlame - 1, false},
		"three ends of one node":    {[]string{"a", "a", "a"}, 10 * quarantineBlame, false},
		"four ends of one node":     {[]string{"a", "a", "a", "a"}, 10 * quarantineBlame, false},
		"five ends of one node":     {[]string{"a", "a", "a", "a", "a"}, 0, true},
		"five ends of several ones": {[]string{"a", "b", "c", "d", "e"}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			record := &Record{Blame: c.blame}
			for _, node := range c.nodes {
				record.Crashes = append(record.Crashes, CrashRef{Node: node})
			}
			is.Equal(record.shouldQuarantine(), c.guilty)
		})
	}
}

func TestWhoIsQuarantined(t *testing.T) {
	crashing, other, third := identityOf("deadly", "a"), identityOf("other", "a"), identityOf("third", "a")
	for name, c := range map[string]struct {
		events                 func(*history)
		crashing, other, third bool // whether each request is quarantined
	}{
		"three ends at two nodes, alone each time": {func(h *history) {
			h.crash("i-1", "n-1", crashing)
			h.crash("i-2", "n-2", crashing)
			h.crash("i-3", "n-1", crashing)
		}, true, false, false},
		"two ends": {func(h *history) {
			h.crash("i-1", "n-1", crashing)
			h.crash("i-2", "n-2", crashing)
		}, false, false, false},
		"three ends of busy instances": {func(h *history) {
			for n := range 3 {
				h.crash(fmt.Sprint("i-", n), fmt.Sprint("n-", n), append(freshRequests(fmt.Sprint(n)), crashing)...)
			}
		}, false, false, false},
		"four ends of busy instances": {func(h *history) {
			for n := range 4 {
				h.crash(fmt.Sprint("i-", n), fmt.Sprint("n-", n), append(freshRequests(fmt.Sprint(n)), crashing)...)
			}
		}, true, false, false},
		"one end, told three times": {func(h *history) {
			for range 3 {
				h.crash("i-1", "n-1", crashing)
			}
		}, false, false, false},
		"four ends at one node": {func(h *history) {
			for n := range 4 {
				h.crash(fmt.Sprint("i-", n), "n-1", crashing)
			}
		}, false, false, false},
		"five ends at one node": {func(h *history) {
			for n := range 5 {
				h.crash(fmt.Sprint("i-", n), "n-1", crashing)
			}
		}, true, false, false},
		"it has survived between": {func(h *history) {
			h.crash("i-1", "n-1", crashing)
			h.crash("i-2", "n-2", crashing)
			h.succeed(crashing.Any)
			h.succeed(crashing.PerCaller)
			h.crash("i-3", "n-1", crashing)
			h.crash("i-4", "n-2", crashing)
		}, false, false, false},
		"others survive the same, this caller's does not": {func(h *history) {
			for n := range 3 {
				h.crash(fmt.Sprint("i-", n), fmt.Sprint("n-", n), crashing)
				h.succeed(crashing.Any)
			}
		}, true, false, false},
		"another was beside it each time, until it was run apart": {func(h *history) {
			h.crash("i-1", "n-1", crashing, other)
			h.crash("i-2", "n-2", crashing, other)
			h.crash("i-3", "n-3", crashing, third) // other is held back
			h.succeed(other.Any)
			h.succeed(other.PerCaller)
			h.crash("i-4", "n-4", crashing, third)
		}, true, false, false},
		"suspects take most of the blame": {func(h *history) {
			for n := range 4 {
				h.crash(fmt.Sprint("i-", n), fmt.Sprint("n-", n), append(freshRequests(fmt.Sprint(n)), crashing)...)
			}
			// Requests running beside it at later crashes get hardly any blame.
			h.crash("i-5", "n-5", crashing, other)
			h.crash("i-6", "n-6", crashing, other)
		}, true, false, false},
		"two at the same time, each at its own": {func(h *history) {
			for n := range 4 {
				h.crash(fmt.Sprint("i-", n), fmt.Sprint("n-", n), append(freshRequests(fmt.Sprint("a", n)), crashing)...)
				h.crash(fmt.Sprint("o-", n), fmt.Sprint("n-", n), append(freshRequests(fmt.Sprint("b", n)), other)...)
			}
		}, true, true, false},
		"all instances at once, each with other runs": {func(h *history) {
			for n := range 20 {
				h.crash(fmt.Sprint("i-", n), fmt.Sprint("n-", n), identityOf(fmt.Sprint("one-", n), ""), identityOf(fmt.Sprint("two-", n), ""))
			}
		}, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &history{}
			c.events(h)
			is.Equal(h.quarantined(crashing), c.crashing)
			is.Equal(h.quarantined(other), c.other)
			is.Equal(h.quarantined(third), c.third)
		})
	}
}

// A success for one caller must not clear the record of another caller, and a late report on an
// earlier record must not clear a newer one.
func TestSurvivalClearsWhatItIsAbout(t *testing.T) {
	is := is.New(t)
	h := &history{}
	deadly := identityOf("deadly", "a")
	h.crash("i-1", "n-1", deadly)
	first, found := h.Get(deadly.Any)
	is.True(found)
	h.succeed(deadly.Any)
	_, found = h.Get(deadly.Any)
	is.Equal(found, false)
	_, found = h.Get(deadly.PerCaller)
	is.True(found)
	h.crash("i-2", "n-2", deadly)
	h.revision++
	changes := h.RecordSuccess(&SuccessReport{Digest: deadly.Any, Opened: first.Opened}, h.revision)
	is.Equal(len(changes.Digests), 0)
	_, found = h.Get(deadly.Any)
	is.True(found)
}

func quarantinedHistory() (*history, Identity) {
	h, crashing := &history{}, identityOf("deadly", "a")
	for n := range minCrashes {
		h.crash(fmt.Sprint("i-", n), fmt.Sprint("n-", n), crashing)
	}
	return h, crashing
}

func (h *history) offer(digest Digest) uint64 {
	h.revision++
	record, _ := h.Get(digest)
	h.Offer(RecordVersion{Digest: digest, Changed: record.Changed}, "", h.revision)
	record, _ = h.Get(digest)
	return record.Trial.Number
}

func TestOneRouterHasTheTrial(t *testing.T) {
	is := is.New(t)
	h, crashing := quarantinedHistory()
	take := func(number uint64, holder string) bool {
		h.revision++
		_, given := h.ClaimTrial(crashing.Any, number, holder, h.revision)
		return given
	}
	is.Equal(take(0, "r-1"), false) // no trial is on offer
	number := h.offer(crashing.Any)
	is.True(take(number, "r-1"))
	is.True(take(number, "r-1")) // a repeated request
	is.Equal(take(number, "r-2"), false)
	h.crash("i-9", "n-9", crashing) // the trial failed
	is.Equal(take(number, "r-1"), false)
	record, _ := h.Get(crashing.Any)
	is.True(record.Quarantined)
	is.Equal(record.Trials, uint32(1))

	again := h.offer(crashing.Any)
	is.True(again > number)
	is.True(take(again, "r-2"))
	h.succeed(crashing.Any)
	is.Equal(h.quarantined(crashing), false)
}

// A trial that no router uses is withdrawn, and its number is no longer valid.
func TestTrialIsTakenBack(t *testing.T) {
	is := is.New(t)
	h, crashing := quarantinedHistory()
	number := h.offer(crashing.Any)
	is.Equal(h.offer(crashing.Any), uint64(0))
	_, given := h.ClaimTrial(crashing.Any, number, "r-1", h.revision+1)
	is.Equal(given, false)
}

func TestSuspectsExpireAsTheyWereSeen(t *testing.T) {
	is := is.New(t)
	h, once := &history{}, identityOf("once", "a")
	h.crash("i-1", "n-1", once)
	record, _ := h.Get(once.Any)
	seen := RecordVersion{Digest: once.Any, Changed: record.Changed}
	h.crash("i-2", "n-2", once)
	h.Expire([]RecordVersion{seen})
	_, found := h.Get(once.Any)
	is.True(found) // there was another crash since
	record, _ = h.Get(once.Any)
	h.Expire([]RecordVersion{{Digest: once.Any, Changed: record.Changed}})
	_, found = h.Get(once.Any)
	is.Equal(found, false)

	h, crashing := quarantinedHistory()
	record, _ = h.Get(crashing.Any)
	h.Expire([]RecordVersion{{Digest: crashing.Any, Changed: record.Changed}})
	is.True(h.quarantined(crashing)) // quarantined records do not expire
}

func TestReleaseForgetsWhollyAndOnce(t *testing.T) {
	is := is.New(t)
	h, crashing := quarantinedHistory()
	changes, found := h.Release(crashing.Any)
	is.True(found)
	is.Equal(len(changes.Released), 1)
	is.Equal(h.quarantined(crashing), false)
	is.Equal(len(h.Records), 0)
	_, found = h.Release(crashing.Any)
	is.Equal(found, false)
}

// A caller that crashes instances with a different request each time must not grow the table beyond
// its bound, or displace quarantined records.
func TestTableIsBoundedWhoeverFillsIt(t *testing.T) {
	is := is.New(t)
	h, crashing := quarantinedHistory()
	strong := identityOf("strong", "a")
	h.crash("s-1", "n-1", strong)
	h.crash("s-2", "n-2", strong)
	for n := range maxSuspects {
		h.crash(fmt.Sprint("f-", n), "n-1", identityOf(fmt.Sprint("filler-", n), "b"))
	}
	is.Equal(len(h.Records), maxSuspects+1)
	is.True(h.quarantined(crashing))
	record, found := h.Get(strong.Any)
	is.True(found)
	is.Equal(len(record.Crashes), 2)
}

// Quarantined records have their own bound; those unchanged for longest are dropped first.
func TestQuarantinedAreBounded(t *testing.T) {
	is := is.New(t)
	h := &history{}
	for n := range maxQuarantined + 2 {
		for end := range CrashesAlwaysQuarantined {
			h.crash(fmt.Sprint("i-", n, "-", end), fmt.Sprint("n-", end), identityOf(fmt.Sprint("deadly-", n), "a"))
		}
	}
	is.Equal(len(h.Records), maxQuarantined)
	for n := range maxQuarantined + 2 {
		is.Equal(h.quarantined(identityOf(fmt.Sprint("deadly-", n), "a")), n >= 2)
	}
}
