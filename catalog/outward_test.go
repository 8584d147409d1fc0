package catalog_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/hornbeamstage/hornbeamstage/catalog"
	"github.com/hornbeamstage/hornbeamstage/settings"
)

const outwardIntro = `# Outward names

The names that leave the process: other programs, stored data, settings or operators' tools depend on them letter for letter. A change to this page is a change of an interface. The page is made from the code by ` + "`go test ./catalog -update`" + `.

`

// tagKinds are the keys of the struct tags that hold names used outside the
// process: encodings, settings, command-line flags and environment variables.
var tagKinds = []string{"json", "cbor", "toml", "long", "env", "choice", "default"}

// literalPattern matches string literals that are paths, object keys or formats of
// these, fields of server-sent events, hyphenated names and query parameters.
var literalPattern = regexp.MustCompile(`^\S*/\S*$|^(id|event|data|retry):|^[A-Za-z0-9]+(-[A-Za-z0-9*]+)+$|^[a-z-]+=`)

// compoundName matches lower-case names of several words that are joined by
// underscores or dots.
var compoundName = regexp.MustCompile(`^[a-z0-9]+([_.][a-z0-9]+)+$`)

// outwardNames is a set of names, by kind and by the folder that they appear in.
type outwardNames map[string]map[string]map[string]bool

func (n outwardNames) add(kind, folder, name string) {
	if name == "" {
		return
	}
	if n[kind] == nil {
		n[kind] = map[string]map[string]bool{}
	}
	if n[kind][folder] == nil {
		n[kind][folder] = map[string]bool{}
	}
	n[kind][folder][name] = true
}

// writeOutward writes the Markdown page of all names that leave the process. It
// collects them from the tables of knobs, metrics and settings and from the syntax
// trees of all Go files except tests.
func writeOutward(w io.Writer) error {
	n := outwardNames{}
	for _, k := range catalog.Knobs() {
		n.add("Knobs", "all", string(k.Key))
	}
	for _, m := range catalog.Meters() {
		n.add("Metrics", "all", m.Name)
	}
	for _, s := range settings.Table {
		n.add("Settings of an instance", "all", s.Key)
	}
	err := filepath.WalkDir("..", func(file string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel("..", filepath.Dir(file))
		if err != nil {
			return err
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			if _, ok := node.(*ast.ImportSpec); ok {
				return false
			}
			n.visit(folder, node)
			return true
		})
		return nil
	})
	if err != nil {
		return err
	}
	var b strings.Builder
	b.WriteString(outwardIntro)
	for _, kind := range slices.Sorted(maps.Keys(n)) {
		fmt.Fprintf(&b, "## %s\n\n", kind)
		for _, folder := range slices.Sorted(maps.Keys(n[kind])) {
			fmt.Fprintf(&b, "%s:\n\n", folder)
			for _, name := range slices.Sorted(maps.Keys(n[kind][folder])) {
				fmt.Fprintf(&b, "    %s\n", name)
			}
			b.WriteString("\n")
		}
	}
	_, err = io.WriteString(w, b.String())
	return err
}

// visit adds the names that node declares or uses and that leave the process. It
// adds every string literal in certain positions, without regard to its use.
func (n outwardNames) visit(folder string, node ast.Node) {
	switch x := node.(type) {
	case *ast.Field:
		n.addTags(folder, x)
	case *ast.ValueSpec:
		for _, v := range x.Values {
			n.add("Values of constants and variables", folder, stringLiteral(v))
		}
	case *ast.CaseClause:
		for _, v := range x.List {
			n.add("Values compared with", folder, stringLiteral(v))
		}
	case *ast.BinaryExpr:
		if x.Op == token.EQL || x.Op == token.NEQ {
			n.add("Values compared with", folder, stringLiteral(x.X))
			n.add("Values compared with", folder, stringLiteral(x.Y))
		}
	case *ast.ReturnStmt:
		for _, v := range x.Results {
			n.add("Values returned", folder, stringLiteral(v))
		}
	case *ast.KeyValueExpr:
		n.addKeyValue(folder, x)
	case *ast.CallExpr:
		n.addCall(folder, x)
	case *ast.BasicLit:
		if s := stringLiteral(x); literalPattern.MatchString(s) {
			n.add("Paths, object keys, formats and names with hyphens", folder, s)
		}
	}
}

func (n outwardNames) addTags(folder string, field *ast.Field) {
	if field.Tag == nil {
		return
	}
	tag := stringLiteral(field.Tag)
	for _, kind := range tagKinds {
		if value, ok := reflect.StructTag(tag).Lookup(kind); ok {
			n.add("Struct tags: "+kind, folder, value)
		}
	}
}

// addKeyValue adds string keys of map literals, and from composite literals the
// values of fields named Key or ending in Name, such as those of gRPC service
// descriptors, and compound names.
func (n outwardNames) addKeyValue(folder string, x *ast.KeyValueExpr) {
	n.add("Keys of literal maps", folder, stringLiteral(x.Key))
	if key, ok := x.Key.(*ast.Ident); ok && (strings.HasSuffix(key.Name, "Name") || key.Name == "Key") {
		n.add("Names in tables", folder, stringLiteral(x.Value))
	}
	if s := stringLiteral(x.Value); compoundName.MatchString(s) {
		n.add("Names in tables", folder, s)
	}
}

// addCall adds the first argument of calls that build zap log fields, and of
// accessors of headers, query parameters and metrics.
func (n outwardNames) addCall(folder string, x *ast.CallExpr) {
	f, ok := x.Fun.(*ast.SelectorExpr)
	if !ok || len(x.Args) == 0 {
		return
	}
	if p, ok := f.X.(*ast.Ident); ok && p.Name == "zap" {
		n.add("Keys of log lines", folder, stringLiteral(x.Args[0]))
		return
	}
	switch f.Sel.Name {
	case "Get", "Set", "Add", "Del":
		n.add("Headers, query parameters and metrics", folder, stringLiteral(x.Args[0]))
	}
}

// stringLiteral returns the value of a single-line string literal, or "" for any
// other expression.
func stringLiteral(e ast.Expr) string {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	s, err := strconv.Unquote(literal.Value)
	if err != nil || strings.Contains(s, "\n") {
		return ""
	}
	return s
}
