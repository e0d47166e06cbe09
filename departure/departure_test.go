package departure

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"limehold/incarnation"
)

var (
	first  = incarnation.ID{ID: "i-1", StartedAt: 10}
	second = incarnation.ID{ID: "i-1", StartedAt: 20}
	other  = incarnation.ID{ID: "i-2", StartedAt: 10}
)

// A notice must not replace one that says more: an incarnation would count as staying again.
func TestNoticeIsReplacedOnlyByOneThatSaysMore(t *testing.T) {
	for name, c := range map[string]struct {
		list List
		want List
	}{
		"the same again":         {List{{Kind: Draining, Incarnation: first, Sequence: 4}, {Kind: Draining, Incarnation: first, Sequence: 4}}, List{{Kind: Draining, Incarnation: first, Sequence: 4}}},
		"a later drain":          {List{{Kind: Draining, Incarnation: first, Sequence: 4}, {Kind: Draining, Incarnation: first, Sequence: 9}}, List{{Kind: Draining, Incarnation: first, Sequence: 9}}},
		"a late earlier drain":   {List{{Kind: Draining, Incarnation: first, Sequence: 9}, {Kind: Draining, Incarnation: first, Sequence: 4}}, List{{Kind: Draining, Incarnation: first, Sequence: 9}}},
		"departed after drained": {List{{Kind: Draining, Incarnation: first, Sequence: 4}, {Kind: Departed, Incarnation: first}}, List{{Kind: Departed, Incarnation: first}}},
		"drained after departed": {List{{Kind: Departed, Incarnation: first}, {Kind: Draining, Incarnation: first, Sequence: 4}}, List{{Kind: Departed, Incarnation: first}}},
		"another start":          {List{{Kind: Departed, Incarnation: first}, {Kind: Draining, Incarnation: second, Sequence: 1}}, List{{Kind: Departed, Incarnation: first}, {Kind: Draining, Incarnation: second, Sequence: 1}}},
		"another identity":       {List{{Kind: Departed, Incarnation: first}, {Kind: Departed, Incarnation: other}}, List{{Kind: Departed, Incarnation: first}, {Kind: Departed, Incarnation: other}}},
		"all up to a later time": {List{{Kind: Departed, Incarnation: first, CoversEarlier: true}, {Kind: Departed, Incarnation: second, CoversEarlier: true}}, List{{Kind: Departed, Incarnation: second, CoversEarlier: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var list List
			for _, notice := range c.list {
				list = list.With(notice)
				is.True(list.Includes(notice))
			}
			is.Equal(list, c.want)
		})
	}
}

func TestListIsBoundedAndImmutable(t *testing.T) {
	is := is.New(t)
	var list List
	for i := range 3 * maxNotices {
		before := fmt.Sprint(list)
		next := list.With(Notice{Kind: Departed, Incarnation: incarnation.ID{ID: fmt.Sprint(i)}})
		is.Equal(fmt.Sprint(list), before)
		list = next
	}
	is.Equal(len(list), maxNotices)
	is.Equal(list[len(list)-1].Incarnation.ID, fmt.Sprint(3*maxNotices-1))
	is.Equal(len(list.Without(list[0])), maxNotices-1)
}
