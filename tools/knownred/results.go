package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// event is a line of the output of 'go test -json'.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testResult is the result of a test or subtest in one package.
type testResult struct {
	pkg, name string
	// status is pass, fail or skip; empty if the test did not end.
	status string
	output strings.Builder
}

// packageResult is the result of a package.
type packageResult struct {
	status string
	output strings.Builder
	// crashed is set if the test binary ended by a panic, which ends all other tests of the package.
	crashed bool
}

type results struct {
	tests    map[string]*testResult
	packages map[string]*packageResult
	// other holds the lines that are no events, such as those of the compiler.
	other strings.Builder
}

// maxLineBytes bounds one line of the output.
const maxLineBytes = 16 << 20

func readResults(reader io.Reader) (*results, error) {
	r := &results{tests: map[string]*testResult{}, packages: map[string]*packageResult{}}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var parsed event
		if err := json.Unmarshal(scanner.Bytes(), &parsed); err != nil || parsed.Action == "" {
			fmt.Fprintln(&r.other, scanner.Text())
			continue
		}
		r.add(&parsed)
	}
	return r, scanner.Err()
}

func (r *results) add(parsed *event) {
	ended := slices.Contains([]string{"pass", "fail", "skip"}, parsed.Action)
	known := r.packages[parsed.Package]
	if known == nil {
		known = &packageResult{}
		r.packages[parsed.Package] = known
	}
	if strings.HasPrefix(parsed.Output, "panic: ") || strings.HasPrefix(parsed.Output, "fatal error: ") {
		known.crashed = true
	}
	if parsed.Test == "" {
		known.output.WriteString(parsed.Output)
		if ended {
			known.status = parsed.Action
		}
		return
	}
	key := parsed.Package + " " + parsed.Test
	test := r.tests[key]
	if test == nil {
		test = &testResult{pkg: parsed.Package, name: parsed.Test}
		r.tests[key] = test
	}
	test.output.WriteString(parsed.Output)
	if ended {
		test.status = parsed.Action
	}
}

// failedTests returns the tests and subtests that failed or did not end, sorted by package and name.
func (r *results) failedTests() []*testResult {
	var failed []*testResult
	for _, key := range slices.Sorted(maps.Keys(r.tests)) {
		if test := r.tests[key]; test.status == "fail" || test.status == "" {
			failed = append(failed, test)
		}
	}
	return failed
}

// named returns the results of the tests with a name, one for each package that has one.
func (r *results) named(name string) []*testResult {
	var found []*testResult
	for _, key := range slices.Sorted(maps.Keys(r.tests)) {
		if r.tests[key].name == name {
			found = append(found, r.tests[key])
		}
	}
	return found
}

// outputOf returns the output of a test and of its subtests.
func (r *results) outputOf(test *testResult) string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(r.tests)) {
		other := r.tests[key]
		if other.pkg == test.pkg && (other.name == test.name || strings.HasPrefix(other.name, test.name+"/")) {
			text.WriteString(other.output.String())
		}
	}
	return text.String()
}

var messagePattern = regexp.MustCompile(`(?m)^ +\S+_test\.go:\d+: `)

// hasOwnMessages reports whether a test itself, not a subtest, has written messages, of which one may be that of
// a failure.
func (t *testResult) hasOwnMessages() bool { return messagePattern.MatchString(t.output.String()) }

// count returns the numbers of tests, without subtests, that passed and that failed.
func (r *results) count() (passed, failed int) {
	for _, test := range r.tests {
		switch {
		case strings.Contains(test.name, "/"):
		case test.status == "pass":
			passed++
		case test.status != "skip":
			failed++
		}
	}
	return passed, failed
}

// writeFailures writes the output of all tests and packages that failed.
func (r *results) writeFailures(writer io.Writer) {
	_, _ = io.WriteString(writer, r.other.String())
	for _, test := range r.failedTests() {
		_, _ = io.WriteString(writer, test.output.String())
	}
	for _, name := range slices.Sorted(maps.Keys(r.packages)) {
		if known := r.packages[name]; known.status == "fail" {
			_, _ = io.WriteString(writer, known.output.String())
		}
	}
}
