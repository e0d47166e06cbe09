package routing

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAppliedChanges bounds the applied changes that are kept to recognize repetitions.
const maxAppliedChanges = 8192

// Change replaces the whole document or edits named items, as an operator requested.
type Change struct {
	// Base is the version that the change builds on, 0 if there was none.
	Base uint64
	// Version is the version of the table after the change.
	Version uint64
	// ReplaceAll is set if Upsert replaces all items; otherwise Upsert and Remove edit them.
	ReplaceAll bool
	Upsert     []Item
	Remove     []ItemKey
	// Digest identifies the change as it was sent; see the function Digest.
	Digest uint64
	// Legacy is set for changes that were recorded before the rules of Document.Validate were extended. They are
	// replayed under the rules by which they were applied or rejected, so that all members hold the same table.
	Legacy bool
}

// ItemKey identifies an item.
type ItemKey struct {
	Section Section
	Name    string
}

// Digest returns a hash that identifies a change by the request that carried it.
func Digest(method, base string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + "\x00" + base + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// AppliedChange identifies a change that was applied.
type AppliedChange struct {
	Digest  uint64
	Version uint64
}

// Verdict is the result of a change.
type Verdict uint8

// Values of Verdict.
const (
	// VerdictApplied means that the change was applied, now or when it was sent before.
	VerdictApplied Verdict = iota
	// VerdictConflict means that the current version is not the change's base.
	VerdictConflict
	// VerdictInvalid means that the change does not result in a valid table.
	VerdictInvalid
)

// Outcome is the replicated response to a change.
type Outcome struct {
	Verdict Verdict
	// Current is the version after the change.
	Current uint64
	// Repeated is set if the change had already been applied.
	Repeated bool
	// Message describes the error and how to fix it.
	Message string
}

// Store is the replicated route table.
//
// Invariants:
//   - The version only increases.
//   - A change is applied only to the version that it names as its base, so that of two
//     changes with the same base at most one is applied.
//   - An applied change stays in Applied until maxAppliedChanges later ones were applied. Until
//     then, a repetition of it is acknowledged without any effect.
type Store struct {
	Document Document
	// Applied lists the applied changes, oldest first.
	Applied []AppliedChange
}

// Apply applies a change, or rejects it without any effect. accepts, if not nil, checks the document that results
// from a change that is valid otherwise; it is not called for changes that were recorded under earlier rules.
func (s *Store) Apply(change *Change, accepts func(next *Document) *Invalid) Outcome {
	for i := len(s.Applied) - 1; i >= 0; i-- {
		if s.Applied[i].Digest == change.Digest && s.Applied[i].Version == change.Version {
			return Outcome{Verdict: VerdictApplied, Current: s.Document.Version, Repeated: true}
		}
	}
	if change.Base != s.Document.Version {
		return Outcome{
			Verdict: VerdictConflict, Current: s.Document.Version,
			Message: fmt.Sprintf("the change builds on version %d, in force is version %d: read it and send the change again", change.Base, s.Document.Version),
		}
	}
	next := s.Document.WithChange(change)
	if change.Version <= s.Document.Version {
		return s.invalid(fmt.Sprintf("version is %d: use a number above the current one, %d", change.Version, s.Document.Version))
	}
	problem := next.validate(change.Legacy)
	if problem == nil && accepts != nil && !change.Legacy {
		problem = accepts(&next)
	}
	if problem != nil {
		return s.invalid(problem.Error())
	}
	s.Document = next
	s.Applied = append(s.Applied, AppliedChange{Digest: change.Digest, Version: change.Version})
	if len(s.Applied) > maxAppliedChanges {
		s.Applied = slices.Delete(s.Applied, 0, len(s.Applied)-maxAppliedChanges)
	}
	return Outcome{Verdict: VerdictApplied, Current: s.Document.Version}
}

func (s *Store) invalid(message string) Outcome {
	return Outcome{Verdict: VerdictInvalid, Current: s.Document.Version, Message: message}
}

// WithChange returns the document after a change; the receiver is not modified.
func (d *Document) WithChange(change *Change) Document {
	next := Document{Version: change.Version}
	if change.ReplaceAll {
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

// ReplaceWith returns the change that creates a document from an empty one.
func ReplaceWith(document *Document) *Change {
	return &Change{Version: document.Version, ReplaceAll: true, Upsert: document.Items}
}

// WithoutSources returns a copy of the change without the items' sources, which
// routers do not need.
func (c *Change) WithoutSources() *Change {
	copied := *c
	copied.Upsert = slices.Clone(c.Upsert)
	for i := range copied.Upsert {
		copied.Upsert[i].Source = nil
	}
	return &copied
}
