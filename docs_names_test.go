package tamarindshore_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// newDocCheck reads the repository's Go files and the program's help.
func newDocCheck(t *testing.T) *docCheck {
	t.Helper()
	c := &docCheck{commands: map[string][]string{}, functions: map[string]bool{}, literals: map[string]bool{}, suffixes: map[string]bool{}, files: map[string]bool{}, declared: map[string]bool{}}
	set := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && (entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "bin"):
			return filepath.SkipDir
		case entry.IsDir():
			return nil
		}
		c.files[entry.Name()] = true
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err == nil {
			c.addFile(file, strings.HasSuffix(path, "_test.go"))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	c.addCommands(t)
	return c
}

// addFile adds the functions, declared names and string literals of a file.
func (c *docCheck) addFile(file *ast.File, isTest bool) {
	c.declared[file.Name.Name] = true
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		name := function.Name.Name
		if isTest {
			c.tests = append(c.tests, name)
		}
		scope := file.Name.Name
		if function.Recv != nil {
			scope = receiverName(function.Recv.List[0].Type)
		}
		c.functions[name] = true
		c.functions[scope+"."+name] = true
	}
	if isTest {
		return
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.BasicLit:
			c.literals[literalText(node)] = true
		case *ast.TypeSpec:
			c.declared[node.Name.Name] = true
		case *ast.ValueSpec:
			c.declare(node.Names)
		case *ast.Field:
			c.declare(node.Names)
		case *ast.FuncDecl:
			c.declared[node.Name.Name] = true
		case *ast.BinaryExpr:
			if right, ok := node.Y.(*ast.BasicLit); ok && node.Op == token.ADD && suffixForm.MatchString(literalText(right)) {
				c.suffixes[literalText(right)] = true
			}
		}
		return true
	})
}

func (c *docCheck) declare(names []*ast.Ident) {
	for _, name := range names {
		c.declared[name.Name] = true
	}
}

// literalText is the text of a string literal, empty for another one.
func literalText(literal *ast.BasicLit) string {
	text, err := strconv.Unquote(literal.Value)
	if literal.Kind != token.STRING || err != nil {
		return ""
	}
	return text
}

// addCommands adds the program's commands and flags, as its help prints them.
func (c *docCheck) addCommands(t *testing.T) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "tamarindshore")
	if output, err := exec.Command("go", "build", "-o", program, "./cmd/tamarindshore").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	help := func(words ...string) string {
		output, err := exec.Command(program, append(words, "--help")...).Output()
		if err != nil {
			t.Errorf("tamarindshore %s --help: %v", strings.Join(words, " "), err)
		}
		return string(output)
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for line := range strings.Lines(help()) {
		command := helpCommand.FindStringSubmatch(line)
		if command == nil || strings.HasPrefix(line, "  -") {
			continue
		}
		all.Go(func() {
			flags := flagForm.FindAllString(help(strings.Fields(command[1])...), -1)
			mu.Lock()
			defer mu.Unlock()
			c.commands[command[1]] = flags
		})
	}
	all.Wait()
}
