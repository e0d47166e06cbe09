// Package docs checks that what the documents say of the code is true.
package docs

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "limehold/"

// row is one line of the table of packages.
type row struct {
	allowed []string
	pure    bool
}

func table(t *testing.T) map[string]row {
	t.Helper()
	text, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]row{}
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || strings.HasPrefix(cells[1], "---") || strings.TrimSpace(cells[1]) == "package" {
			continue
		}
		entry := row{pure: strings.Contains(cells[2], "(pure)")}
		for _, name := range strings.Split(cells[3], ",") {
			if name = strings.TrimSpace(name); name != "" {
				entry.allowed = append(entry.allowed, name)
			}
		}
		rows[strings.TrimSpace(cells[1])] = entry
	}
	return rows
}

// goFiles lists the Go files of the repository by package.
func goFiles(t *testing.T) map[string][]string {
	t.Helper()
	files := map[string][]string{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && entry.Name() != ".." {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") {
			folder, err := filepath.Rel("..", filepath.Dir(path))
			if err != nil {
				return err
			}
			files[filepath.ToSlash(folder)] = append(files[filepath.ToSlash(folder)], path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func imports(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, item := range file.Imports {
		name, err := strconv.Unquote(item.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, name)
	}
	return list
}

// ownPackage returns the folder of an import of this repository; "." is its root.
func ownPackage(imported string) (string, bool) {
	if imported+"/" == module {
		return ".", true
	}
	return strings.CutPrefix(imported, module)
}

func TestImportsFollowTheTable(t *testing.T) {
	rows := table(t)
	for folder, files := range goFiles(t) {
		entry, listed := rows[folder]
		if !listed {
			t.Errorf("package %s has no row in ARCHITECTURE.md", folder)
			continue
		}
		for _, path := range files {
			for _, imported := range imports(t, path) {
				name, own := ownPackage(imported)
				if own && name != folder && !slices.Contains(entry.allowed, name) {
					t.Errorf("%s imports %s, which its row in ARCHITECTURE.md does not allow", path, name)
				}
			}
		}
	}
	if len(rows) < 30 {
		t.Errorf("only %d rows were read from the table", len(rows))
	}
}

// unfit lists what a pure package must not use: it would make a simulated run
// differ from itself.
var unfit = []string{"net", "os", "sync", "sync/atomic", "context", "net/http", "crypto/rand"}

var unfitCalls = []string{"time.Now(", "time.Sleep(", "time.After(", "rand.Int", "rand.N", "go func"}

func TestPurePackagesHaveNoClockAndNoIO(t *testing.T) {
	rows := table(t)
	checked := 0
	for folder, files := range goFiles(t) {
		if !rows[folder].pure {
			continue
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			checked++
			for _, imported := range imports(t, path) {
				if slices.Contains(unfit, imported) && (folder != "catalog" || imported != "net/http") {
					t.Errorf("%s imports %s", path, imported)
				}
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, call := range unfitCalls {
				if strings.Contains(string(text), call) {
					t.Errorf("%s uses %s", path, call)
				}
			}
		}
	}
	if checked < 20 {
		t.Errorf("only %d files of pure packages were looked at", checked)
	}
}

func TestLinksOfTheReadmeLeadSomewhere(t *testing.T) {
	text, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range strings.Split(string(text), "](")[1:] {
		target, _, _ := strings.Cut(part, ")")
		if strings.Contains(target, "://") {
			continue
		}
		if _, err := os.Stat(filepath.Join("..", target)); err != nil {
			t.Errorf("README.md links to %s, which is not there", target)
		}
	}
}

// TestNamedTestsExist checks that the tests that the README names are there.
func TestNamedTestsExist(t *testing.T) {
	text, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, files := range goFiles(t) {
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				code, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				all.Write(code)
			}
		}
	}
	named := 0
	for _, part := range strings.Split(string(text), "`") {
		if strings.HasPrefix(part, "Test") {
			named++
			if !strings.Contains(all.String(), "func "+part+"(") {
				t.Errorf("README.md names %s, which does not exist", part)
			}
		}
	}
	if named < 8 {
		t.Errorf("only %d tests are named", named)
	}
}
