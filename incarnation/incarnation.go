// Package incarnation identifies the incarnations of an instance and orders them. An instance may restart under
// the same identity without the keys and state of its predecessor, so that the identity alone does not
// distinguish them. All results depend only on the arguments.
package incarnation

import (
	"slices"
	"strconv"
	"strings"
)

// ID is one incarnation of an instance. It is immutable, and two values are equal if they identify the
// same incarnation. The zero value is none.
type ID struct {
	// ID is the identity that the instance reports. A later incarnation may have the same one.
	ID string
	// StartedAt is the start of the incarnation in Unix milliseconds by the clock of its machine, or 0 if the
	// instance does not report it.
	StartedAt int64
}

// Known reports whether the value identifies an incarnation.
func (l ID) Known() bool { return l.ID != "" }

// Follows reports whether an incarnation started later than another one at the same address. known is
// false, and later meaningless, unless both have a start time and the times differ.
func (l ID) Follows(before ID) (later, known bool) {
	if l.StartedAt <= 0 || before.StartedAt <= 0 || l.StartedAt == before.StartedAt {
		return false, false
	}
	return l.StartedAt > before.StartedAt, true
}

// startSeparator separates the identity from the start time in the text of an incarnation.
const startSeparator = "@"

// String returns the text that identifies the incarnation to other processes: the identity and the start
// time, or only the identity if the start time is unknown.
func (l ID) String() string {
	if l.StartedAt == 0 {
		return l.ID
	}
	return l.ID + startSeparator + strconv.FormatInt(l.StartedAt, 10)
}

// IsOf reports whether the text of an incarnation has the given identity.
func IsOf(text, id string) bool {
	return text == id || strings.HasPrefix(text, id+startSeparator)
}

// RecentSet is a bounded set of incarnations that drops the oldest first. The bound is needed as identities
// come from outside, and an instance may restart any number of times.
type RecentSet struct {
	capacity int
	// ids are in the order in which they were added.
	ids []ID
}

// NewRecentSet returns an empty set that holds up to capacity incarnations, at least one.
func NewRecentSet(capacity int) *RecentSet { return &RecentSet{capacity: max(1, capacity)} }

// Add adds an incarnation, or makes it the newest if it is already in the set.
func (m *RecentSet) Add(l ID) {
	if at := slices.Index(m.ids, l); at >= 0 {
		m.ids = slices.Delete(m.ids, at, at+1)
	}
	if len(m.ids) >= m.capacity {
		m.ids = slices.Delete(m.ids, 0, 1)
	}
	m.ids = append(m.ids, l)
}

// Has reports whether an incarnation is in the set.
func (m *RecentSet) Has(l ID) bool { return slices.Contains(m.ids, l) }

// HasLater reports whether the set holds an incarnation of the same identity that is known to have started
// later.
func (m *RecentSet) HasLater(l ID) bool {
	for _, known := range m.ids {
		if later, ordered := known.Follows(l); known.ID == l.ID && ordered && later {
			return true
		}
	}
	return false
}

// Latest returns the incarnation of an identity that was added last, if there is one.
func (m *RecentSet) Latest(id string) (ID, bool) {
	for _, known := range slices.Backward(m.ids) {
		if known.ID == id {
			return known, true
		}
	}
	return ID{}, false
}
