package main

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// output returns the output of 'go test -json' for events of one package.
func output(t *testing.T, events ...event) *results {
	t.Helper()
	var text strings.Builder
	for _, item := range events {
		item.Package = "p"
		line, err := json.Marshal(item)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(append(line, '\n'))
	}
	parsed, err := readResults(strings.NewReader(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func ended(action, test string) event { return event{Action: action, Test: test} }

func printed(test, text string) event {
	return event{Action: "output", Test: test, Output: text + "\n"}
}

// Guards against failures that the list hides although it does not name them.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		list     string
		events   []event
		problems []string
	}{
		"all pass":                 {"", []event{ended("pass", "TestA"), ended("pass", "")}, nil},
		"a listed test fails":      {"TestA, cause, 1", []event{ended("fail", "TestA"), ended("fail", "")}, nil},
		"two lines with one test":  {"TestA, cause, 1\nTestA, another, 2", []event{ended("fail", "TestA"), ended("fail", "")}, nil},
		"a listed test passes":     {"TestA, cause, 1", []event{ended("pass", "TestA"), ended("pass", "")}, []string{"the list names TestA, which passes: take the line out"}},
		"a listed test is missing": {"TestA, cause, 1", []event{ended("pass", "TestB"), ended("pass", "")}, []string{"the list names TestA, which is not there"}},
		"a listed test is skipped": {"TestA, cause, 1", []event{ended("skip", "TestA"), ended("pass", "")}, []string{"the list names TestA, which was skipped"}},
		"another test fails":       {"TestA, cause, 1", []event{ended("fail", "TestA"), ended("fail", "TestB"), ended("fail", "")}, []string{"failed: TestB (p)"}},
		"one that fails sometimes passes": {
			`TestA (sometimes: "lost"), cause, 1`, []event{ended("pass", "TestA"), ended("pass", "")}, nil},
		"one that fails sometimes fails as listed": {
			`TestA (sometimes: "lost"), cause, 1`, []event{printed("TestA", "    a_test.go:1: request 7 was lost"), ended("fail", "TestA"), ended("fail", "")}, nil},
		"its text has a comma": {
			`TestA/b (sometimes: "lost, after"), cause, 1`, []event{printed("TestA/b", "    a_test.go:1: lost, after 2s"), ended("fail", "TestA/b"), ended("fail", "TestA"), ended("fail", "")}, nil},
		"one that fails sometimes fails otherwise": {
			`TestA (sometimes: "lost"), cause, 1`, []event{printed("TestA", "    a_test.go:1: not served"), ended("fail", "TestA"), ended("fail", "")}, []string{"failed: TestA (p)"}},
		"a listed subtest fails": {
			"TestA/one, cause, 1", []event{ended("fail", "TestA/one"), ended("fail", "TestA"), ended("fail", "")}, nil},
		"another subtest fails": {
			"TestA/one, cause, 1", []event{ended("fail", "TestA/one"), ended("fail", "TestA/two"), ended("fail", "TestA"), ended("fail", "")},
			[]string{"failed: TestA (p)", "failed: TestA/two (p)"}},
		"the test of a listed subtest fails itself": {
			"TestA/one, cause, 1", []event{ended("fail", "TestA/one"), printed("TestA", "    a_test.go:9: not closed"), ended("fail", "TestA"), ended("fail", "")},
			[]string{"failed: TestA (p)"}},
		"a listed test ends the others by a panic": {
			"TestA, cause, 1", []event{printed("TestA", "panic: index out of range"), ended("fail", "TestA"), ended("fail", "")},
			[]string{"failed: p ended by a panic, tests that would have run after it are not known"}},
		"a test does not end":         {"TestA, cause, 1", []event{ended("fail", "TestA"), printed("TestB", "=== RUN   TestB"), ended("fail", "")}, []string{"failed: TestB (p)"}},
		"a package fails by itself":   {"", []event{ended("pass", "TestA"), ended("fail", "")}, []string{"failed: p, without naming a test"}},
		"a package is not built":      {"", []event{ended("fail", "")}, []string{"failed: p, without naming a test"}},
		"a name that begins alike":    {"TestA, cause, 1", []event{ended("fail", "TestA"), ended("fail", "TestAB"), ended("fail", "")}, []string{"failed: TestAB (p)"}},
		"comments and blanks ignored": {"# comment\n\n", []event{ended("pass", "TestA"), ended("pass", "")}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			entries, err := parseList(c.list)
			if err != nil {
				t.Fatal(err)
			}
			if found := judge(entries, output(t, c.events...)); !slices.Equal(found.problems, c.problems) {
				t.Errorf("problems: %q", found.problems)
			}
		})
	}
}

// Guards against lines that name no test and are read as comments.
func TestListWithoutATestIsRejected(t *testing.T) {
	for _, line := range []string{"TestA", "sometimes TestA, cause, 1", `TestA (sometimes), cause, 1`, "see above, cause, 1"} {
		if _, err := parseList(line); err == nil {
			t.Errorf("%q was accepted", line)
		}
	}
}
