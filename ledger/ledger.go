// Package ledger records what an instance may hold: what control has given to its node,
// what the instance was told, and until when it may hold what. It is pure: time comes in
// as a value, nothing waits, and it is not safe for use by several goroutines.
//
// Two carriers bring it to the instance (limehold.KeyCarrier): calls made to the
// instance, and answers to its heartbeats. Both keep to the invariants below.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"limehold"
	"limehold/ownership"
)

// Grant is one shard that control has given to the node.
type Grant struct {
	Key   ownership.Key
	Epoch uint64
	// Token of the last owner's state; empty: none.
	Token string
}

// Ledger is what one instance may hold.
//
// Invariants:
//   - The instance is never told to hold keys for longer than the node's lease runs, its
//     clock's error included: when control gives them to another node, it holds none.
//   - Holds is true only while the instance has been told to hold the shard under the
//     very epoch, and while the node has its lease.
//   - A shard that is being let go is never told again under its epoch, and lets nothing
//     through from the moment at which its release began.
//   - A shard counts as let go only on the instance's word, or once nothing that the
//     instance was ever told can hold any longer.
//   - By calls, a start of the instance is told nothing before it was cleared, and nothing under
//     a fence below that of the clearing: what was meant for another start never is.
type Ledger struct {
	shards int
	hold   time.Duration
	// lateness: see Options.
	lateness time.Duration
	session  uint64
	expiry   time.Duration
	// listed is set once control's list for the session is known.
	listed bool
	// ended is the session that is over as its instance is known to have ended.
	ended uint64
	// cleared is set while the start that is called has been cleared, under the fence floor.
	cleared bool
	floor   uint64
	// highest is above no epoch that was ever listed, whatever became of the shard.
	highest uint64
	entries map[ownership.Key]*entry
	beats   heartbeats
}

// entry is one shard of control's list, or one that is being let go.
type entry struct {
	epoch uint64
	token string
	// until is when what the instance has confirmed ends; zero: nothing is confirmed.
	until time.Duration
	// renewAt is when the carrier is to tell the shard again.
	renewAt time.Duration
	// possible is the latest moment to which the instance may hold the shard; sent is that of what is
	// on its way to it, which has not been answered, and earlier that of what an earlier process told.
	possible, sent, earlier time.Duration
	releasing               bool
	// refused is set once the instance has said that it saw a higher fence.
	refused bool
	told    told
}

// Options configures a ledger.
type Options struct {
	// Shards is into how many ranges the service's keys are divided.
	Shards int
	// Hold is the longest time for which the instance is told to hold keys at once.
	Hold time.Duration
	// AnswerBytes bounds the rows of one answer to a heartbeat, as RowBytes counts them.
	// Zero: no bound.
	AnswerBytes int
	// Began is when the process began: what an earlier one told may hold from then on.
	Began time.Duration
	// Lateness is how late the instance may take what it leaves without an answer.
	Lateness time.Duration
}

const (
	// instanceDrift is the error of an instance's clock, in thousandths.
	instanceDrift = 20
	permille      = 1000
	// leaseMargin is kept between the end of what the instance holds and the end of
	// the node's lease.
	leaseMargin = 100 * time.Millisecond
	// ShortestHold is the least time that is worth telling.
	ShortestHold = 200 * time.Millisecond
)

// New returns the ledger of an instance of which nothing is known.
func New(options Options) *Ledger {
	return &Ledger{
		shards: options.Shards, hold: options.Hold, lateness: options.Lateness, entries: map[ownership.Key]*entry{},
		beats: heartbeats{answerBytes: options.AnswerBytes, began: options.Began},
	}
}

// SetLease takes until when the node's lease runs. Another session's lease says nothing
// of this one's shards: until its list comes, nothing is told.
func (l *Ledger) SetLease(session uint64, expiry time.Duration) {
	if session != l.session {
		l.session, l.listed, l.cleared = session, false, false
	}
	l.expiry = expiry
	if session != 0 && session == l.ended {
		l.expiry = 0
	}
}

// EndSession takes that the instance that a session stands for has ended: nothing is told under
// it any more, though its lease may still be renewed.
func (l *Ledger) EndSession(session uint64) {
	l.ended = session
	if session == l.session {
		l.expiry = 0
	}
}

// Uncleared takes that another start of the instance may be called from now on.
func (l *Ledger) Uncleared() { l.cleared = false }

// IsCleared reports whether the start that is called has been cleared under the session.
func (l *Ledger) IsCleared() bool { return l.cleared }

// MayTell reports whether the start that is called may be told keys. Otherwise it has to be
// cleared, if it is to be told any.
func (l *Ledger) MayTell() bool { return l.cleared && l.listed }

// Session is that of the newest lease or list; zero: none.
func (l *Ledger) Session() uint64 { return l.session }

