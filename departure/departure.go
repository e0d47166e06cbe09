// Package departure holds what instances have announced about their end, in the form in which control keeps it for the
// processes beside them. It does no I/O and reads no clock.
package departure

import (
	"slices"

	"limehold/incarnation"
)

// Kind is what an incarnation has announced. A higher kind includes the lower ones.
type Kind uint8

// Kinds of notices. Numbers are part of the records and of the protocol.
const (
	// Draining: it is about to stop, and may still announce that it stays.
	Draining Kind = 1
	// Leaving: an answer said that it is about to stop. It cannot withdraw that.
	Leaving Kind = 2
	// Departed: it is gone, or serves only what it was sent before.
	Departed Kind = 3
)

// IsValid reports whether the kind is one of those above.
func (k Kind) IsValid() bool { return k >= Draining && k <= Departed }

// Notice is one announcement of an end.
type Notice struct {
	Kind        Kind
	Incarnation incarnation.ID
	// Sequence is that of the announcement by which an incarnation began to drain; 0 for the other kinds.
	Sequence uint64
	// CoversEarlier is set on a departure that named only an identity: it covers all incarnations of it that began no later than
	// Incarnation, and those that do not tell when they began.
	CoversEarlier bool
}

// includes reports whether a notice says all that another one says.
func (n Notice) includes(other Notice) bool {
	if n.Incarnation.ID != other.Incarnation.ID || n.CoversEarlier != other.CoversEarlier {
		return false
	}
	if n.CoversEarlier {
		return n.Incarnation.StartedAt >= other.Incarnation.StartedAt
	}
	return n.Incarnation == other.Incarnation && (n.Kind > other.Kind || n.Kind == other.Kind && n.Sequence >= other.Sequence)
}

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Draining:
		return "draining"
	case Leaving:
		return "leaving"
	case Departed:
		return "departed"
	}
	return "unknown"
}

// maxNotices is how many notices are kept for one node. Late messages of an incarnation arrive seconds after its end, in
// which a node has a few incarnations at most.
const maxNotices = 16

// List holds the newest notices of one node, oldest first. It is immutable.
type List []Notice

// Includes reports whether a notice would add nothing to the list.
func (l List) Includes(notice Notice) bool {
	return slices.ContainsFunc(l, func(known Notice) bool { return known.includes(notice) })
}

// IsFull reports whether the list drops its oldest notice for a further one.
func (l List) IsFull() bool { return len(l) >= maxNotices }

// With returns the list with a notice added. Notices that the new one includes are dropped, and the oldest if there are
// too many.
func (l List) With(notice Notice) List {
	if l.Includes(notice) {
		return l
	}
	next := slices.DeleteFunc(slices.Clone(l), notice.includes)
	next = append(next, notice)
	return slices.Clone(next[max(0, len(next)-maxNotices):])
}

// Without returns the list without the notices that the given one includes.
func (l List) Without(notice Notice) List { return slices.DeleteFunc(slices.Clone(l), notice.includes) }
