package config

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of each item of a TOML document to its line.
type lineIndex map[string]int

// indexLines returns the line index of doc up to the first syntax error.
func indexLines(doc []byte) lineIndex {
	l := lineIndexer{doc: doc, lines: lineIndex{}, counts: map[string]int{}}
	p := unstable.Parser{}
	p.Reset(doc)
	for p.NextExpression() {
		l.expression(p.Expression())
	}
	return l.lines
}

// line returns the line of path or else of its closest indexed ancestor. It
// returns 1 if there is none.
func (m lineIndex) line(path string) int {
	for path != "" {
		if n, ok := m[path]; ok {
			return n
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// contains reports whether the document has an item with the path.
func (m lineIndex) contains(path string) bool {
	_, ok := m[path]
	return ok
}

// lineIndexer builds a lineIndex from the expressions of a document.
type lineIndexer struct {
	doc   []byte
	lines lineIndex
	// table is the path of the current table.
	table string
	// counts has the number of elements so far by path of an array of tables.
	counts map[string]int
}

func (l *lineIndexer) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.header(n.Key())
	case unstable.ArrayTable:
		path := l.header(n.Key())
		l.table = elementPath(path, l.counts[path])
		l.counts[path]++
		l.markFirstKey(l.table, n)
	case unstable.KeyValue:
		l.keyValue(l.table, n)
	}
}

// header returns the path of a table. A part that is an array of tables refers to
// its last element, as in TOML.
func (l *lineIndexer) header(key unstable.Iterator) string {
	path := ""
	for key.Next() {
		if n := l.counts[path]; n > 0 {
			path = elementPath(path, n-1)
		}
		path = join(path, string(key.Node().Data))
		l.markLine(path, key.Node().Raw)
	}
	return path
}

func (l *lineIndexer) keyValue(table string, n *unstable.Node) {
	path := table
	key := n.Key()
	for key.Next() {
		path = join(path, string(key.Node().Data))
		l.markLine(path, key.Node().Raw)
	}
	l.value(path, n.Value())
}

func (l *lineIndexer) value(path string, n *unstable.Node) {
	children := n.Children()
	switch n.Kind {
	case unstable.InlineTable:
		for children.Next() {
			l.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			l.value(elementPath(path, i), children.Node())
		}
	}
}

// markFirstKey records the line of the first key of n for path.
func (l *lineIndexer) markFirstKey(path string, n *unstable.Node) {
	key := n.Key()
	if key.Next() {
		l.markLine(path, key.Node().Raw)
	}
}

// markLine records the line of raw for path unless path already has one.
func (l *lineIndexer) markLine(path string, raw unstable.Range) {
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
