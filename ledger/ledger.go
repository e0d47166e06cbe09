// Package ledger records which keys an instance may hold: the shards that control has granted to its
// node, those of which the instance has been notified, and until when it may hold each. It does no I/O
// and reads no clock (callers pass the time), never blocks, and is not safe for concurrent use.
//
// Grants reach the instance in one of two ways (limehold.KeyNotifier): by calls to the instance, or in
// the answers to its heartbeats. The invariants below hold for both.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"limehold"
	"limehold/ownership"
)

// Grant is a shard that control has granted to the node.
type Grant struct {
	Key   ownership.Key
	Epoch uint64
	// Token identifies the state of the last owner; empty if there is none.
	Token string
}

// Ledger records which keys one instance may hold.
//
// Invariants:
//   - The instance is never granted keys for longer than the node's lease lasts, the error of the
//     instance's clock included, so that it holds none when control grants them to another node.
//   - Holds returns true only while the node has its lease and a grant of the shard under exactly that
//     epoch, of which the instance has been notified, has not expired.
//   - From the beginning of its release, no request on a shard is let through, and the shard is not
//     granted again under its epoch, whatever list arrives. Only answers whose rows would not fit
//     without the shard still contain it (Answer.Kept).
//   - A shard counts as released only when the instance reports it, or when every grant that the
//     instance may have received has expired.
//   - With calls, an incarnation of the instance gets no grants before it is cleared, and none
//     under a fence below that of the clearing. Grants meant for another incarnation are thus never
//     sent to it.
type Ledger struct {
	shards int
	hold   time.Duration
	// lateness is Options.Lateness.
	lateness    time.Duration
	session     uint64
	leaseExpiry time.Duration
	// listed is set once control's list for the session has been received.
	listed bool
	// endedSession is the session that is over because its instance has ended, or 0.
	endedSession uint64
	// cleared is set while the called incarnation has been cleared, under clearingFence.
	cleared       bool
	clearingFence uint64
	// highestListed is the highest epoch or revision ever listed, including those of former shards.
	highestListed uint64
	entries       map[ownership.Key]*entry
	// released holds the highest epoch under which each shard was released in the session since it was granted last.
	released  map[ownership.Key]uint64
	heartbeat heartbeats
}

// entry is a shard of control's list, or one in release.
type entry struct {
	epoch uint64
	token string
	// heldUntil is the end of the grant that a call has confirmed or an answer has sent; 0 if there is none.
	heldUntil time.Duration
	// renewAt is the time at which the grant has to be sent again.
	renewAt time.Duration
	// settledUntil bounds until when the instance may hold the shard by any grant of this process but
	// the pending one, pendingUntil by that one while it is unanswered, and priorUntil by grants of
	// an earlier process. Once a grant has been sent, settledUntil includes priorUntil.
	settledUntil, pendingUntil, priorUntil time.Duration
	releasing                              bool
	// refused is set once the shard cannot be granted under its epoch: the instance has refused it, or has
	// been cleared under a higher fence.
	refused  bool
	notified notification
}

// Options configures a Ledger.
type Options struct {
	// Shards is the number of ranges that the keys of the service are divided into.
	Shards int
	// Hold is the longest duration of one grant to the instance.
	Hold time.Duration
	// AnswerBytes bounds the rows of an answer to a heartbeat, as counted by RowBytes. 0 means no
	// bound.
	AnswerBytes int
	// ProcessStart is the start of this process. Grants of an earlier process count as sent at that time.
	ProcessStart time.Duration
	// Lateness bounds how late the instance may apply a grant that it leaves unanswered.
	Lateness time.Duration
}

const (
	// driftPermille bounds the rate error of the instance's clock, in thousandths.
	driftPermille = 20
	permille      = 1000
	// leaseMargin is the least time between the end of a grant and the end of the node's lease.
	leaseMargin = 100 * time.Millisecond
	// MinHold is the shortest grant that is sent to the instance.
	MinHold = 200 * time.Millisecond
)

// New returns the ledger of an instance that nothing is known of.
func New(options Options) *Ledger {
	return &Ledger{
		shards: options.Shards, hold: options.Hold, lateness: options.Lateness, entries: map[ownership.Key]*entry{}, released: map[ownership.Key]uint64{},
		heartbeat: heartbeats{answerBytes: options.AnswerBytes, processStart: options.ProcessStart},
	}
}

