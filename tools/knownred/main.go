// Command knownred reads the output of 'go test -json' and passes over just the failures that a list names.
// It fails if another test fails, if a listed test passes or is missing, and if a package fails in a way that
// names no test.
package main

import (
	"fmt"
	"io"
	"os"
)

const usage = "usage: knownred LIST OUTPUT STATUS: the list of known failures, the output of 'go test -json' and its exit status"

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	passed, err := run(os.Args[1], os.Args[2], os.Args[3], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	if !passed {
		os.Exit(1)
	}
}

// run reports whether the output holds no failure but the listed ones.
func run(listPath, outputPath, status string, writer io.Writer) (passed bool, err error) {
	list, err := os.ReadFile(listPath)
	if err != nil {
		return false, err
	}
	entries, err := parseList(string(list))
	if err != nil {
		return false, fmt.Errorf("%s: %w", listPath, err)
	}
	output, err := os.Open(outputPath)
	if err != nil {
		return false, err
	}
	defer output.Close()
	results, err := readResults(output)
	if err != nil {
		return false, fmt.Errorf("%s: %w", outputPath, err)
	}
	verdict := judge(entries, results)
	if status != "0" && len(results.failedTests()) == 0 && len(verdict.problems) == 0 {
		verdict.problems = append(verdict.problems, "go test failed without naming a test or a package")
	}
	results.writeFailures(writer)
	for _, text := range verdict.known {
		fmt.Fprintln(writer, "known red:", text)
	}
	for _, text := range verdict.problems {
		fmt.Fprintln(writer, text)
	}
	passedCount, failedCount := results.count()
	fmt.Fprintf(writer, "%d passed, %d failed\n", passedCount, failedCount)
	return len(verdict.problems) == 0, nil
}
