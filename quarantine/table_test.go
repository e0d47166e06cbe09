package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// told is the identity of a request by its name, and by its caller's.
func told(name, caller string) Identity {
	request := Request{Method: []byte("GET"), Target: []byte(name), Caller: [][]byte{[]byte(caller)}}
	identity, _ := request.Identity(nil)
	return identity
}

// endOf is the end of an instance at a node while it was running some requests.
func endOf(instance, node string, running ...Identity) *End {
	end := &End{Service: "numbers", Instance: instance, Node: node, Version: "v1"}
	for _, identity := range running {
		end.Runs = append(end.Runs, Run{Identity: identity, Sample: "GET /"})
	}
	return end
}

// history is a table with the revisions of what it was told.
type history struct {
	Table
	revision uint64
}

func (h *history) end(instance, node string, running ...Identity) Changes {
	h.revision++
	return h.TakeEnd(endOf(instance, node, running...), h.revision, 0)
}

func (h *history) survived(digest Digest) {
	h.revision++
	record, _ := h.Get(digest)
	h.TakeSurvived(&Survived{Digest: digest, Opened: record.Opened}, h.revision)
}

func (h *history) quarantined(identity Identity) bool {
	anybody, _ := h.Get(identity.Any)
	own, _ := h.Get(identity.Own)
	return anybody.Quarantined || own.Quarantined
}

// busy is some requests that run beside others, each for the first time.
func busy(at string) []Identity {
	var list []Identity
	for n := range 11 {
		list = append(list, told(fmt.Sprint("beside-", at, "-", n), "b"))
	}
	return list
}

// Whatever the blame, two ends never do, and neither do several of one node alone.
func TestGuiltNeedsSeveralEnds(t *testing.T) {
	for name, c := range map[string]struct {
		nodes  []string
		blame  int64
		guilty bool
	}{
		"no end":                    {nil, 10 * enough, false},
		"one end":                   {[]string{"a"}, 10 * enough, false},
		"two ends":                  {[]string{"a", "b"}, 10 * enough, false},
		"three ends":                {[]string{"a", "b", "c"}, enough, true},
		"three ends, two nodes":     {[]string{"a", "b", "b"}, enough, true},
		"three ends, little blame":  {[]string{"a", "b", "c"}, enough - 1, false},
		"three ends of one node":    {[]string{"a", "a", "a"}, 10 * enough, false},
		"four ends of one node":     {[]string{"a", "a", "a", "a"}, 10 * enough, false},
		"five ends of one node":     {[]string{"a", "a", "a", "a", "a"}, 0, true},
		"five ends of several ones": {[]string{"a", "b", "c", "d", "e"}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			record := &Record{Blame: c.blame}
			for _, node := range c.nodes {
				record.Ends = append(record.Ends, EndRef{Node: node})
			}
			is.Equal(record.guilty(), c.guilty)
		})
	}
}

