package config

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions tells the line of each item of a TOML document by its path.
type positions map[string]int

// locate indexes the document. It stops at the first syntax error.
func locate(doc []byte) positions {
	l := locator{doc: doc, lines: positions{}, counts: map[string]int{}}
	p := unstable.Parser{}
	p.Reset(doc)
	for p.NextExpression() {
		l.expression(p.Expression())
	}
	return l.lines
}

// line returns the line of path or of the nearest item around it, else 1.
func (ps positions) line(path string) int {
	for path != "" {
		if n, ok := ps[path]; ok {
			return n
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// written reports whether the document has the item.
func (ps positions) written(path string) bool {
	_, ok := ps[path]
	return ok
}

type locator struct {
	doc    []byte
	lines  positions
	table  string
	counts map[string]int
}

func (l *locator) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.header(n.Key())
	case unstable.ArrayTable:
		path := l.header(n.Key())
		l.table = indexed(path, l.counts[path])
		l.counts[path]++
		l.mark(l.table, n)
	case unstable.KeyValue:
		l.keyValue(l.table, n)
	}
}

// header returns the path of a table; parts that are lists stand for their
// last element.
func (l *locator) header(key unstable.Iterator) string {
	path := ""
	for key.Next() {
		if n := l.counts[path]; n > 0 {
			path = indexed(path, n-1)
		}
		path = join(path, string(key.Node().Data))
		l.markRaw(path, key.Node().Raw)
	}
	return path
}

func (l *locator) keyValue(table string, n *unstable.Node) {
	path := table
	key := n.Key()
	for key.Next() {
		path = join(path, string(key.Node().Data))
		l.markRaw(path, key.Node().Raw)
	}
	l.value(path, n.Value())
}

func (l *locator) value(path string, n *unstable.Node) {
	children := n.Children()
	switch n.Kind {
	case unstable.InlineTable:
		for children.Next() {
			l.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			l.value(indexed(path, i), children.Node())
		}
	}
}

func (l *locator) mark(path string, n *unstable.Node) {
	key := n.Key()
	if key.Next() {
		l.markRaw(path, key.Node().Raw)
	}
}

func (l *locator) markRaw(path string, raw unstable.Range) {
	if _, ok := l.lines[path]; !ok {
		l.lines[path] = 1 + bytes.Count(l.doc[:raw.Offset], []byte("\n"))
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
