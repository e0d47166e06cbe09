package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entry is one known failure.
type entry struct {
	// test is the name of a test or subtest.
	test string
	// intermittent is set for a test that fails only sometimes. A failure is then known only if the output of
	// the test contains it.
	intermittent string
	line         string
}

var intermittentPattern = regexp.MustCompile(`^(\S+) \(sometimes: "([^"]+)"\), `)

// parseList parses a list with one entry a line: test, cause, issue. Lines that begin with # are comments. A test
// that fails only sometimes is written as: TestName (sometimes: "text of its failure"), cause, issue.
func parseList(text string) ([]entry, error) {
	var entries []entry
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parsed := entry{line: line}
		first, _, found := strings.Cut(line, ", ")
		if match := intermittentPattern.FindStringSubmatch(line); match != nil {
			parsed.test, parsed.intermittent = match[1], match[2]
		} else if found {
			parsed.test = first
		} else {
			return nil, fmt.Errorf("line %d: write test, cause, issue", number+1)
		}
		if !strings.HasPrefix(parsed.test, "Test") || strings.ContainsAny(parsed.test, " \"") {
			return nil, fmt.Errorf("line %d: %q is not the name of a test; one that fails sometimes is written as TestName (sometimes: \"text of its failure\")", number+1, first)
		}
		entries = append(entries, parsed)
	}
	return entries, nil
}
