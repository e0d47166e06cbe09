package routing

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxOrders bounds the changes that are remembered for repetitions.
const maxOrders = 8192

// Change is an operator's order: a whole document, or edits of named items.
type Change struct {
	// Base is the version that the operator saw; zero: none.
	Base uint64
	// Version that the table has afterwards.
	Version uint64
	// Whole replaces all items; otherwise Upsert and Remove edit them.
	Whole  bool
	Upsert []Item
	Remove []Reference
	// Digest identifies the order as it was sent; see Digest.
	Digest uint64
}

// Reference names an item.
type Reference struct {
	Section Section
	Name    string
}

// Digest identifies an order by what was sent.
func Digest(method, base string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + "\x00" + base + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Order is a change that was taken.
type Order struct {
	Digest  uint64
	Version uint64
}

// Verdict is the outcome of a change.
type Verdict uint8

// Verdicts.
const (
	// VerdictTaken: the change is in force, now or by an earlier sending of it.
	VerdictTaken Verdict = iota
	// VerdictConflict: another version than the base is in force.
	VerdictConflict
	// VerdictInvalid: the change makes no valid table.
	VerdictInvalid
)

// Outcome is the replicated answer to a change.
type Outcome struct {
	Verdict Verdict
	// Current version after the change.
	Current uint64
	// Repeated is set when an earlier sending had been taken already.
	Repeated bool
	// Message names what is wrong, and the fix.
	Message string
}

// Store is the replicated route table.
//
// Invariants:
//   - The version only rises.
//   - A change is taken only on top of the version that it names, so that of two
//     changes with the same base at most one is taken.
//   - An order that was taken stays in Orders until maxOrders later ones were,
//     and is acknowledged again without any effect.
type Store struct {
	Document Document
	// Orders that were taken, oldest first.
	Orders []Order
}

// Apply takes a change, or refuses it without any effect.
func (s *Store) Apply(change *Change) Outcome {
	for i := len(s.Orders) - 1; i >= 0; i-- {
		if s.Orders[i].Digest == change.Digest && s.Orders[i].Version == change.Version {
			return Outcome{Verdict: VerdictTaken, Current: s.Document.Version, Repeated: true}
		}
	}
	if change.Base != s.Document.Version {
		return Outcome{
			Verdict: VerdictConflict, Current: s.Document.Version,
			Message: fmt.Sprintf("the change builds on version %d, in force is version %d: read it and send the change again", change.Base, s.Document.Version),
		}
	}
	next := s.Document.Edited(change)
	if change.Version <= s.Document.Version {
		return s.invalid(fmt.Sprintf("version is %d: use a number above the current one, %d", change.Version, s.Document.Version))
	}
	if wrong := next.Validate(); wrong != nil {
		return s.invalid(wrong.Error())
	}
	s.Document = next
	s.Orders = append(s.Orders, Order{Digest: change.Digest, Version: change.Version})
	if len(s.Orders) > maxOrders {
		s.Orders = slices.Delete(s.Orders, 0, len(s.Orders)-maxOrders)
	}
	return Outcome{Verdict: VerdictTaken, Current: s.Document.Version}
}

func (s *Store) invalid(message string) Outcome {
	return Outcome{Verdict: VerdictInvalid, Current: s.Document.Version, Message: message}
}

// Edited returns the document after a change; the receiver is not touched.
func (d *Document) Edited(change *Change) Document {
	next := Document{Version: change.Version}
	if change.Whole {
		next.Items = slices.Clone(change.Upsert)
		return next
	}
	next.Items = slices.Clone(d.Items)
	for _, reference := range change.Remove {
		next.Items = slices.DeleteFunc(next.Items, func(item Item) bool {
			return item.Section == reference.Section && item.Name == reference.Name
		})
	}
	for _, item := range change.Upsert {
		at := slices.IndexFunc(next.Items, func(old Item) bool { return old.Section == item.Section && old.Name == item.Name })
		if at < 0 {
			next.Items = append(next.Items, item)
			continue
		}
		next.Items[at] = item
	}
	return next
}

// WholeOf returns the change that makes a document out of nothing.
func WholeOf(document *Document) *Change {
	return &Change{Version: document.Version, Whole: true, Upsert: document.Items}
}

// WithoutSources returns a copy that carries only what was understood: all that
// routers need.
func (c *Change) WithoutSources() *Change {
	copied := *c
	copied.Upsert = slices.Clone(c.Upsert)
	for i := range copied.Upsert {
		copied.Upsert[i].Source = nil
	}
	return &copied
}
