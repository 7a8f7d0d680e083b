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

// newDocCheck collects names from the repository's Go files and from the program's help.
func newDocCheck(t *testing.T) *docCheck {
	t.Helper()
	c := &docCheck{
		commands:  map[string][]string{},
		functions: map[string]bool{},
		literals:  map[string]bool{},
		suffixes:  map[string]bool{},
		files:     map[string]bool{},
		declared:  map[string]bool{},
	}
	fileSet := token.NewFileSet()
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
		file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
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

// addFile records the functions of a file and the names of its tests. Other declared names and string literals are
// recorded only if the file is not a test file.
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
			if right, ok := node.Y.(*ast.BasicLit); ok && node.Op == token.ADD && suffixPattern.MatchString(literalText(right)) {
				c.suffixes[literalText(right)] = true
			}
		}
		return true
	})
}

// declare records declared names.
func (c *docCheck) declare(names []*ast.Ident) {
	for _, name := range names {
		c.declared[name.Name] = true
	}
}

// literalText returns the value of a string literal, or "" for any other literal.
func literalText(literal *ast.BasicLit) string {
	text, err := strconv.Unquote(literal.Value)
	if literal.Kind != token.STRING || err != nil {
		return ""
	}
	return text
}

// addCommands records the program's commands and flags, as its help lists them.
func (c *docCheck) addCommands(t *testing.T) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "tamarindshore")
	if output, err := exec.Command("go", "build", "-o", program, "./cmd/tamarindshore").CombinedOutput(); err != nil {
		t.Fatalf("go build ./cmd/tamarindshore: %v: %s", err, output)
	}
	help := func(commandWords ...string) string {
		output, err := exec.Command(program, append(commandWords, "--help")...).Output()
		if err != nil {
			t.Errorf("tamarindshore %s --help: %v", strings.Join(commandWords, " "), err)
		}
		return string(output)
	}
	var mu sync.Mutex
	var helpCalls sync.WaitGroup
	for line := range strings.Lines(help()) {
		command := helpCommandPattern.FindStringSubmatch(line)
		if command == nil || strings.HasPrefix(line, "  -") {
			continue
		}
		helpCalls.Go(func() {
			flags := flagPattern.FindAllString(help(strings.Fields(command[1])...), -1)
			mu.Lock()
			defer mu.Unlock()
			c.commands[command[1]] = flags
		})
	}
	helpCalls.Wait()
}
