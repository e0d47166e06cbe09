package ledger

import (
	"slices"
	"strconv"
	"time"

	"limehold"
	"limehold/ownership"
)

// Report is the content of a heartbeat of the instance.
type Report struct {
	// Instance identifies the incarnation that sent the heartbeat.
	Instance string
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
	// Holds lists the ranges that the instance holds, including those it still finishes requests on.
	Holds []limehold.KeyRange
	// Released lists the ranges that it has released since its last answered heartbeat.
	Released []ReleasedRange
}

// ReleasedRange is a range that the instance has released.
type ReleasedRange struct {
	First uint32
	Last  uint32
	// Token identifies the state of these keys.
	Token string
}

// Row is one range that an answer grants to the instance.
type Row struct {
	limehold.KeyRange
	// Token identifies the state of the last owner. It is sent until the instance holds the range.
	Token string
}

// Answer is the answer to a heartbeat.
type Answer struct {
	// Renews is false if the answer carries no grants. The instance then keeps its keys until they
	// expire.
	Renews bool
	// Rows are all ranges that the instance may hold. It releases all others.
	Rows []Row
	// Hold is the duration of the grants, which the instance counts from sending its heartbeat.
	Hold time.Duration
	// Kept counts the shards in release that still have a row, as the rows without them would not fit.
	// Omitted counts new rows that are left out because they do not fit.
	Kept, Omitted int
}

// heartbeats is the part of the ledger that is derived from heartbeats.
//
// Invariants:
//   - Only the newest heartbeat of the incarnation that the list is for is answered with rows.
//   - The rows contain everything that the instance holds and may keep, even if new grants then
//     do not fit: leaving a row out is a release.
//   - A row is not sent again under a fence under which the instance has failed to apply it
//     refusedMisses times, as it must have seen a higher fence.
type heartbeats struct {
	answerBytes  int
	processStart time.Duration
	incarnation  string
	sequence     uint64
	receivedAt   time.Duration
	held         []limehold.KeyRange
	// discardedUntil bounds until when an instance may hold shards whose entries were discarded.
	discardedUntil time.Duration
}

// notification is the state of the notifications of one shard.
type notification struct {
	// sequence is that of the newest heartbeat whose answer named the shard, or 0.
	sequence uint64
	// omitted is the sequence of the newest heartbeat whose answer did not name it, or 0.
	omitted uint64
	// held is set while the instance reports that it holds the shard under its epoch.
	held bool
	// misses counts the consecutive heartbeats after an answer that named the shard in which the
	// instance does not report that it holds the shard under its epoch.
	misses int
	// released is set once the instance no longer holds the shard and cannot apply a grant of it.
	released bool
	// token is the token that the instance reported with the release.
	token string
}

const (
	// answerTimeout is how long after sending its heartbeat the instance may still accept the answer.
	answerTimeout = time.Second
	// splitMisses is the number of misses from which a shard gets a row of its own, as the
	// instance refuses a whole row for one of its keys.
	splitMisses = 2
	// refusedMisses is the number of misses from which a shard counts as refused.
	refusedMisses = 5
)

// SetIncarnation sets the incarnation of the instance. If another one was set before, its grants and the list are
// discarded, as its fences do not apply to the new one. The discarded grants may still be in force: the heartbeat of
// the new one may be a late one of an incarnation that has ended.
func (l *Ledger) SetIncarnation(incarnation string) {
	if incarnation == l.heartbeat.incarnation {
		return
	}
	discardedUntil := l.heartbeat.discardedUntil
	if l.heartbeat.incarnation != "" {
		for _, e := range l.entries {
			discardedUntil = max(discardedUntil, e.maxUntil())
		}
		l.entries = map[ownership.Key]*entry{}
		l.listed = false
	}
	// An earlier process may have sent grants to this incarnation, so that processStart is kept. That this
	// process knew another incarnation before does not exclude this: the other one's heartbeat may have
	// arrived late, after that incarnation ended.
	l.heartbeat = heartbeats{
		answerBytes: l.heartbeat.answerBytes, processStart: l.heartbeat.processStart, incarnation: incarnation, discardedUntil: discardedUntil,
	}
}

