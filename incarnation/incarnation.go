// Package incarnation identifies the incarnations of an instance and orders them. An instance may restart under
// the same identity without the keys and state of its predecessor, so that the identity alone does not
// distinguish them. The package does no I/O and reads no clock.
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
func (i ID) Known() bool { return i.ID != "" }

// Follows reports whether an incarnation started later than another one at the same address. known is
// false, and later meaningless, unless both have a start time and the times differ.
func (i ID) Follows(before ID) (later, known bool) {
	if i.StartedAt <= 0 || before.StartedAt <= 0 || i.StartedAt == before.StartedAt {
		return false, false
	}
	return i.StartedAt > before.StartedAt, true
}

// startSeparator separates the identity from the start time in the text of an incarnation.
const startSeparator = "@"

// String returns the text that identifies the incarnation to other processes: the identity and the start
// time, or only the identity if the start time is unknown.
func (i ID) String() string {
	if i.StartedAt == 0 {
		return i.ID
	}
	return i.ID + startSeparator + strconv.FormatInt(i.StartedAt, 10)
}

// IsOf reports whether the text of an incarnation has the given identity.
func IsOf(text, id string) bool {
	return text == id || strings.HasPrefix(text, id+startSeparator)
}

// RecentSet is a set of incarnations that drops the oldest when it is full. It is bounded because identities
// come from outside, and an instance may restart any number of times.
type RecentSet struct {
	capacity int
	// ids are in the order in which they were added.
	ids []ID
}

// NewRecentSet returns an empty set that holds up to capacity incarnations, at least one.
func NewRecentSet(capacity int) *RecentSet { return &RecentSet{capacity: max(1, capacity)} }

// Add adds an incarnation, or makes it the newest if it is already in the set.
func (s *RecentSet) Add(i ID) {
	if at := slices.Index(s.ids, i); at >= 0 {
		s.ids = slices.Delete(s.ids, at, at+1)
	}
	if len(s.ids) >= s.capacity {
		s.ids = slices.Delete(s.ids, 0, 1)
	}
	s.ids = append(s.ids, i)
}

// Has reports whether an incarnation is in the set.
func (s *RecentSet) Has(i ID) bool { return slices.Contains(s.ids, i) }

// HasLater reports whether the set holds an incarnation of the same identity that is known to have started
// later.
func (s *RecentSet) HasLater(i ID) bool {
	for _, known := range s.ids {
		if later, ordered := known.Follows(i); known.ID == i.ID && ordered && later {
			return true
		}
	}
	return false
}

// Latest returns the incarnation of an identity that was added last, if there is one.
func (s *RecentSet) Latest(id string) (ID, bool) {
	for _, known := range slices.Backward(s.ids) {
		if known.ID == id {
			return known, true
		}
	}
	return ID{}, false
}