// SetLease sets the node's session and the expiry of its lease. After a change of the session, nothing
// is granted to the instance until the list of the new session has been received.
func (l *Ledger) SetLease(session uint64, expiry time.Duration) {
	if session != l.session {
		l.session, l.listed, l.cleared = session, false, false
		clear(l.released)
	}
	l.leaseExpiry = expiry
	if session != 0 && session == l.endedSession {
		l.leaseExpiry = 0
	}
}

// EndSession records that the instance of a session has ended. From then on nothing is granted under the
// session, even if its lease is renewed.
func (l *Ledger) EndSession(session uint64) {
	l.endedSession = session
	if session == l.session {
		l.leaseExpiry = 0
	}
}

// InvalidateClearing records that calls may reach another incarnation of the instance from now on.
func (l *Ledger) InvalidateClearing() { l.cleared = false }

// IsCleared reports whether the called incarnation has been cleared under the session.
func (l *Ledger) IsCleared() bool { return l.cleared }

// MayGrant reports whether grants may be sent to the called incarnation: it has been cleared under the
// session, and the list of the session has been received.
func (l *Ledger) MayGrant() bool { return l.cleared && l.listed }

// Session returns the session of the newest lease or list, or 0 if there is none.
func (l *Ledger) Session() uint64 { return l.session }

// HasGrants reports whether there are entries that are not in release, which may be granted to the called
// incarnation.
func (l *Ledger) HasGrants() bool {
	for _, e := range l.entries {
		if !e.releasing {
			return true
		}
	}
	return false
}

// RecordRevision records the revision of a list. No epoch that was granted before that list exceeds it.
func (l *Ledger) RecordRevision(revision uint64) { l.highestListed = max(l.highestListed, revision) }

// ClearingFence returns the fence for clearing an incarnation that may differ from those that got grants
// before. It is above every grant ever sent to the instance, which may be applied late, and not above
// those that control will make, as epochs, sessions and revisions are numbers of one sequence. known is
// false while the list of the session has not been received.
func (l *Ledger) ClearingFence() (fence uint64, known bool) {
	return max(l.session, l.highestListed) + 1, l.listed
}

// LeaseLeft returns the remaining time of the node's lease; negative if the lease has expired.
func (l *Ledger) LeaseLeft(now time.Duration) time.Duration { return l.leaseExpiry - now }

// BeginClearing records that the called incarnation is about to be cleared: requests under a lower fence are
// no longer let through, whether or not the instance still holds the keys.
func (l *Ledger) BeginClearing(fence uint64) {
	for _, e := range l.entries {
		if e.epoch < fence {
			e.heldUntil = 0
		}
	}
}

// EndClearing records that the called incarnation has dropped all keys and accepts none under a lower fence.
// Grants below the fence are no longer sent to it; control has to raise their epochs.
func (l *Ledger) EndClearing(fence uint64) {
	l.BeginClearing(fence)
	l.cleared, l.clearingFence = true, fence
	for _, e := range l.entries {
		e.refused = e.refused || e.epoch < fence
		e.priorUntil = 0
	}
}

// ReplaceGrants replaces the grants by control's list for a session. It returns the number of new grants, and the
// shards that are no longer listed and were not in release before; their release begins.
func (l *Ledger) ReplaceGrants(session uint64, grants []Grant, now time.Duration) (added int, removed []Grant) {
	if session != l.session {
		l.cleared = false
		clear(l.released)
	}
	l.session, l.listed = session, true
	listed := make(map[ownership.Key]bool, len(grants))
	for _, grant := range grants {
		listed[grant.Key] = true
		l.highestListed = max(l.highestListed, grant.Epoch)
		if l.isReleased(grant) {
			continue
		}
		delete(l.released, grant.Key)
		e := l.entries[grant.Key]
		if e != nil && e.epoch == grant.Epoch {
			e.releasing = false
			continue
		}
		l.entries[grant.Key] = l.newEntry(grant, e)
		added++
	}
	for key, e := range l.entries {
		switch {
		case listed[key]:
		case !e.releasing:
			// The shard is being released, or was granted under a session that has ended.
			e.releasing = true
			removed = append(removed, Grant{Key: key, Epoch: e.epoch})
		case e.maxUntil() < now:
			delete(l.entries, key)
		}
	}
	sortGrants(removed)
	return added, removed
}

