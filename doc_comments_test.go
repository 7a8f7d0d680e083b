package tamarindshore_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// docChecker collects what lacks a doc comment in the files of any number of packages.
type docChecker struct {
	files      *token.FileSet
	documented map[string]bool // by package directory: whether one of its files has a package comment
	missing    []string
}

func newDocChecker() *docChecker {
	return &docChecker{files: token.NewFileSet(), documented: map[string]bool{}}
}

// addFile checks a file, read from source, or from the file system where that is nil.
func (c *docChecker) addFile(path string, source any) error {
	file, err := parser.ParseFile(c.files, path, source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	directory := filepath.Dir(path)
	c.documented[directory] = c.documented[directory] || hasText(file.Doc)
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			c.checkFunc(declaration)
		case *ast.GenDecl:
			c.checkGroup(declaration)
		}
	}
	return nil
}

// finish gives all that lacks a doc comment, packages last.
func (c *docChecker) finish() []string {
	for _, directory := range slices.Sorted(maps.Keys(c.documented)) {
		if !c.documented[directory] {
			c.missing = append(c.missing, "package "+directory)
		}
	}
	return c.missing
}

// checkFunc checks an exported function, or an exported method of an exported type.
func (c *docChecker) checkFunc(function *ast.FuncDecl) {
	name := function.Name.Name
	if !function.Name.IsExported() || hasText(function.Doc) {
		return
	}
	if function.Recv != nil {
		receiver := receiverName(function.Recv.List[0].Type)
		if !ast.IsExported(receiver) {
			return
		}
		name = receiver + "." + name
	}
	c.report(function, name)
}

// checkGroup checks the types, constants and variables of one declaration. A comment on a group of constants or
// variables stands for all of them; each type needs its own.
func (c *docChecker) checkGroup(group *ast.GenDecl) {
	for _, spec := range group.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			alone := !group.Lparen.IsValid()
			if spec.Name.IsExported() && !hasText(spec.Doc) && !(alone && hasText(group.Doc)) {
				c.report(spec, spec.Name.Name)
			}
		case *ast.ValueSpec:
			if hasText(group.Doc) || hasText(spec.Doc) || hasText(spec.Comment) {
				continue
			}
			for _, name := range spec.Names {
				if name.IsExported() {
					c.report(name, name.Name)
				}
			}
		}
	}
}

func (c *docChecker) report(node ast.Node, name string) {
	position := c.files.Position(node.Pos())
	c.missing = append(c.missing, fmt.Sprintf("%s:%d: %s", position.Filename, position.Line, name))
}

// hasText tells whether a comment says anything; directives do not count.
func hasText(comment *ast.CommentGroup) bool {
	return strings.TrimSpace(comment.Text()) != ""
}

// receiverName is the name of a method's type, without a pointer or type parameters.
func receiverName(receiver ast.Expr) string {
	switch receiver := receiver.(type) {
	case *ast.StarExpr:
		return receiverName(receiver.X)
	case *ast.IndexExpr:
		return receiverName(receiver.X)
	case *ast.IndexListExpr:
		return receiverName(receiver.X)
	case *ast.Ident:
		return receiver.Name
	}
	return ""
}

// Guards against a check that passes whatever it reads.
func TestDocCheckerFindsWhatIsMissing(t *testing.T) {
	const documented = `// Package x is documented.
package x

// A is documented.
type A struct{ Field int }

// Method is documented.
func (a *A) Method() {}

// Group of constants.
const (
	B = 1
	C = 2
)

var D = 1 // a variable

type hidden struct{}

func (hidden) Method() {}

func unexported() {}
`
	for name, one := range map[string]struct {
		source string
		want   []string
	}{
		"documented": {documented, nil},
		"package":    {strings.Replace(documented, "// Package x is documented.\n", "", 1), []string{"package ."}},
		"type":       {strings.Replace(documented, "// A is documented.\n", "", 1), []string{"x.go:4: A"}},
		"method":     {strings.Replace(documented, "// Method is documented.\n", "", 1), []string{"x.go:7: A.Method"}},
		"group":      {strings.Replace(documented, "// Group of constants.\n", "", 1), []string{"x.go:11: B", "x.go:12: C"}},
		"variable":   {strings.Replace(documented, " // a variable", "", 1), []string{"x.go:16: D"}},
		"function":   {documented + "\nfunc E() {}\n", []string{"x.go:24: E"}},
		"directive":  {documented + "\n//go:noinline\nfunc E() {}\n", []string{"x.go:25: E"}},
		"generic":    {documented + "\n// T is documented.\ntype T[K any] struct{}\n\nfunc (t *T[K]) Get() {}\n", []string{"x.go:27: T.Get"}},
		"types":      {documented + "\n// Types.\ntype (\n\tF int\n\t// G is documented.\n\tG int\n)\n", []string{"x.go:26: F"}},
	} {
		checker := newDocChecker()
		if err := checker.addFile("x.go", one.source); err != nil {
			t.Fatal(err)
		}
		if got := checker.finish(); !slices.Equal(got, one.want) {
			t.Errorf("%s: %q, want %q", name, got, one.want)
		}
	}
}

// Guards against packages and exported identifiers without a doc comment.
func TestEverythingExportedHasADocComment(t *testing.T) {
	checker := newDocChecker()
	count := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata"):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		count++
		return checker.addFile(path, nil)
	})
	if err != nil {
		t.Fatal(err)
	}
	if count == 0 {
		t.Fatal("no file was checked")
	}
	for _, one := range checker.finish() {
		t.Errorf("%s lacks a doc comment", one)
	}
}
