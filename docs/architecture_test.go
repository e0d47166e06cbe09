// Package docs checks the package table in ARCHITECTURE.md against the code, and
// the relative links and the test names in the README.
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

const modulePrefix = "limehold/"

// packageRule holds one row of the package table in ARCHITECTURE.md: the packages of
// this module that the package may import, and whether it is marked as pure.
type packageRule struct {
	allowedImports []string
	pure           bool
}

// readPackageTable parses the package table in ARCHITECTURE.md and returns its rows by
// package directory.
func readPackageTable(t *testing.T) map[string]packageRule {
	t.Helper()
	text, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]packageRule{}
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || strings.HasPrefix(cells[1], "---") || strings.TrimSpace(cells[1]) == "package" {
			continue
		}
		rule := packageRule{pure: strings.Contains(cells[2], "(pure)")}
		for _, name := range strings.Split(cells[3], ",") {
			if name = strings.TrimSpace(name); name != "" {
				rule.allowedImports = append(rule.allowedImports, name)
			}
		}
		rows[strings.TrimSpace(cells[1])] = rule
	}
	return rows
}

// goFiles returns the paths of the repository's Go files by package directory. It skips
// directories whose names begin with a dot.
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
			dir, err := filepath.Rel("..", filepath.Dir(path))
			if err != nil {
				return err
			}
			files[filepath.ToSlash(dir)] = append(files[filepath.ToSlash(dir)], path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// importPaths returns the import paths of the Go file at path.
func importPaths(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, name)
	}
	return list
}

// packageDir returns the directory of an imported package relative to the repository
// root, "." for the root package, and reports whether the package is part of this module.
func packageDir(imported string) (string, bool) {
	if imported+"/" == modulePrefix {
		return ".", true
	}
	return strings.CutPrefix(imported, modulePrefix)
}

func TestImportsFollowTheTable(t *testing.T) {
	rows := readPackageTable(t)
	for dir, files := range goFiles(t) {
		rule, listed := rows[dir]
		if !listed {
			t.Errorf("package %s has no row in ARCHITECTURE.md", dir)
			continue
		}
		for _, path := range files {
			for _, imported := range importPaths(t, path) {
				importedDir, inModule := packageDir(imported)
				if inModule && importedDir != dir && !slices.Contains(rule.allowedImports, importedDir) {
					t.Errorf("%s imports %s, which its row in ARCHITECTURE.md does not allow", path, importedDir)
				}
			}
		}
	}
	if len(rows) < 30 {
		t.Errorf("only %d rows found in the package table of ARCHITECTURE.md", len(rows))
	}
}

// forbiddenImports lists the packages that pure packages must not import outside of tests:
// they would make simulated runs with the same seed differ.
var forbiddenImports = []string{"net", "os", "sync", "sync/atomic", "context", "net/http", "crypto/rand"}

// forbiddenCode lists pieces of source text that pure packages must not contain outside of
// tests, for the same reason.
var forbiddenCode = []string{"time.Now(", "time.Sleep(", "time.After(", "rand.Int", "rand.N", "go func"}

func TestPurePackagesHaveNoClockAndNoIO(t *testing.T) {
	rows := readPackageTable(t)
	checked := 0
	for dir, files := range goFiles(t) {
		if !rows[dir].pure {
			continue
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			checked++
			for _, imported := range importPaths(t, path) {
				// catalog uses net/http for its method constants.
				if slices.Contains(forbiddenImports, imported) && (dir != "catalog" || imported != "net/http") {
					t.Errorf("%s imports %s", path, imported)
				}
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, snippet := range forbiddenCode {
				if strings.Contains(string(text), snippet) {
					t.Errorf("%s uses %s", path, snippet)
				}
			}
		}
	}
	if checked < 20 {
		t.Errorf("only %d files of pure packages were checked", checked)
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
			t.Errorf("README.md links to %s, which does not exist", target)
		}
	}
}

// TestNamedTestsExist checks that each test named in the README exists.
func TestNamedTestsExist(t *testing.T) {
	text, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	var testCode strings.Builder
	for _, files := range goFiles(t) {
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				code, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				testCode.Write(code)
			}
		}
	}
	named := 0
	for _, part := range strings.Split(string(text), "`") {
		if strings.HasPrefix(part, "Test") {
			named++
			if !strings.Contains(testCode.String(), "func "+part+"(") {
				t.Errorf("README.md names %s, which does not exist", part)
			}
		}
	}
	if named < 8 {
		t.Errorf("README.md names only %d tests", named)
	}
}

// Guards against calls to an instance over a client that pools connections by itself: their answers would be matched with the
// calls by order, and a surplus copy of one answer would be taken for another. upstream and peerconn say which call an
// answer belongs to; see docs/design/0028.
func TestCallsToInstancesGoThroughUpstream(t *testing.T) {
	files := goFiles(t)
	for _, dir := range []string{"ingress", "platform", "peerconn"} {
		if len(files[dir]) == 0 {
			t.Errorf("package %s has no files", dir)
		}
		for _, path := range files[dir] {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, client := range []string{"fasthttp.HostClient", "fasthttp.Client", "fasthttp.Do", "http.Client", "http.Get"} {
				if strings.Contains(string(text), client) {
					t.Errorf("%s uses %s: call an instance through upstream or peerconn", path, client)
				}
			}
		}
	}
}
