package apps_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Documentation")
}

// names are the log events and metrics found in the code or in a page.
type names struct {
	events  map[string]bool
	metrics map[string]bool
}

func newNames() names { return names{events: map[string]bool{}, metrics: map[string]bool{}} }

var (
	metricPattern = regexp.MustCompile(`^hawthorn_[a-z0-9_]+`)
	rowPattern    = regexp.MustCompile("(?m)^\\| `([a-z0-9_]+)` \\|")
)

// addFile collects the names of one source file: the second argument of
// Str("event", ...), the Event of a Decision of the placement core, and string
// literals with the prefix of a metric.
func (n names) addFile(path string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	Expect(err).NotTo(HaveOccurred())
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.BasicLit:
			if metric := metricPattern.FindString(literal(node)); metric != "" {
				n.metrics[metric] = true
			}
		case *ast.CallExpr:
			n.addCall(path, node)
		case *ast.CompositeLit:
			n.addDecision(path, node)
		}
		return true
	})
}

func (n names) addCall(path string, call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Str" || len(call.Args) != 2 || literal(call.Args[0]) != "event" {
		return
	}
	if selector, ok := call.Args[1].(*ast.SelectorExpr); ok && selector.Sel.Name == decisionField {
		return // collected from the composite literal of the Decision
	}
	event := literal(call.Args[1])
	Expect(event).NotTo(BeEmpty(), "%s: the name of a log event is not a string literal", path)
	n.events[event] = true
}

// Composite literals of the placement core that set the name of a log event.
const (
	decisionType  = "Decision"
	decisionField = "Event"
)

func (n names) addDecision(path string, composite *ast.CompositeLit) {
	name, ok := composite.Type.(*ast.Ident)
	if !ok || name.Name != decisionType {
		return
	}
	event := ""
	for _, element := range composite.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if ok && pair.Key.(*ast.Ident).Name == decisionField {
			event = literal(pair.Value)
		}
	}
	Expect(event).NotTo(BeEmpty(), "%s: a Decision without a string literal as its event", path)
	n.events[event] = true
}

// literal returns the value of a string literal, or "".
func literal(expression ast.Expr) string {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return ""
	}
	value, err := strconv.Unquote(basic.Value)
	Expect(err).NotTo(HaveOccurred())
	return value
}

// codeNames collects the names of all modules.
func codeNames() names {
	found := newNames()
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != ".." && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			found.addFile(path)
		}
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return found
}

// pageNames collects the names in the first column of the page's tables.
func pageNames(path string) names {
	page, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	found := newNames()
	for _, row := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		if metricPattern.MatchString(row[1]) {
			found.metrics[row[1]] = true
		} else {
			found.events[row[1]] = true
		}
	}
	return found
}

// Guards against alerts on events and metrics that the code no longer has, and
// against new ones without documentation.
var _ = Describe("docs/observability.md", func() {
	It("lists exactly the log events and metrics of the code", func() {
		code, page := codeNames(), pageNames("../docs/observability.md")
		Expect(slices.Sorted(maps.Keys(page.events))).To(Equal(slices.Sorted(maps.Keys(code.events))), "log events: page compared with code")
		Expect(slices.Sorted(maps.Keys(page.metrics))).To(Equal(slices.Sorted(maps.Keys(code.metrics))), "metrics: page compared with code")
	})
})
