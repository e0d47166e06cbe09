package ledger

import (
	"slices"
	"strconv"
	"time"

	"limehold"
	"limehold/ownership"
)

// Report is what an instance says in a heartbeat.
type Report struct {
	// Instance is the start that says it.
	Instance string
	// Sequence rises with each heartbeat of one start.
	Sequence uint64
	// Holds is what the instance holds, or still works on.
	Holds []limehold.KeyRange
	// Released is what it has let go since its last heartbeat that was answered.
	Released []ReleasedRange
}

// ReleasedRange is a range that the instance has let go.
type ReleasedRange struct {
	First uint32
	Last  uint32
	// Token of the state of these keys.
	Token string
}

// Row is one range that an answer tells the instance to hold.
type Row struct {
	limehold.KeyRange
	// Token of the last owner's state, until the instance has taken the row.
	Token string
}

// Answer is what a heartbeat is answered with.
type Answer struct {
	// Renews is false for an answer that says nothing of keys: what the instance holds
	// stays as it is, until it runs out.
	Renews bool
	// Rows are all that the instance is to hold. What is left out, it lets go.
	Rows []Row
	// Hold is for how long, counted by the instance from the sending of its heartbeat.
	Hold time.Duration
	// Kept counts shards that should be let go and are not yet, as the rows without them
	// would not fit; Unfit those that are not told yet for the same reason.
	Kept, Unfit int
}

// heartbeats is what the ledger knows from heartbeats.
//
// Invariants:
//   - Only the newest heartbeat of the start that the list is for is answered with rows.
//   - All that the instance holds and may keep is in the rows, whatever else has to
//     wait: leaving a row out is a release.
//   - A row is not told again under a fence that the instance did not take it under
//     missesRefused times: it has seen a higher one.
type heartbeats struct {
	answerBytes int
	began       time.Duration
	instance    string
	sequence    uint64
	received    time.Duration
	holds       []limehold.KeyRange
}

// told is what the instance was told of one shard, and what it said of it.
type told struct {
	// sequence of the newest heartbeat whose answer named the shard. Zero: none.
	sequence uint64
	// omitted is the sequence of the newest answered heartbeat that did not name it.
	omitted uint64
	// taken is set while the instance says that it holds the shard.
	taken bool
	// misses counts the answers that named the shard and did not have it taken.
	misses int
	// gone is set once the instance no longer holds the shard, and will not.
	gone bool
	// token is the one with which it was let go.
	token string
}

const (
	// answerLife is how long after its heartbeat was sent an answer may still be taken.
	answerLife = time.Second
	// missesSplit is after how many misses a shard is told in a row of its own: a row is
	// refused whole for one of its keys.
	missesSplit = 2
	// missesRefused is after how many misses it counts as refused.
	missesRefused = 5
)

// Begin takes the start of the instance that is heard of: what another one held is gone,
// and its fences are not for this one.
func (l *Ledger) Begin(instance string) {
	if instance == l.beats.instance {
		return
	}
	if l.beats.instance != "" {
		l.entries = map[ownership.Key]*entry{}
		l.listed = false
	}
	// An earlier process may have told this start, too: that another one was heard of
	// first may be late word of one that had ended by then.
	l.beats = heartbeats{answerBytes: l.beats.answerBytes, began: l.beats.began, instance: instance}
}

// Report takes what the newest heartbeat says; false for one that is not the newest.
func (l *Ledger) Report(report Report, now time.Duration) bool {
	b := &l.beats
	if report.Instance != b.instance || report.Sequence <= b.sequence {
		return false
	}
	b.sequence, b.received, b.holds = report.Sequence, now, report.Holds
	for key, known := range l.entries {
		ranged := l.rangeOf(key, known.epoch)
		fence, held := covering(report.Holds, ranged)
		switch {
		case held:
			known.told.taken = fence == known.epoch
			known.told.gone = false
			if known.told.taken {
				known.told.misses = 0
			} else if !known.releasing {
				l.miss(known, report.Sequence)
			}
		default:
			l.notHeld(known, ranged, report)
		}
	}
	return true
}

// covering returns the fence under which a range is held, in whole or in part.
func covering(rows []limehold.KeyRange, ranged limehold.KeyRange) (uint64, bool) {
	for _, row := range rows {
		if row.First <= ranged.Last && ranged.First <= row.Last {
			return row.Fence, true
		}
	}
	return 0, false
}

// notHeld takes that the newest heartbeat does not name a shard among what is held. Only one
// sent after an answer that left the shard out says that it is gone. How late a heartbeat is
// received says nothing: it may have been sent before the last answer was taken, and read
// once a frozen process ran on.
func (l *Ledger) notHeld(known *entry, ranged limehold.KeyRange, report Report) {
	t := &known.told
	t.taken = false
	if !known.releasing {
		l.miss(known, report.Sequence)
		return
	}
	for _, row := range report.Released {
		if row.First <= ranged.First && ranged.Last <= row.Last {
			t.token = row.Token
		}
	}
	t.gone = t.omitted > t.sequence && report.Sequence > t.omitted
}

// miss counts an answer that named the shard and did not have it taken.
func (l *Ledger) miss(known *entry, sequence uint64) {
	if known.told.sequence == 0 || sequence <= known.told.sequence {
		return
	}
	known.until = 0
	if known.told.misses++; known.told.misses >= missesRefused {
		known.refused = true
	}
}

