// Package life names one start of an instance, and says which of two starts was later. An
// instance may start again under the identity of the one before: it then holds and knows
// nothing of what that one did, so that an identity alone does not tell them apart. The package
// is pure: what it says follows from its arguments.
package life

import (
	"slices"
	"strconv"
	"strings"
)

// Life is one start of an instance. It is a value: it never changes, and two are equal when they
// are the same start. The zero value is no start.
type Life struct {
	// ID is the identity that the instance gives itself, which a later start may have too.
	ID string
	// Born is the Unix millisecond at which the start began, on its machine's clock. Zero: the
	// instance does not say.
	Born int64
}

// Known reports whether this is a start at all.
func (l Life) Known() bool { return l.ID != "" }

// Follows reports whether a start began later than another one at the same address. The order of
// two is known only where both say when they began, and not in the same millisecond; later says
// nothing where it is not.
func (l Life) Follows(before Life) (later, known bool) {
	if l.Born <= 0 || before.Born <= 0 || l.Born == before.Born {
		return false, false
	}
	return l.Born > before.Born, true
}

// bornMark stands between the identity and when it began, in the text of a start.
const bornMark = "@"

// String is the text by which a start is named to others: different starts of one identity have
// different ones. It is the identity alone where the start does not say when it began.
func (l Life) String() string {
	if l.Born == 0 {
		return l.ID
	}
	return l.ID + bornMark + strconv.FormatInt(l.Born, 10)
}

// IsOf reports whether the text of a start names one of an identity.
func IsOf(text, id string) bool {
	return text == id || strings.HasPrefix(text, id+bornMark)
}

// Memory remembers starts, and forgets the oldest first once there are too many: identities come
// from outside, and an instance may start as often as it likes.
type Memory struct {
	most int
	// lives are what is remembered, the latest added last.
	lives []Life
}

// NewMemory returns a memory of as many starts as most, at least of one.
func NewMemory(most int) *Memory { return &Memory{most: max(1, most)} }

// Add remembers a start; one that is remembered already counts as added just now.
func (m *Memory) Add(l Life) {
	if at := slices.Index(m.lives, l); at >= 0 {
		m.lives = slices.Delete(m.lives, at, at+1)
	}
	if len(m.lives) >= m.most {
		m.lives = slices.Delete(m.lives, 0, 1)
	}
	m.lives = append(m.lives, l)
}

// Has reports whether a start is remembered.
func (m *Memory) Has(l Life) bool { return slices.Contains(m.lives, l) }

// HasLater reports whether a start of the same identity is remembered that is known to have begun
// later.
func (m *Memory) HasLater(l Life) bool {
	for _, known := range m.lives {
		if later, ordered := known.Follows(l); known.ID == l.ID && ordered && later {
			return true
		}
	}
	return false
}

// Latest returns the start of an identity that was added last; false: none is remembered.
func (m *Memory) Latest(id string) (Life, bool) {
	for _, known := range slices.Backward(m.lives) {
		if known.ID == id {
			return known, true
		}
	}
	return Life{}, false
}
