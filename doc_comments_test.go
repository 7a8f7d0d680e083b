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

// docCommentChecker collects the packages and exported identifiers that lack a doc comment.
type docCommentChecker struct {
	fileSet    *token.FileSet
	documented map[string]bool // by package directory: whether any of its files has a package comment
	missing    []string        // packages as "package DIRECTORY", identifiers as "FILE:LINE: NAME"
}

func newDocCommentChecker() *docCommentChecker {
	return &docCommentChecker{fileSet: token.NewFileSet(), documented: map[string]bool{}}
}

// addFile checks one file. If source is nil, the file is read from path.
func (c *docCommentChecker) addFile(path string, source any) error {
	file, err := parser.ParseFile(c.fileSet, path, source, parser.ParseComments|parser.SkipObjectResolution)
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

// undocumented returns everything that lacks a doc comment, packages last.
func (c *docCommentChecker) undocumented() []string {
	for _, directory := range slices.Sorted(maps.Keys(c.documented)) {
		if !c.documented[directory] {
			c.missing = append(c.missing, "package "+directory)
		}
	}
	return c.missing
}

// checkFunc checks an exported function, or an exported method of an exported type.
func (c *docCommentChecker) checkFunc(function *ast.FuncDecl) {
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

// checkGroup checks the types, constants and variables of one declaration. A comment on a group documents all of its
// constants or variables, but each type in a group needs its own.
func (c *docCommentChecker) checkGroup(group *ast.GenDecl) {
	for _, spec := range group.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			ungrouped := !group.Lparen.IsValid()
			if spec.Name.IsExported() && !hasText(spec.Doc) && !(ungrouped && hasText(group.Doc)) {
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

func (c *docCommentChecker) report(node ast.Node, name string) {
	position := c.fileSet.Position(node.Pos())
	c.missing = append(c.missing, fmt.Sprintf("%s:%d: %s", position.Filename, position.Line, name))
}

// hasText reports whether a comment has any text apart from directives.
func hasText(comment *ast.CommentGroup) bool {
	return strings.TrimSpace(comment.Text()) != ""
}

// receiverName returns the name of a method's receiver type, without pointer and type parameters.
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

// The check of doc comments must not pass for files that lack them.
func TestDocCommentCheckerFindsMissingComments(t *testing.T) {
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
	for name, test := range map[string]struct {
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
		checker := newDocCommentChecker()
		if err := checker.addFile("x.go", test.source); err != nil {
			t.Fatal(err)
		}
		if got := checker.undocumented(); !slices.Equal(got, test.want) {
			t.Errorf("%s: missing doc comments %q, want %q", name, got, test.want)
		}
	}
}

// Packages and exported identifiers must have a doc comment.
func TestEverythingExportedHasADocComment(t *testing.T) {
	checker := newDocCommentChecker()
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata"):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		files++
		return checker.addFile(path, nil)
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no Go file was found")
	}
	for _, missing := range checker.undocumented() {
		t.Errorf("%s lacks a doc comment", missing)
	}
}