// RecordHeartbeat records a heartbeat. It returns false, and does nothing, if the heartbeat is not the newest.
func (l *Ledger) RecordHeartbeat(report Report, now time.Duration) bool {
	heartbeat := &l.heartbeat
	if report.Instance != heartbeat.incarnation || report.Sequence <= heartbeat.sequence {
		return false
	}
	heartbeat.sequence, heartbeat.receivedAt, heartbeat.held = report.Sequence, now, report.Holds
	for key, e := range l.entries {
		ranged := l.rangeOf(key, e.epoch)
		fence, held := overlappingFence(report.Holds, ranged)
		switch {
		case held:
			e.notified.held = fence == e.epoch
			e.notified.released = false
			if e.notified.held {
				e.notified.misses = 0
			} else if !e.releasing {
				l.recordMiss(e, report.Sequence)
			}
		default:
			l.recordNotHeld(e, ranged, report)
		}
	}
	return true
}

// overlappingFence returns the fence of the first row that overlaps a range, and reports whether there is
// one.
func overlappingFence(rows []limehold.KeyRange, ranged limehold.KeyRange) (uint64, bool) {
	for _, row := range rows {
		if row.First <= ranged.Last && ranged.First <= row.Last {
			return row.Fence, true
		}
	}
	return 0, false
}

// recordNotHeld records that the newest heartbeat does not list a shard as held. This proves a release
// only if the heartbeat was sent after an answer that omitted the shard. The time of receipt proves
// nothing: a suspended process may read a heartbeat long after it was sent, and the instance may have
// accepted the last answer since.
func (l *Ledger) recordNotHeld(e *entry, ranged limehold.KeyRange, report Report) {
	notified := &e.notified
	notified.held = false
	if !e.releasing {
		l.recordMiss(e, report.Sequence)
		return
	}
	for _, row := range report.Released {
		if row.First <= ranged.First && ranged.Last <= row.Last {
			notified.token = row.Token
		}
	}
	notified.released = notified.omitted > notified.sequence && report.Sequence > notified.omitted
}

// recordMiss counts a heartbeat that does not report the shard as held under its epoch although an earlier
// heartbeat's answer named it. Until another answer names the shard, no request on it is let through.
// From refusedMisses on, the shard counts as refused.
func (l *Ledger) recordMiss(e *entry, sequence uint64) {
	if e.notified.sequence == 0 || sequence <= e.notified.sequence {
		return
	}
	e.heldUntil = 0
	if e.notified.misses++; e.notified.misses >= refusedMisses {
		e.refused = true
	}
}

// Answer returns the answer to the heartbeat with a sequence at now, and records what it grants. The answer
// is empty if the heartbeat is not the newest or too old, the list of the session has not been received,
// or the lease ends too soon.
func (l *Ledger) Answer(sequence uint64, now time.Duration) Answer {
	heartbeat := &l.heartbeat
	hold := l.HoldFor(heartbeat.receivedAt)
	if sequence != heartbeat.sequence || !l.listed || hold < MinHold || now >= l.leaseExpiry || now-heartbeat.receivedAt >= answerTimeout {
		return Answer{}
	}
	answer := Answer{Renews: true, Hold: hold}
	used := l.addHeldRows(&answer)
	l.addNewRows(&answer, used)
	for key, e := range l.entries {
		if !hasRow(answer.Rows, l.rangeOf(key, e.epoch)) {
			e.notified.omitted = sequence
			continue
		}
		e.notified.sequence = sequence
		e.settledUntil = max(e.settledUntil, heartbeat.receivedAt+RealHold(hold))
		if !e.releasing {
			e.heldUntil = heartbeat.receivedAt + hold
		}
	}
	return answer
}

// addHeldRows adds the shards that the instance holds and may keep, and returns the size of the rows. If
// the rows without the shards in release do not fit, it keeps some of these until they fit.
func (l *Ledger) addHeldRows(answer *Answer) int {
	var held, releasing []ownership.Key
	for key, e := range l.entries {
		switch {
		case !e.notified.held:
		case e.releasing:
			releasing = append(releasing, key)
		case !e.refused:
			held = append(held, key)
		}
	}
	sortKeys(releasing)
	rows := l.rows(held)
	for totalBytes(rows) > l.heartbeat.answerBytes && l.heartbeat.answerBytes > 0 && len(releasing) > 0 {
		held = append(held, releasing[0])
		releasing = releasing[1:]
		answer.Kept++
		rows = l.rows(held)
	}
	answer.Rows = rows
	return totalBytes(rows)
}

