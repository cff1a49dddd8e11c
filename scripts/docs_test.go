package scripts_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var (
	link        = regexp.MustCompile(`\]\(([^)#]+)[^)]*\)`)
	quoted      = regexp.MustCompile("`([^`]+)`")
	linkOrName  = regexp.MustCompile(link.String() + "|" + quoted.String())
	testName    = regexp.MustCompile(`\bTest[A-Z]\w*`)
	firstColumn = regexp.MustCompile(`(?m)^\|[^|]*\|`)
)

// source holds the names and texts in the Go files of the module.
type source struct {
	identifiers map[string]map[string]bool // by path of the file
	literals    map[string]bool            // string literals outside of tests
	tests       map[string]bool            // test functions
}

// TestDocs checks that what the pages link to and name exists in the module.
func TestDocs(t *testing.T) {
	s := source{map[string]map[string]bool{}, map[string]bool{}, map[string]bool{}}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		return s.add(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range []string{
		"README.md", "docs/architecture.md", "docs/operations.md", "docs/glossary.md", "docs/design.md",
		"docs/compound-failures.md", "docs/known-weaknesses.md", "docs/questions.md",
	} {
		content, err := os.ReadFile(filepath.Join("..", page))
		if err != nil {
			t.Fatal(err)
		}
		text := string(content)
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join("..", filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s: broken link: %v", page, err)
			}
		}
		// The first column of the glossary's last table holds former names.
		current, former, _ := strings.Cut(text, "\n## Names in the records of measurements")
		for _, name := range testName.FindAllString(current+firstColumn.ReplaceAllString(former, ""), -1) {
			if !s.tests[name] {
				t.Errorf("%s: %s is not a test function", page, name)
			}
		}
		switch page {
		case "docs/architecture.md":
			s.checkPlaces(t, text)
		case "docs/operations.md":
			s.checkMessages(t, text)
		}
	}
}

// add collects the names and texts of a Go file.
func (s *source) add(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	isTest, identifiers := strings.HasSuffix(path, "_test.go"), map[string]bool{}
	s.identifiers[path] = identifiers
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.Ident:
			identifiers[node.Name] = true
		case *ast.FuncDecl:
			s.tests[node.Name.Name] = s.tests[node.Name.Name] || isTest && node.Recv == nil
		case *ast.BasicLit:
			if text, err := strconv.Unquote(node.Value); err == nil && !isTest {
				s.literals[text] = true
			}
		}
		return true
	})
	return nil
}

// checkPlaces checks that the names in the table of symptoms occur in the files linked
// before them.
func (s *source) checkPlaces(t *testing.T, page string) {
	_, table, found := strings.Cut(page, "\n## Symptom → place\n")
	if !found {
		t.Error("docs/architecture.md: no table of symptoms")
	}
	for row := range strings.Lines(table) {
		file := ""
		for _, m := range linkOrName.FindAllStringSubmatch(firstColumn.ReplaceAllString(row, ""), -1) {
			if m[1] != "" {
				file = filepath.Join("..", "docs", m[1])
			} else if !s.identifiers[file][m[2]] {
				t.Errorf("docs/architecture.md: %s does not occur in %s", m[2], file)
			}
		}
	}
}

// checkMessages checks that the messages in the first columns of the tables are string
// literals. The last table explains fields and holds no messages.
func (s *source) checkMessages(t *testing.T, page string) {
	tables, _, found := strings.Cut(page, "\n## Fields\n")
	messages := quoted.FindAllStringSubmatch(strings.Join(firstColumn.FindAllString(tables, -1), "\n"), -1)
	if !found || len(messages) == 0 {
		t.Error("docs/operations.md: no messages, or no table of fields after them")
	}
	for _, m := range messages {
		if !s.literals[m[1]] {
			t.Errorf("docs/operations.md: %q is not a string literal", m[1])
		}
	}
}
