// Package losses reads the logs of a run and says where requests were lost: which
// service and route, why, in which window of time, and at which hop. It reads our own
// lines only; nothing else is known of a request.
package losses

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Events of a request's end, and of an attempt's.
const (
	eventAnswered       = "request_answered"
	eventRefused        = "request_refused"
	eventUnknown        = "request_unknown"
	eventAttemptRefused = "attempt_refused"
	eventLeftOut        = "lines_left_out"
)

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Loss is a cause for which requests were not served.
type Loss struct {
	Service string
	Route   string
	Reason  string
}

// Hop is where attempts were refused.
type Hop struct {
	Node   string
	Reason string
}

// Counts is how often something happened, and how often to requests that had been
// refused before: those hardly come back once more.
type Counts struct {
	All       int
	Returning int
}

// Summary is what the logs of a run say.
type Summary struct {
	Answered int
	Losses   map[Loss]Counts
	Hops     map[Hop]int
	// Windows counts lost requests by the beginning of the window.
	Windows map[time.Time]int
	// LeftOut is how many lines the processes did not write: the counts are too low by
	// as many at most.
	LeftOut int
}

// Read summarizes lines of key=value pairs; what stands before the first pair is skipped.
func Read(lines io.Reader, window time.Duration) (*Summary, error) {
	summary := &Summary{Losses: map[Loss]Counts{}, Hops: map[Hop]int{}, Windows: map[time.Time]int{}}
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		summary.take(fieldsOf(scanner.Text()), window)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log lines: %w", err)
	}
	return summary, nil
}

// fieldsOf reads the pairs of a line; values in quotes keep only their first word, as none
// that is looked at has blanks.
func fieldsOf(line string) map[string]string {
	fields := map[string]string{}
	for part := range strings.FieldsSeq(line) {
		if name, value, found := strings.Cut(part, "="); found {
			fields[name] = strings.Trim(value, `"`)
		}
	}
	return fields
}

func (s *Summary) take(fields map[string]string, window time.Duration) {
	switch fields["event"] {
	case eventAnswered:
		s.Answered++
	case eventRefused, eventUnknown:
		loss := Loss{Service: fields["service"], Route: fields["route"], Reason: fields["reason"]}
		counts := s.Losses[loss]
		counts.All++
		if fields["returning"] == "true" {
			counts.Returning++
		}
		s.Losses[loss] = counts
		if at, err := time.Parse(time.RFC3339Nano, fields["time"]); err == nil {
			s.Windows[at.Truncate(window)]++
		}
	case eventAttemptRefused:
		s.Hops[Hop{Node: fields["name"], Reason: fields["reason"]}]++
	case eventLeftOut:
		count := 0
		if _, err := fmt.Sscan(fields["lines"], &count); err == nil {
			s.LeftOut += count
		}
	}
}

// Write prints the summary, what cost most first, at most so many rows a table.
func (s *Summary) Write(out io.Writer, most int) {
	fmt.Fprintf(out, "answered %d, lines left out %d\n\nservice\troute\treason\tlost\tof these refused before\n", s.Answered, s.LeftOut)
	for _, loss := range ranked(s.Losses, most, func(c Counts) int { return c.All }) {
		counts := s.Losses[loss]
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\n", loss.Service, loss.Route, loss.Reason, counts.All, counts.Returning)
	}
	fmt.Fprint(out, "\nhop\treason\tattempts refused\n")
	for _, hop := range ranked(s.Hops, most, func(count int) int { return count }) {
		fmt.Fprintf(out, "%s\t%s\t%d\n", hop.Node, hop.Reason, s.Hops[hop])
	}
	fmt.Fprint(out, "\nwindow\tlost\n")
	for _, at := range ranked(s.Windows, most, func(count int) int { return count }) {
		fmt.Fprintf(out, "%s\t%d\n", at.Format(time.TimeOnly), s.Windows[at])
	}
}

// ranked returns the keys whose values weigh most, the heaviest first.
func ranked[K comparable, V any](table map[K]V, most int, weight func(V) int) []K {
	keys := slices.SortedFunc(maps.Keys(table), func(a, b K) int {
		return cmp.Or(cmp.Compare(weight(table[b]), weight(table[a])), cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)))
	})
	return keys[:min(most, len(keys))]
}