// isReleased reports whether the shard is or was in release under the grant's epoch or a later one. A list that
// contains such a grant was made before the release: control assigns the shard again only under a higher epoch.
func (l *Ledger) isReleased(grant Grant) bool { return grant.Epoch <= l.released[grant.Key] }

// newEntry returns the entry of a grant that this process has not sent. previous is the entry under another
// epoch, or nil; its grants may still be in force. An earlier process may have sent the new grant.
func (l *Ledger) newEntry(grant Grant, previous *entry) *entry {
	next := &entry{epoch: grant.Epoch, token: grant.Token, refused: l.cleared && grant.Epoch < l.clearingFence}
	if !l.cleared {
		// A cleared incarnation has dropped the grants of an earlier process, and refuses late ones.
		next.priorUntil = l.heartbeat.processStart + l.lateness + RealHold(l.hold)
	}
	if previous != nil {
		next.settledUntil = previous.maxUntil()
	}
	return next
}

// Holds reports whether the instance may run a request on a shard under an epoch.
func (l *Ledger) Holds(key ownership.Key, epoch uint64, now time.Duration) bool {
	e := l.entries[key]
	return e != nil && e.epoch == epoch && !e.releasing && now < e.heldUntil && now < l.leaseExpiry
}

// Expects reports whether the shard is granted to the instance under the epoch, even if the instance may
// not have been notified yet.
func (l *Ledger) Expects(key ownership.Key, epoch uint64, now time.Duration) bool {
	e := l.entries[key]
	return l.listed && e != nil && e.epoch == epoch && !e.releasing && !e.refused && now < l.leaseExpiry
}

// HoldFor returns the longest duration of a grant, by the instance's clock, if the instance counts it from
// now; zero or negative if the lease ends too soon. Callers pass the latest time at which the instance
// may start to count.
func (l *Ledger) HoldFor(now time.Duration) time.Duration {
	left := (l.leaseExpiry - now - leaseMargin) * permille / (permille + driftPermille)
	return min(l.hold, left)
}

// RealHold returns the longest real duration of a hold time that an instance with a slow clock measures.
func RealHold(hold time.Duration) time.Duration { return hold * (permille + driftPermille) / permille }

// Run is a range of neighbouring shards that are granted in one call.
type Run struct {
	Keys  []ownership.Key
	Range limehold.KeyRange
	Token string
	// Due is the time at which the grant has to be sent again.
	Due time.Duration
}

// Runs returns the grants to send by calls. Neighbouring shards of one fence and token are joined.
func (l *Ledger) Runs() []Run {
	keys := make([]ownership.Key, 0, len(l.entries))
	for key, e := range l.entries {
		if !e.releasing && !e.refused {
			keys = append(keys, key)
		}
	}
	sortKeys(keys)
	var runs []Run
	if !l.MayGrant() {
		return nil
	}
	for _, key := range keys {
		e := l.entries[key]
		ranged := l.rangeOf(key, e.epoch)
		if last := len(runs) - 1; last >= 0 && l.extends(&runs[last], key, e, ranged) {
			run := &runs[last]
			run.Keys = append(run.Keys, key)
			run.Range = run.Range.WithLast(ranged.Last)
			run.Due = min(run.Due, e.renewAt)
			continue
		}
		runs = append(runs, Run{Keys: []ownership.Key{key}, Range: ranged, Token: e.token, Due: e.renewAt})
	}
	return runs
}

func (l *Ledger) extends(run *Run, key ownership.Key, e *entry, ranged limehold.KeyRange) bool {
	previous := run.Keys[len(run.Keys)-1]
	return previous.Service == key.Service && run.Range.Last+1 == ranged.First && run.Range.Fence == e.epoch && run.Token == e.token
}

func (l *Ledger) rangeOf(key ownership.Key, fence uint64) limehold.KeyRange {
	first, last := ownership.Range(key.Shard, l.shards)
	return limehold.KeyRange{First: first, Last: last, Fence: fence}
}

// RecordSent records that a grant is about to be sent, and until when the instance may hold the shards by it
// if the grant stays unanswered.
func (l *Ledger) RecordSent(run Run, possible time.Duration) {
	l.updateEntries(run, func(e *entry) { e.settledUntil, e.pendingUntil = e.maxUntil(), possible })
}