// Owes reports whether there is something to tell the start that is called.
func (l *Ledger) Owes() bool {
	for _, known := range l.entries {
		if !known.releasing {
			return true
		}
	}
	return false
}

// Listed takes the revision of a list: no epoch that was given before it is above it.
func (l *Ledger) Listed(revision uint64) { l.highest = max(l.highest, revision) }

// ClearingFence is the fence under which a start is cleared that may be another than those that
// were told before: above every grant that was ever sent here, which may be taken late, and not
// above what control gives from now on, as epochs, sessions and revisions are one count. Not known:
// the session's list is not.
func (l *Ledger) ClearingFence() (fence uint64, known bool) {
	return max(l.session, l.highest) + 1, l.listed
}

// LeaseLeft is how long the node's lease runs on.
func (l *Ledger) LeaseLeft(now time.Duration) time.Duration { return l.expiry - now }

// Clearing takes that the start that is called is about to be cleared: nothing under a lower fence
// is let through any more, whether the instance still holds it or not.
func (l *Ledger) Clearing(fence uint64) {
	for _, known := range l.entries {
		if known.epoch < fence {
			known.until = 0
		}
	}
}

// Cleared takes that the start that is called has let go whatever it held, and has seen a fence.
// What is below it is not told to this start any more: control has to raise its fence.
func (l *Ledger) Cleared(fence uint64) {
	l.Clearing(fence)
	l.cleared, l.floor = true, fence
	for _, known := range l.entries {
		known.refused = known.refused || known.epoch < fence
		known.earlier = 0
	}
}

// List takes control's list for a session. Shards that it no longer names are let go;
// those that were not being let go before are returned.
func (l *Ledger) List(session uint64, grants []Grant, now time.Duration) (added int, dropped []Grant) {
	if session != l.session {
		l.cleared = false
	}
	l.session, l.listed = session, true
	named := make(map[ownership.Key]bool, len(grants))
	for _, grant := range grants {
		named[grant.Key] = true
		l.highest = max(l.highest, grant.Epoch)
		known := l.entries[grant.Key]
		if known != nil && known.epoch == grant.Epoch {
			known.releasing = false
			continue
		}
		l.entries[grant.Key] = l.newEntry(grant, known)
		added++
	}
	for key, known := range l.entries {
		switch {
		case named[key]:
		case !known.releasing:
			// It is being released, or belongs to a session that has ended.
			known.releasing = true
			dropped = append(dropped, Grant{Key: key, Epoch: known.epoch})
		case known.latest() < now:
			delete(l.entries, key)
		}
	}
	sortGrants(dropped)
	return added, dropped
}

// newEntry is a shard that the instance was not told under this epoch by this process. An
// earlier process may have told it, or an earlier epoch may still hold.
func (l *Ledger) newEntry(grant Grant, before *entry) *entry {
	next := &entry{epoch: grant.Epoch, token: grant.Token, refused: l.cleared && grant.Epoch < l.floor}
	if !l.cleared {
		// A start that was cleared has let go of what an earlier process told, and refuses what comes late.
		next.earlier = l.beats.began + l.lateness + Longest(l.hold)
	}
	if before != nil {
		next.possible = before.latest()
	}
	return next
}

// Holds reports whether the instance may run a request on a shard under an epoch.
func (l *Ledger) Holds(key ownership.Key, epoch uint64, now time.Duration) bool {
	known := l.entries[key]
	return known != nil && known.epoch == epoch && !known.releasing && now < known.until && now < l.expiry
}

// Expects reports whether the shard is the instance's under the epoch, though it may not
// have been told yet.
func (l *Ledger) Expects(key ownership.Key, epoch uint64, now time.Duration) bool {
	known := l.entries[key]
	return l.listed && known != nil && known.epoch == epoch && !known.releasing && !known.refused && now < l.expiry
}

// HoldFor is how long the instance may be told to hold keys, on its clock, if it counts from now. A
// carrier passes the latest moment at which its word is taken.
func (l *Ledger) HoldFor(now time.Duration) time.Duration {
	left := (l.expiry - now - leaseMargin) * permille / (permille + instanceDrift)
	return min(l.hold, left)
}

// Longest is the time that a hold may take on a clock that runs slow.
func Longest(hold time.Duration) time.Duration { return hold * (permille + instanceDrift) / permille }

// Run is a range of neighbouring shards that one call grants.
type Run struct {
	Keys  []ownership.Key
	Range limehold.KeyRange
	Token string
	// Due is when the range is to be told again.
	Due time.Duration
}

