package loadview

import (
	"bytes"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minParts is the number of parts of the shortest text that is read: earlier versions omit LimitWait.
	minParts = 7
	// loadParts is the number of parts that describe the load. Those that identify the report follow.
	loadParts = 8
	// allParts is the number of parts that are read; further ones are ignored.
	allParts = 10
	// maxNumber bounds each number of a text, in its unit.
	maxNumber = 10_000_000
	// permille converts the success share, which is written in thousandths.
	permille = 1000
	// identityBase is the base in which Process, Version and sessions are written.
	identityBase = 36
)

// AppendLoad appends the report's load as text: running and waiting requests, slots, the run time in milliseconds,
// the success share in thousandths, and in milliseconds LinkBusy, InboundBusy and LimitWait. Pace and Refused are
// not part of it, as routers do not use them.
func (r Report) AppendLoad(text []byte) []byte {
	text = strconv.AppendInt(text, int64(r.Running), 10)
	for _, number := range [loadParts - 1]int64{int64(r.Waiting), int64(r.Slots), r.RunTime.Milliseconds(), int64(r.SuccessShare * permille), r.LinkBusy.Milliseconds(), r.InboundBusy.Milliseconds(), r.LimitWait.Milliseconds()} {
		text = append(text, ',')
		text = strconv.AppendInt(text, min(number, maxNumber), 10)
	}
	return text
}

// AppendText appends the report's load and, unlike AppendLoad, what identifies the report: Process and Version.
func (r Report) AppendText(text []byte) []byte {
	text = append(r.AppendLoad(text), ',')
	text = append(strconv.AppendUint(text, uint64(r.Process), identityBase), ',')
	return strconv.AppendUint(text, r.Version, identityBase)
}

// Parse parses the text of AppendLoad or AppendText. Parts that follow them are ignored.
func Parse(text []byte) (Report, error) {
	parts := bytes.Split(text, []byte{','})
	if len(parts) < minParts {
		return Report{}, eris.Errorf("load report %q has %d parts, want at least %d", text, len(parts), minParts)
	}
	var numbers [allParts]uint64
	for i, part := range parts[:min(len(parts), allParts)] {
		base, limit := 10, uint64(maxNumber)
		switch i {
		case loadParts:
			base, limit = identityBase, 1<<32-1
		case loadParts + 1:
			base, limit = identityBase, 1<<63-1
		}
		number, err := strconv.ParseUint(string(part), base, 64)
		if err != nil || number > limit {
			return Report{}, eris.Errorf("part %d of load report %q is not a number up to %d", i+1, text, limit)
		}
		numbers[i] = number
	}
	if numbers[4] > permille {
		return Report{}, eris.Errorf("load report %q: success share is %d, want at most %d", text, numbers[4], permille)
	}
	millis := func(number uint64) time.Duration { return time.Duration(number) * time.Millisecond }
	return Report{
		Running: int(numbers[0]), Waiting: int(numbers[1]), Slots: int(numbers[2]), RunTime: millis(numbers[3]), SuccessShare: float64(numbers[4]) / permille,
		LinkBusy: millis(numbers[5]), InboundBusy: millis(numbers[6]), LimitWait: millis(numbers[7]),
		Process: uint32(numbers[8]), Version: numbers[9],
	}, nil
}

// Entry is a report that one process passes on to another.
type Entry struct {
	// Session is that of the instance's node.
	Session uint64
	// Age is the time since the report was made.
	Age    time.Duration
	Report Report
}

const (
	// MaxEntriesText bounds the text of the entries in a message, in bytes.
	MaxEntriesText = 128
	// entriesFormat is the first part of the text.
	entriesFormat = "1"
	// maxEntries bounds the entries that are read from a text.
	maxEntries = 16
	// entryIdentityParts is the number of parts of an entry before its report: session and age.
	entryIdentityParts = 2
)

// AppendEntries appends the text of as many entries as fit into MaxEntriesText, in their order. The text is not empty
// if there are none.
func AppendEntries(text []byte, entries []Entry) []byte {
	start := len(text)
	text = append(text, entriesFormat...)
	for _, entry := range entries {
		end := len(text)
		text = append(text, ';')
		text = append(strconv.AppendUint(text, entry.Session, identityBase), ',')
		text = append(strconv.AppendInt(text, entry.Age.Milliseconds(), 10), ',')
		text = entry.Report.AppendText(text)
		if len(text)-start > MaxEntriesText {
			return text[:end]
		}
	}
	return text
}

// ParseEntries parses the text of AppendEntries. Reports without Process, which have no order, are errors.
func ParseEntries(text []byte) ([]Entry, error) {
	parts := bytes.Split(text, []byte{';'})
	if string(parts[0]) != entriesFormat {
		return nil, eris.Errorf("load reports have the format %q, want %q", parts[0], entriesFormat)
	}
	if parts = parts[1:]; len(parts) > maxEntries {
		return nil, eris.Errorf("%d load reports, want at most %d", len(parts), maxEntries)
	}
	entries := make([]Entry, 0, len(parts))
	for _, part := range parts {
		fields := bytes.SplitN(part, []byte{','}, entryIdentityParts+1)
		if len(fields) <= entryIdentityParts {
			return nil, eris.Errorf("load report %q has neither session nor age", part)
		}
		session, err := strconv.ParseUint(string(fields[0]), identityBase, 64)
		if err != nil {
			return nil, eris.Wrapf(err, "session of load report %q", part)
		}
		age, err := strconv.ParseUint(string(fields[1]), 10, 64)
		if err != nil || age > maxNumber {
			return nil, eris.Errorf("age of load report %q is not a number up to %d", part, maxNumber)
		}
		report, err := Parse(fields[2])
		if err != nil {
			return nil, err
		}
		if report.Process == 0 {
			return nil, eris.Errorf("load report %q has no process", part)
		}
		entries = append(entries, Entry{Session: session, Age: time.Duration(age) * time.Millisecond, Report: report})
	}
	return entries, nil
}
