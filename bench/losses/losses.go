// Package losses summarizes from the logs of a run which requests were lost: by service and
// route, reason, time window and hop. It reads the log lines of limehold only.
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

// Events that report the end of a request or of an attempt, and lines that were not written.
const (
	eventAnswered       = "request_answered"
	eventRefused        = "request_refused"
	eventUnknown        = "request_unknown"
	eventAttemptRefused = "attempt_refused"
	eventLinesDropped   = "lines_left_out"
)

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Loss identifies requests that were not served for the same reason.
type Loss struct {
	Service string
	Route   string
	Reason  string
}

// Hop identifies a node and a reason for which it refused attempts.
type Hop struct {
	Node   string
	Reason string
}

// Counts holds the number of lost requests, and how many of them were retries of requests
// that had been refused before, and are unlikely to be retried again.
type Counts struct {
	Total   int
	Retried int
}

// Summary holds the counts from the logs of a run.
type Summary struct {
	Answered int
	Losses   map[Loss]Counts
	Hops     map[Hop]int
	// Windows counts lost requests by the start of the window.
	Windows map[time.Time]int
	// DroppedLines is the number of lines that the processes did not write; the counts are too
	// low by at most this number.
	DroppedLines int
}

// Read summarizes lines of key=value pairs. Text before the first pair is skipped.
func Read(lines io.Reader, window time.Duration) (*Summary, error) {
	summary := &Summary{Losses: map[Loss]Counts{}, Hops: map[Hop]int{}, Windows: map[time.Time]int{}}
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		summary.add(parseFields(scanner.Text()), window)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log lines: %w", err)
	}
	return summary, nil
}

// parseFields returns the key=value pairs of a line. A quoted value is cut at its first blank;
// the values that are used contain none.
func parseFields(line string) map[string]string {
	fields := map[string]string{}
	for part := range strings.FieldsSeq(line) {
		if name, value, found := strings.Cut(part, "="); found {
			fields[name] = strings.Trim(value, `"`)
		}
	}
	return fields
}

func (s *Summary) add(fields map[string]string, window time.Duration) {
	switch fields["event"] {
	case eventAnswered:
		s.Answered++
	case eventRefused, eventUnknown:
		loss := Loss{Service: fields["service"], Route: fields["route"], Reason: fields["reason"]}
		counts := s.Losses[loss]
		counts.Total++
		if fields["returning"] == "true" {
			counts.Retried++
		}
		s.Losses[loss] = counts
		if at, err := time.Parse(time.RFC3339Nano, fields["time"]); err == nil {
			s.Windows[at.Truncate(window)]++
		}
	case eventAttemptRefused:
		s.Hops[Hop{Node: fields["name"], Reason: fields["reason"]}]++
	case eventLinesDropped:
		count := 0
		if _, err := fmt.Sscan(fields["lines"], &count); err == nil {
			s.DroppedLines += count
		}
	}
}

// Write prints the summary with at most limit rows per table, the largest counts first.
func (s *Summary) Write(out io.Writer, limit int) {
	fmt.Fprintf(out, "answered %d, lines left out %d\n\nservice\troute\treason\tlost\tof these refused before\n", s.Answered, s.DroppedLines)
	for _, loss := range topKeys(s.Losses, limit, func(c Counts) int { return c.Total }) {
		counts := s.Losses[loss]
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\n", loss.Service, loss.Route, loss.Reason, counts.Total, counts.Retried)
	}
	fmt.Fprint(out, "\nhop\treason\tattempts refused\n")
	for _, hop := range topKeys(s.Hops, limit, func(count int) int { return count }) {
		fmt.Fprintf(out, "%s\t%s\t%d\n", hop.Node, hop.Reason, s.Hops[hop])
	}
	fmt.Fprint(out, "\nwindow\tlost\n")
	for _, at := range topKeys(s.Windows, limit, func(count int) int { return count }) {
		fmt.Fprintf(out, "%s\t%d\n", at.Format(time.TimeOnly), s.Windows[at])
	}
}

// topKeys returns at most limit keys of a table, in descending order of the weight of their values.
func topKeys[K comparable, V any](counts map[K]V, limit int, weight func(V) int) []K {
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b K) int {
		return cmp.Or(cmp.Compare(weight(counts[b]), weight(counts[a])), cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)))
	})
	return keys[:min(limit, len(keys))]
}