// Runs joins neighbouring shards of one fence and token, in the order of their keys.
func (l *Ledger) Runs() []Run {
	keys := make([]ownership.Key, 0, len(l.entries))
	for key, known := range l.entries {
		if !known.releasing && !known.refused {
			keys = append(keys, key)
		}
	}
	sortKeys(keys)
	var runs []Run
	if !l.MayTell() {
		return nil
	}
	for _, key := range keys {
		known := l.entries[key]
		ranged := l.rangeOf(key, known.epoch)
		if last := len(runs) - 1; last >= 0 && l.joins(&runs[last], key, known, ranged) {
			run := &runs[last]
			run.Keys = append(run.Keys, key)
			run.Range = run.Range.WithLast(ranged.Last)
			run.Due = min(run.Due, known.renewAt)
			continue
		}
		runs = append(runs, Run{Keys: []ownership.Key{key}, Range: ranged, Token: known.token, Due: known.renewAt})
	}
	return runs
}

func (l *Ledger) joins(run *Run, key ownership.Key, known *entry, ranged limehold.KeyRange) bool {
	before := run.Keys[len(run.Keys)-1]
	return before.Service == key.Service && run.Range.Last+1 == ranged.First && run.Range.Fence == known.epoch && run.Token == known.token
}

func (l *Ledger) rangeOf(key ownership.Key, fence uint64) limehold.KeyRange {
	first, last := ownership.Range(key.Shard, l.shards)
	return limehold.KeyRange{First: first, Last: last, Fence: fence}
}

// Sending notes that a run is about to be told, and until when it may hold if no answer comes.
func (l *Ledger) Sending(run Run, possible time.Duration) {
	l.each(run, func(known *entry) { known.possible, known.sent = known.latest(), possible })
}

// Answered notes that the instance has answered what was told of a run, or was never told it, and until
// when it may hold then. What stays without an answer may hold for as long as was said before.
func (l *Ledger) Answered(run Run, possible time.Duration) {
	for _, key := range run.Keys {
		if known := l.entries[key]; known != nil && known.epoch == run.Range.Fence {
			known.possible, known.sent = max(known.possible, possible), 0
		}
	}
}

// latest is the latest moment to which the instance may hold the shard.
func (e *entry) latest() time.Duration { return max(e.possible, e.sent, e.earlier) }

// Wanted reports whether all of a run's shards are still to be held.
func (l *Ledger) Wanted(run Run) bool {
	if !l.MayTell() {
		return false
	}
	for _, key := range run.Keys {
		if known := l.entries[key]; known == nil || known.releasing || known.epoch != run.Range.Fence {
			return false
		}
	}
	return true
}

// Confirmed notes that the instance has taken a run; it returns whether that is new.
func (l *Ledger) Confirmed(run Run, until, renewAt time.Duration) bool {
	first := false
	l.each(run, func(known *entry) {
		first = first || known.until == 0
		known.until, known.renewAt = until, renewAt
	})
	return first
}

// Refused notes that the instance has seen a higher fence on one of a run's keys.
func (l *Ledger) Refused(run Run) {
	l.each(run, func(known *entry) { known.refused, known.until = true, 0 })
}

// each changes the shards of a run that are still as they were when it was made.
func (l *Ledger) each(run Run, change func(*entry)) {
	for _, key := range run.Keys {
		if known := l.entries[key]; known != nil && known.epoch == run.Range.Fence && !known.releasing {
			change(known)
		}
	}
}

// BeginRelease stops new work on shards. One that this process does not know may have been
// told by an earlier one.
func (l *Ledger) BeginRelease(grants []Grant) {
	for _, grant := range grants {
		known := l.entries[grant.Key]
		if known == nil || known.epoch < grant.Epoch {
			known = l.newEntry(grant, known)
			l.entries[grant.Key] = known
		}
		if known.epoch == grant.Epoch {
			known.releasing = true
		}
	}
}

// Possible is the latest moment to which the instance may hold one of the shards.
func (l *Ledger) Possible(grants []Grant) time.Duration {
	var latest time.Duration
	for _, grant := range grants {
		if known := l.entries[grant.Key]; known != nil {
			latest = max(latest, known.latest())
		}
	}
	return latest
}

// Forget drops shards that have been let go.
func (l *Ledger) Forget(grants []Grant) {
	for _, grant := range grants {
		if known := l.entries[grant.Key]; known != nil && known.epoch == grant.Epoch {
			delete(l.entries, grant.Key)
		}
	}
}

// GrantsOf returns the grants of ranges, one a shard; those not known any more are left out.
func (l *Ledger) GrantsOf(ranges []limehold.KeyRange) []Grant {
	wanted := make(map[limehold.KeyRange]bool, len(ranges))
	for _, ranged := range ranges {
		wanted[ranged] = true
	}
	var grants []Grant
	for key, known := range l.entries {
		if wanted[l.rangeOf(key, known.epoch)] {
			grants = append(grants, Grant{Key: key, Epoch: known.epoch, Token: known.token})
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
