package life

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Only incarnations that both report their start may be ordered: mistaking an earlier one for a later one
// would end the running one.
func TestLifeFollows(t *testing.T) {
	for name, c := range map[string]struct {
		life, before Life
		later, known bool
	}{
		"the same identity, born later":        {Life{"i-1", 20}, Life{"i-1", 10}, true, true},
		"the same identity, born earlier":      {Life{"i-1", 10}, Life{"i-1", 20}, false, true},
		"another identity, born later":         {Life{"i-2", 20}, Life{"i-1", 10}, true, true},
		"another identity, born earlier":       {Life{"i-2", 10}, Life{"i-1", 20}, false, true},
		"the same start":                       {Life{"i-1", 10}, Life{"i-1", 10}, false, false},
		"another one of the same millisecond":  {Life{"i-2", 10}, Life{"i-1", 10}, false, false},
		"neither says when":                    {Life{"i-2", 0}, Life{"i-1", 0}, false, false},
		"the one before does not say when":     {Life{"i-2", 10}, Life{"i-1", 0}, false, false},
		"the one asked about does not say":     {Life{"i-2", 0}, Life{"i-1", 10}, false, false},
		"a time before 1970 is none":           {Life{"i-2", 10}, Life{"i-1", -10}, false, false},
		"no start before":                      {Life{"i-2", 10}, Life{}, false, false},
		"times of more bits than a float has":  {Life{"i-1", 1<<53 + 1}, Life{"i-1", 1 << 53}, true, true},
		"the largest and the smallest of them": {Life{"i-1", 1<<63 - 1}, Life{"i-1", 1}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			later, known := c.life.Follows(c.before)
			is.Equal(later, c.later)
			is.Equal(known, c.known)
			if reverse, ordered := c.before.Follows(c.life); known {
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
		life Life
		text string
	}{
		"with its time":    {Life{"i-7f3a91c2", 1764731119123}, "i-7f3a91c2@1764731119123"},
		"without its time": {Life{"i-7f3a91c2", 0}, "i-7f3a91c2"},
		"no start":         {Life{}, ""},
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
		added  []Life
		has    []Life
		hasNot []Life
	}{
		"nothing":                       {nil, nil, []Life{{}, {"i-1", 0}}},
		"a start, by identity and time": {[]Life{{"i-1", 10}}, []Life{{"i-1", 10}}, []Life{{"i-1", 11}, {"i-1", 0}, {"i-2", 10}}},
		"as many as fit":                {[]Life{{"i-1", 0}, {"i-2", 0}, {"i-3", 0}}, []Life{{"i-1", 0}, {"i-2", 0}, {"i-3", 0}}, nil},
		"the oldest is forgotten":       {[]Life{{"i-1", 0}, {"i-2", 0}, {"i-3", 0}, {"i-4", 0}}, []Life{{"i-2", 0}, {"i-3", 0}, {"i-4", 0}}, []Life{{"i-1", 0}}},
		"one again takes no room":       {[]Life{{"i-1", 0}, {"i-2", 0}, {"i-2", 0}, {"i-2", 0}}, []Life{{"i-1", 0}, {"i-2", 0}}, nil},
		"one again is the newest":       {[]Life{{"i-1", 0}, {"i-2", 0}, {"i-3", 0}, {"i-1", 0}, {"i-4", 0}}, []Life{{"i-1", 0}, {"i-3", 0}, {"i-4", 0}}, []Life{{"i-2", 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMemory(most)
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
			m := NewMemory(c.most)
			for n := range 1000 {
				m.Add(Life{ID: fmt.Sprint("i-", n)})
			}
			is.Equal(len(m.lives), c.kept)
			is.True(m.Has(Life{ID: "i-999"}))
		})
	}
}

func TestLifeMemoryOfAnIdentity(t *testing.T) {
	m := NewMemory(8)
	for _, l := range []Life{{"i-1", 20}, {"i-1", 30}, {"i-2", 0}, {"i-3", 90}} {
		m.Add(l)
	}
	for name, c := range map[string]struct {
		life   Life
		later  bool
		latest Life
	}{
		"before both":                     {Life{"i-1", 10}, true, Life{"i-1", 30}},
		"between both":                    {Life{"i-1", 25}, true, Life{"i-1", 30}},
		"the last one itself":             {Life{"i-1", 30}, false, Life{"i-1", 30}},
		"after both":                      {Life{"i-1", 40}, false, Life{"i-1", 30}},
		"it does not say when":            {Life{"i-1", 0}, false, Life{"i-1", 30}},
		"what is remembered says nothing": {Life{"i-2", 10}, false, Life{"i-2", 0}},
		"of another identity":             {Life{"i-4", 10}, false, Life{}},
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
