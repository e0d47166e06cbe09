package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// verdict is the comparison of results with the list.
type verdict struct {
	// known describes the listed tests that failed, and those that fail sometimes and passed.
	known []string
	// problems describes all that is not as listed.
	problems []string
}

func judge(entries []entry, r *results) verdict {
	var v verdict
	for _, listed := range entries {
		v.judgeEntry(listed, r)
	}
	for _, test := range r.failedTests() {
		if !isExplained(test, entries, r) {
			v.problems = append(v.problems, "failed: "+test.name+" ("+test.pkg+")")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.packages)) {
		v.judgePackage(name, r)
	}
	return v
}

// judgeEntry compares one entry with the results of its test.
func (v *verdict) judgeEntry(listed entry, r *results) {
	found := r.named(listed.test)
	if len(found) == 0 {
		v.problems = append(v.problems, "the list names "+listed.test+", which is not there")
		return
	}
	for _, test := range found {
		switch {
		case test.status == "fail":
			v.known = append(v.known, listed.line)
		case listed.intermittent != "" && test.status == "pass":
			v.known = append(v.known, "(passed this time) "+listed.line)
		case test.status == "pass":
			v.problems = append(v.problems, "the list names "+listed.test+", which passes: take the line out")
		case test.status == "skip":
			v.problems = append(v.problems, "the list names "+listed.test+", which was skipped")
		}
	}
}

// judgePackage finds failures of a package that are not those of its tests.
func (v *verdict) judgePackage(name string, r *results) {
	known := r.packages[name]
	if known.crashed {
		v.problems = append(v.problems, fmt.Sprintf("failed: %s ended by a panic, tests that would have run after it are not known", name))
		return
	}
	if known.status != "fail" {
		return
	}
	for _, test := range r.failedTests() {
		if test.pkg == name {
			return
		}
	}
	v.problems = append(v.problems, "failed: "+name+", without naming a test")
}

// isExplained reports whether a failure is known: the test or one that contains it is listed, or the failure is
// nothing but that of subtests whose failures are known.
func isExplained(test *testResult, entries []entry, r *results) bool {
	if test.status == "" {
		return false
	}
	for _, listed := range entries {
		if test.name != listed.test && !strings.HasPrefix(test.name, listed.test+"/") {
			continue
		}
		if listed.intermittent == "" || strings.Contains(r.outputOf(r.tests[test.pkg+" "+listed.test]), listed.intermittent) {
			return true
		}
	}
	if test.hasOwnMessages() {
		return false
	}
	subtests := 0
	for _, other := range r.failedTests() {
		if other.pkg != test.pkg || !strings.HasPrefix(other.name, test.name+"/") {
			continue
		}
		subtests++
		if !isExplained(other, entries, r) {
			return false
		}
	}
	return subtests > 0
}