func TestWhoIsQuarantined(t *testing.T) {
	deadly, other, third := told("deadly", "a"), told("other", "a"), told("third", "a")
	for name, c := range map[string]struct {
		story              func(*history)
		deadly, other, not bool // not: the third one
	}{
		"three ends at two nodes, alone each time": {func(h *history) {
			h.end("i-1", "n-1", deadly)
			h.end("i-2", "n-2", deadly)
			h.end("i-3", "n-1", deadly)
		}, true, false, false},
		"two ends": {func(h *history) {
			h.end("i-1", "n-1", deadly)
			h.end("i-2", "n-2", deadly)
		}, false, false, false},
		"three ends of busy instances": {func(h *history) {
			for n := range 3 {
				h.end(fmt.Sprint("i-", n), fmt.Sprint("n-", n), append(busy(fmt.Sprint(n)), deadly)...)
			}
		}, false, false, false},
		"four ends of busy instances": {func(h *history) {
			for n := range 4 {
				h.end(fmt.Sprint("i-", n), fmt.Sprint("n-", n), append(busy(fmt.Sprint(n)), deadly)...)
			}
		}, true, false, false},
		"one end, told three times": {func(h *history) {
			for range 3 {
				h.end("i-1", "n-1", deadly)
			}
		}, false, false, false},
		"four ends at one node": {func(h *history) {
			for n := range 4 {
				h.end(fmt.Sprint("i-", n), "n-1", deadly)
			}
		}, false, false, false},
		"five ends at one node": {func(h *history) {
			for n := range 5 {
				h.end(fmt.Sprint("i-", n), "n-1", deadly)
			}
		}, true, false, false},
		"it has survived between": {func(h *history) {
			h.end("i-1", "n-1", deadly)
			h.end("i-2", "n-2", deadly)
			h.survived(deadly.Any)
			h.survived(deadly.Own)
			h.end("i-3", "n-1", deadly)
			h.end("i-4", "n-2", deadly)
		}, false, false, false},
		"others survive the same, this caller's does not": {func(h *history) {
			for n := range 3 {
				h.end(fmt.Sprint("i-", n), fmt.Sprint("n-", n), deadly)
				h.survived(deadly.Any)
			}
		}, true, false, false},
		"another was beside it each time, until it was run apart": {func(h *history) {
			h.end("i-1", "n-1", deadly, other)
			h.end("i-2", "n-2", deadly, other)
			h.end("i-3", "n-3", deadly, third) // the other one waits
			h.survived(other.Any)
			h.survived(other.Own)
			h.end("i-4", "n-4", deadly, third)
		}, true, false, false},
		"suspects take most of the blame": {func(h *history) {
			for n := range 4 {
				h.end(fmt.Sprint("i-", n), fmt.Sprint("n-", n), append(busy(fmt.Sprint(n)), deadly)...)
			}
			// Whatever else is running at the next ones has hardly any.
			h.end("i-5", "n-5", deadly, other)
			h.end("i-6", "n-6", deadly, other)
		}, true, false, false},
		"two at the same time, each at its own": {func(h *history) {
			for n := range 4 {
				h.end(fmt.Sprint("i-", n), fmt.Sprint("n-", n), append(busy(fmt.Sprint("a", n)), deadly)...)
				h.end(fmt.Sprint("o-", n), fmt.Sprint("n-", n), append(busy(fmt.Sprint("b", n)), other)...)
			}
		}, true, true, false},
		"all instances at once, each with other runs": {func(h *history) {
			for n := range 20 {
				h.end(fmt.Sprint("i-", n), fmt.Sprint("n-", n), told(fmt.Sprint("one-", n), ""), told(fmt.Sprint("two-", n), ""))
			}
		}, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &history{}
			c.story(h)
			is.Equal(h.quarantined(deadly), c.deadly)
			is.Equal(h.quarantined(other), c.other)
			is.Equal(h.quarantined(third), c.not)
		})
	}
}

// A good run of a caller's own clears what is known of it, one of somebody else's only what is
// known whoever asks; a word on an earlier record clears nothing that has come up since.
func TestSurvivalClearsWhatItIsAbout(t *testing.T) {
	is := is.New(t)
	h := &history{}
	deadly := told("deadly", "a")
	h.end("i-1", "n-1", deadly)
	first, found := h.Get(deadly.Any)
	is.True(found)
	h.survived(deadly.Any)
	_, found = h.Get(deadly.Any)
	is.Equal(found, false)
	_, found = h.Get(deadly.Own)
	is.True(found)
	h.end("i-2", "n-2", deadly)
	h.revision++
	changes := h.TakeSurvived(&Survived{Digest: deadly.Any, Opened: first.Opened}, h.revision)
	is.Equal(len(changes.Digests), 0)
	_, found = h.Get(deadly.Any)
	is.True(found)
}

func quarantinedOnce() (*history, Identity) {
	h, deadly := &history{}, told("deadly", "a")
	for n := range leastEnds {
		h.end(fmt.Sprint("i-", n), fmt.Sprint("n-", n), deadly)
	}
	return h, deadly
}

func (h *history) offer(digest Digest) uint64 {
	h.revision++
	record, _ := h.Get(digest)
	h.Offer(Aged{Digest: digest, Changed: record.Changed}, "", h.revision)
	record, _ = h.Get(digest)
	return record.Trial.Number
}