// Answer says what the heartbeat of a sequence is answered with at now.
func (l *Ledger) Answer(sequence uint64, now time.Duration) Answer {
	b := &l.beats
	hold := l.HoldFor(b.received)
	if sequence != b.sequence || !l.listed || hold < ShortestHold || now >= l.expiry || now-b.received >= answerLife {
		return Answer{}
	}
	answer := Answer{Renews: true, Hold: hold}
	kept := l.composeKept(&answer)
	l.composeNew(&answer, kept)
	for key, known := range l.entries {
		if !named(answer.Rows, l.rangeOf(key, known.epoch)) {
			known.told.omitted = sequence
			continue
		}
		known.told.sequence = sequence
		known.possible = max(known.possible, b.received+Longest(hold))
		if !known.releasing {
			known.until = b.received + hold
		}
	}
	return answer
}

// composeKept puts in what the instance holds and may keep. Where the rows without what
// is to be let go do not fit, some of that stays until they do.
func (l *Ledger) composeKept(answer *Answer) int {
	var keep, leave []ownership.Key
	for key, known := range l.entries {
		switch {
		case !known.told.taken:
		case known.releasing:
			leave = append(leave, key)
		case !known.refused:
			keep = append(keep, key)
		}
	}
	sortKeys(leave)
	rows := l.rows(keep)
	for bytesOf(rows) > l.beats.answerBytes && l.beats.answerBytes > 0 && len(leave) > 0 {
		keep = append(keep, leave[0])
		leave = leave[1:]
		answer.Kept++
		rows = l.rows(keep)
	}
	answer.Rows = rows
	return bytesOf(rows)
}

// composeNew adds what the instance does not hold yet, as far as it fits.
func (l *Ledger) composeNew(answer *Answer, used int) {
	var fresh []ownership.Key
	for key, known := range l.entries {
		if !known.told.taken && !known.releasing && !known.refused {
			fresh = append(fresh, key)
		}
	}
	for _, row := range l.rows(fresh) {
		size := RowBytes(row)
		if used+size > l.beats.answerBytes && l.beats.answerBytes > 0 {
			answer.Unfit++
			continue
		}
		used += size
		answer.Rows = append(answer.Rows, row)
	}
}

// rows joins neighbouring shards of one fence and token.
func (l *Ledger) rows(keys []ownership.Key) []Row {
	sortKeys(keys)
	var rows []Row
	var before ownership.Key
	for _, key := range keys {
		known := l.entries[key]
		ranged := l.rangeOf(key, known.epoch)
		token := known.token
		if known.told.taken {
			token = ""
		}
		whole := known.told.misses < missesSplit && (before == ownership.Key{} || l.entries[before].told.misses < missesSplit)
		if last := len(rows) - 1; last >= 0 && whole && rows[last].Last+1 == ranged.First && rows[last].Fence == known.epoch && rows[last].Token == token {
			rows[last].KeyRange = rows[last].WithLast(ranged.Last)
		} else {
			rows = append(rows, Row{KeyRange: ranged, Token: token})
		}
		before = key
	}
	return rows
}

func named(rows []Row, ranged limehold.KeyRange) bool {
	return slices.ContainsFunc(rows, func(row Row) bool {
		return row.First <= ranged.First && ranged.Last <= row.Last && row.Fence == ranged.Fence
	})
}

// rowSigns is what a row takes beside its numbers and its token: brackets, commas, quotes.
const rowSigns = 8

// RowBytes is how long a row is as text.
func RowBytes(row Row) int {
	size := rowSigns + len(row.Token)
	for _, number := range []uint64{uint64(row.First), uint64(row.Last), row.Fence} {
		size += len(strconv.FormatUint(number, 10))
	}
	return size
}

func bytesOf(rows []Row) int {
	size := 0
	for _, row := range rows {
		size += RowBytes(row)
	}
	return size
}

// Pending reports whether a heartbeat's answer has something new to say, or is overtaken
// by a newer heartbeat. Otherwise it may wait for something.
func (l *Ledger) Pending(sequence uint64, now time.Duration) bool {
	if sequence != l.beats.sequence {
		return true
	}
	if !l.listed || now >= l.expiry {
		return false
	}
	for key, known := range l.entries {
		if !known.releasing {
			if !known.refused && !known.told.taken {
				return true
			}
			continue
		}
		if _, held := covering(l.beats.holds, l.rangeOf(key, known.epoch)); held {
			return true
		}
	}
	return false
}

// Heard is when the newest heartbeat came; zero: none has.
func (l *Ledger) Heard() time.Duration { return l.beats.received }

// LetGo returns those of the shards' ranges that the instance holds no longer and will
// not: on its word, with the token that it gave, or because all that it was told has run
// out. The release of the shards must have begun.
func (l *Ledger) LetGo(ranges []limehold.KeyRange, now time.Duration) []limehold.ReleasedRange {
	byRange := make(map[limehold.KeyRange]*entry, len(l.entries))
	for key, known := range l.entries {
		byRange[l.rangeOf(key, known.epoch)] = known
	}
	var free []limehold.ReleasedRange
	for _, ranged := range ranges {
		known := byRange[ranged]
		if known == nil || known.told.gone || known.latest() <= now {
			released := limehold.ReleasedRange{KeyRange: ranged}
			if known != nil {
				released.Token = known.told.token
			}
			free = append(free, released)
		}
	}
	return free
}

// RefusedGrants lists what the instance has refused: control has to raise its fence.
func (l *Ledger) RefusedGrants() []Grant {
	var refused []Grant
	for key, known := range l.entries {
		if known.refused && !known.releasing {
			refused = append(refused, Grant{Key: key, Epoch: known.epoch})
		}
	}
	sortGrants(refused)
	return refused
}