// addNewRows adds the shards that the instance does not hold yet, as far as they fit.
func (l *Ledger) addNewRows(answer *Answer, used int) {
	var unheld []ownership.Key
	for key, e := range l.entries {
		if !e.notified.held && !e.releasing && !e.refused {
			unheld = append(unheld, key)
		}
	}
	for _, row := range l.rows(unheld) {
		size := RowBytes(row)
		if used+size > l.heartbeat.answerBytes && l.heartbeat.answerBytes > 0 {
			answer.Omitted++
			continue
		}
		used += size
		answer.Rows = append(answer.Rows, row)
	}
}

// rows returns the rows of shards. Neighbouring shards of one fence and token are joined.
func (l *Ledger) rows(keys []ownership.Key) []Row {
	sortKeys(keys)
	var rows []Row
	var previous ownership.Key
	for _, key := range keys {
		e := l.entries[key]
		ranged := l.rangeOf(key, e.epoch)
		token := e.token
		if e.notified.held {
			token = ""
		}
		joinable := e.notified.misses < splitMisses && (previous == ownership.Key{} || l.entries[previous].notified.misses < splitMisses)
		if last := len(rows) - 1; last >= 0 && joinable && rows[last].Last+1 == ranged.First && rows[last].Fence == e.epoch && rows[last].Token == token {
			rows[last].KeyRange = rows[last].WithLast(ranged.Last)
		} else {
			rows = append(rows, Row{KeyRange: ranged, Token: token})
		}
		previous = key
	}
	return rows
}

func hasRow(rows []Row, ranged limehold.KeyRange) bool {
	return slices.ContainsFunc(rows, func(row Row) bool {
		return row.First <= ranged.First && ranged.Last <= row.Last && row.Fence == ranged.Fence
	})
}

// rowOverhead is the length of a row's brackets, commas and quotes.
const rowOverhead = 8

// RowBytes returns the length of a row as text.
func RowBytes(row Row) int {
	size := rowOverhead + len(row.Token)
	for _, number := range []uint64{uint64(row.First), uint64(row.Last), row.Fence} {
		size += len(strconv.FormatUint(number, 10))
	}
	return size
}

func totalBytes(rows []Row) int {
	size := 0
	for _, row := range rows {
		size += RowBytes(row)
	}
	return size
}

// Pending reports whether a heartbeat should be answered at once: its answer would change something, or a
// newer heartbeat has arrived. Otherwise the answer may wait for a change.
func (l *Ledger) Pending(sequence uint64, now time.Duration) bool {
	if sequence != l.heartbeat.sequence {
		return true
	}
	if !l.listed || now >= l.leaseExpiry {
		return false
	}
	for key, e := range l.entries {
		if !e.releasing {
			if !e.refused && !e.notified.held {
				return true
			}
			continue
		}
		if _, held := overlappingFence(l.heartbeat.held, l.rangeOf(key, e.epoch)); held {
			return true
		}
	}
	return false
}

// LastHeartbeat returns the time at which the newest heartbeat was received, or 0 if there was none.
func (l *Ledger) LastHeartbeat() time.Duration { return l.heartbeat.receivedAt }

// ReleasedRanges returns those of the ranges that the instance no longer holds and cannot hold again: by its report,
// with the token that it gave, because every grant has expired, or because the range has no entry and every grant
// whose entry was discarded has expired.
// The release of the shards must have begun.
func (l *Ledger) ReleasedRanges(ranges []limehold.KeyRange, now time.Duration) []limehold.ReleasedRange {
	byRange := make(map[limehold.KeyRange]*entry, len(l.entries))
	for key, e := range l.entries {
		byRange[l.rangeOf(key, e.epoch)] = e
	}
	var free []limehold.ReleasedRange
	for _, ranged := range ranges {
		e := byRange[ranged]
		if e == nil && now < l.heartbeat.discardedUntil {
			continue
		}
		if e == nil || e.notified.released || e.maxUntil() <= now {
			released := limehold.ReleasedRange{KeyRange: ranged}
			if e != nil {
				released.Token = e.notified.token
			}
			free = append(free, released)
		}
	}
	return free
}

// RefusedGrants returns the grants that the instance has refused. Control has to raise their epochs.
func (l *Ledger) RefusedGrants() []Grant {
	var refused []Grant
	for key, e := range l.entries {
		if e.refused && !e.releasing {
			refused = append(refused, Grant{Key: key, Epoch: e.epoch})
		}
	}
	sortGrants(refused)
	return refused
}