// RecordAnswer records that the instance has answered the newest grant of a run, or never received it, and
// until when it may hold the shards by that grant. Earlier grants that are still unanswered count until
// the time that was passed to RecordSent for them.
func (l *Ledger) RecordAnswer(run Run, possible time.Duration) {
	for _, key := range run.Keys {
		if e := l.entries[key]; e != nil && e.epoch == run.Range.Fence {
			e.settledUntil, e.pendingUntil = max(e.settledUntil, possible), 0
		}
	}
}

// maxUntil returns the latest time until which the instance may hold the shard.
func (e *entry) maxUntil() time.Duration { return max(e.settledUntil, e.pendingUntil, e.priorUntil) }

// Wanted reports whether a run may still be granted: grants may be sent, and each of its shards is granted
// to the node under the run's fence and not in release.
func (l *Ledger) Wanted(run Run) bool {
	if !l.MayGrant() {
		return false
	}
	for _, key := range run.Keys {
		if e := l.entries[key]; e == nil || e.releasing || e.epoch != run.Range.Fence {
			return false
		}
	}
	return true
}

// RecordConfirmed records that the instance has applied a grant. It returns true if a shard of it was not
// confirmed before.
func (l *Ledger) RecordConfirmed(run Run, until, renewAt time.Duration) bool {
	first := false
	l.updateEntries(run, func(e *entry) {
		first = first || e.heldUntil == 0
		e.heldUntil, e.renewAt = until, renewAt
	})
	return first
}

// RecordRefused records that the instance has refused a grant because it has seen a higher fence on one of the
// run's keys.
func (l *Ledger) RecordRefused(run Run) {
	l.updateEntries(run, func(e *entry) { e.refused, e.heldUntil = true, 0 })
}

// updateEntries calls change for each shard of a run that is still granted under the same epoch.
func (l *Ledger) updateEntries(run Run, change func(*entry)) {
	for _, key := range run.Keys {
		if e := l.entries[key]; e != nil && e.epoch == run.Range.Fence && !e.releasing {
			change(e)
		}
	}
}

// BeginRelease begins the release of shards: no new requests on them are let through. A shard
// without an entry may have been granted by an earlier process.
func (l *Ledger) BeginRelease(grants []Grant) {
	for _, grant := range grants {
		e := l.entries[grant.Key]
		if e == nil || e.epoch < grant.Epoch {
			e = l.newEntry(grant, e)
			l.entries[grant.Key] = e
		}
		if e.epoch == grant.Epoch {
			e.releasing = true
		}
		l.released[grant.Key] = max(l.released[grant.Key], grant.Epoch)
	}
}

// HeldUntil returns the latest time until which the instance may hold one of the shards.
func (l *Ledger) HeldUntil(grants []Grant) time.Duration {
	var latest time.Duration
	for _, grant := range grants {
		if e := l.entries[grant.Key]; e != nil {
			latest = max(latest, e.maxUntil())
		}
	}
	return latest
}

// Forget removes shards that have been released.
func (l *Ledger) Forget(grants []Grant) {
	for _, grant := range grants {
		if e := l.entries[grant.Key]; e != nil && e.epoch == grant.Epoch {
			delete(l.entries, grant.Key)
		}
	}
}

// GrantsOf returns the grants of ranges, one for each shard. Unknown ranges are left out.
func (l *Ledger) GrantsOf(ranges []limehold.KeyRange) []Grant {
	wanted := make(map[limehold.KeyRange]bool, len(ranges))
	for _, ranged := range ranges {
		wanted[ranged] = true
	}
	var grants []Grant
	for key, e := range l.entries {
		if wanted[l.rangeOf(key, e.epoch)] {
			grants = append(grants, Grant{Key: key, Epoch: e.epoch, Token: e.token})
		}
	}
	sortGrants(grants)
	return grants
}

func sortKeys(keys []ownership.Key) { slices.SortFunc(keys, compareKeys) }

func sortGrants(grants []Grant) {
	slices.SortFunc(grants, func(a, b Grant) int { return compareKeys(a.Key, b.Key) })
}

func compareKeys(a, b ownership.Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
}