func TestOneRouterHasTheTrial(t *testing.T) {
	is := is.New(t)
	h, deadly := quarantinedOnce()
	take := func(number uint64, holder string) bool {
		h.revision++
		_, given := h.TakeTrial(deadly.Any, number, holder, h.revision)
		return given
	}
	is.Equal(take(0, "r-1"), false) // none was offered
	number := h.offer(deadly.Any)
	is.True(take(number, "r-1"))
	is.True(take(number, "r-1")) // it asks again
	is.Equal(take(number, "r-2"), false)
	h.end("i-9", "n-9", deadly) // it failed
	is.Equal(take(number, "r-1"), false)
	record, _ := h.Get(deadly.Any)
	is.True(record.Quarantined)
	is.Equal(record.Trials, uint32(1))

	again := h.offer(deadly.Any)
	is.True(again > number)
	is.True(take(again, "r-2"))
	h.survived(deadly.Any)
	is.Equal(h.quarantined(deadly), false)
}

// A trial that nobody uses is taken back, and counts as one.
func TestTrialIsTakenBack(t *testing.T) {
	is := is.New(t)
	h, deadly := quarantinedOnce()
	number := h.offer(deadly.Any)
	is.Equal(h.offer(deadly.Any), uint64(0))
	_, given := h.TakeTrial(deadly.Any, number, "r-1", h.revision+1)
	is.Equal(given, false)
}

func TestSuspectsExpireAsTheyWereSeen(t *testing.T) {
	is := is.New(t)
	h, once := &history{}, told("once", "a")
	h.end("i-1", "n-1", once)
	record, _ := h.Get(once.Any)
	seen := Aged{Digest: once.Any, Changed: record.Changed}
	h.end("i-2", "n-2", once)
	h.Expire([]Aged{seen})
	_, found := h.Get(once.Any)
	is.True(found) // it has been in another end since
	record, _ = h.Get(once.Any)
	h.Expire([]Aged{{Digest: once.Any, Changed: record.Changed}})
	_, found = h.Get(once.Any)
	is.Equal(found, false)

	h, deadly := quarantinedOnce()
	record, _ = h.Get(deadly.Any)
	h.Expire([]Aged{{Digest: deadly.Any, Changed: record.Changed}})
	is.True(h.quarantined(deadly)) // what is quarantined does not expire
}

func TestReleaseForgetsWhollyAndOnce(t *testing.T) {
	is := is.New(t)
	h, deadly := quarantinedOnce()
	changes, found := h.Release(deadly.Any)
	is.True(found)
	is.Equal(len(changes.Released), 1)
	is.Equal(h.quarantined(deadly), false)
	is.Equal(len(h.Records), 0)
	_, found = h.Release(deadly.Any)
	is.Equal(found, false)
}

// A caller who has one instance after the other end, under another request each time, fills the
// table to its bound and no further, and pushes out nothing that is quarantined.
func TestTableIsBoundedWhoeverFillsIt(t *testing.T) {
	is := is.New(t)
	h, deadly := quarantinedOnce()
	strong := told("strong", "a")
	h.end("s-1", "n-1", strong)
	h.end("s-2", "n-2", strong)
	for n := range maxSuspects {
		h.end(fmt.Sprint("f-", n), "n-1", told(fmt.Sprint("filler-", n), "b"))
	}
	is.Equal(len(h.Records), maxSuspects+1)
	is.True(h.quarantined(deadly))
	record, found := h.Get(strong.Any)
	is.True(found)
	is.Equal(len(record.Ends), 2)
}

// What is quarantined is bounded by itself: the one that was changed longest ago goes first.
func TestQuarantinedAreBounded(t *testing.T) {
	is := is.New(t)
	h := &history{}
	for n := range maxQuarantined + 2 {
		for end := range MostEnds {
			h.end(fmt.Sprint("i-", n, "-", end), fmt.Sprint("n-", end), told(fmt.Sprint("deadly-", n), "a"))
		}
	}
	is.Equal(len(h.Records), maxQuarantined)
	for n := range maxQuarantined + 2 {
		is.Equal(h.quarantined(told(fmt.Sprint("deadly-", n), "a")), n >= 2)
	}
}
