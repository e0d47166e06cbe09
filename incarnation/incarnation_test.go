package incarnation

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Only incarnations that both report their start may be ordered: mistaking an earlier one for a later one
// would end the running one.
func TestLifeFollows(t *testing.T) {
	for name, c := range map[string]struct {
		id, before   ID
		later, known bool
	}{
		"the same identity, born later":        {ID{"i-1", 20}, ID{"i-1", 10}, true, true},
		"the same identity, born earlier":      {ID{"i-1", 10}, ID{"i-1", 20}, false, true},
		"another identity, born later":         {ID{"i-2", 20}, ID{"i-1", 10}, true, true},
		"another identity, born earlier":       {ID{"i-2", 10}, ID{"i-1", 20}, false, true},
		"the same start":                       {ID{"i-1", 10}, ID{"i-1", 10}, false, false},
		"another one of the same millisecond":  {ID{"i-2", 10}, ID{"i-1", 10}, false, false},
		"neither says when":                    {ID{"i-2", 0}, ID{"i-1", 0}, false, false},
		"the one before does not say when":     {ID{"i-2", 10}, ID{"i-1", 0}, false, false},
		"the one asked about does not say":     {ID{"i-2", 0}, ID{"i-1", 10}, false, false},
		"a time before 1970 is none":           {ID{"i-2", 10}, ID{"i-1", -10}, false, false},
		"no start before":                      {ID{"i-2", 10}, ID{}, false, false},
		"times of more bits than a float has":  {ID{"i-1", 1<<53 + 1}, ID{"i-1", 1 << 53}, true, true},
		"the largest and the smallest of them": {ID{"i-1", 1<<63 - 1}, ID{"i-1", 1}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			later, known := c.id.Follows(c.before)
			is.Equal(later, c.later)
			is.Equal(known, c.known)
			if reverse, ordered := c.before.Follows(c.id); known {
				is.True(ordered)
				is.Equal(reverse, !later)
			} else {
				is.True(!ordered)
			}
		})
	}
}

func TestLifeText(t *testing.T) {
	for name, c := range map[string]struct {
		life ID
		text string
	}{
		"with its time":    {ID{"i-7f3a91c2", 1764731119123}, "i-7f3a91c2@1764731119123"},
		"without its time": {ID{"i-7f3a91c2", 0}, "i-7f3a91c2"},
		"no start":         {ID{}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.life.String(), c.text)
			is.Equal(c.life.Known(), c.text != "")
		})
	}
}

func TestLifeMemory(t *testing.T) {
	const most = 3
	for name, c := range map[string]struct {
		added  []ID
		has    []ID
		hasNot []ID
	}{
		"nothing":                       {nil, nil, []ID{{}, {"i-1", 0}}},
		"a start, by identity and time": {[]ID{{"i-1", 10}}, []ID{{"i-1", 10}}, []ID{{"i-1", 11}, {"i-1", 0}, {"i-2", 10}}},
		"as many as fit":                {[]ID{{"i-1", 0}, {"i-2", 0}, {"i-3", 0}}, []ID{{"i-1", 0}, {"i-2", 0}, {"i-3", 0}}, nil},
		"the oldest is forgotten":       {[]ID{{"i-1", 0}, {"i-2", 0}, {"i-3", 0}, {"i-4", 0}}, []ID{{"i-2", 0}, {"i-3", 0}, {"i-4", 0}}, []ID{{"i-1", 0}}},
		"one again takes no room":       {[]ID{{"i-1", 0}, {"i-2", 0}, {"i-2", 0}, {"i-2", 0}}, []ID{{"i-1", 0}, {"i-2", 0}}, nil},
		"one again is the newest":       {[]ID{{"i-1", 0}, {"i-2", 0}, {"i-3", 0}, {"i-1", 0}, {"i-4", 0}}, []ID{{"i-1", 0}, {"i-3", 0}, {"i-4", 0}}, []ID{{"i-2", 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewRecentSet(most)
			for _, l := range c.added {
				m.Add(l)
			}
			for _, l := range c.has {
				is.True(m.Has(l))
			}
			for _, l := range c.hasNot {
				is.True(!m.Has(l))
			}
		})
	}
}

// The set must stay bounded however many incarnations are added.
func TestLifeMemoryIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ most, kept int }{
		"many":               {256, 256},
		"one":                {1, 1},
		"none is as one":     {0, 1},
		"fewer than nothing": {-4, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewRecentSet(c.most)
			for n := range 1000 {
				m.Add(ID{ID: fmt.Sprint("i-", n)})
			}
			is.Equal(len(m.ids), c.kept)
			is.True(m.Has(ID{ID: "i-999"}))
		})
	}
}

func TestLifeMemoryOfAnIdentity(t *testing.T) {
	m := NewRecentSet(8)
	for _, l := range []ID{{"i-1", 20}, {"i-1", 30}, {"i-2", 0}, {"i-3", 90}} {
		m.Add(l)
	}
	for name, c := range map[string]struct {
		life   ID
		later  bool
		latest ID
	}{
		"before both":                     {ID{"i-1", 10}, true, ID{"i-1", 30}},
		"between both":                    {ID{"i-1", 25}, true, ID{"i-1", 30}},
		"the last one itself":             {ID{"i-1", 30}, false, ID{"i-1", 30}},
		"after both":                      {ID{"i-1", 40}, false, ID{"i-1", 30}},
		"it does not say when":            {ID{"i-1", 0}, false, ID{"i-1", 30}},
		"what is remembered says nothing": {ID{"i-2", 10}, false, ID{"i-2", 0}},
		"of another identity":             {ID{"i-4", 10}, false, ID{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(m.HasLater(c.life), c.later)
			latest, known := m.Latest(c.life.ID)
			is.Equal(latest, c.latest)
			is.Equal(known, c.latest.Known())
		})
	}
}
