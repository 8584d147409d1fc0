package platform

import (
	"fmt"
	"net/http"
	"regexp"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// replacement is what stands for a part of the responses.
type replacement struct {
	// part matches a mark that was stored as a value, or the object around it.
	part *regexp.Regexp
	by   []byte
}

// PutVerbatim stores an object whose value is written into responses byte for byte,
// also where encoding/json would not write or read it.
func (p *Platform) PutVerbatim(kind hbs.ObjectKind, name string, value []byte) error {
	return p.putMark(kind, name, `%s`, value)
}

// PutVerbatimObject stores an object of which responses have the bytes of object and
// nothing else, its name and revision included.
func (p *Platform) PutVerbatimObject(kind hbs.ObjectKind, name string, object []byte) error {
	return p.putMark(kind, name, `\{[^{}]*"metadata":\{[^{}]*\},"spec":%s[^{}]*\}`, object)
}

// putMark stores a mark as the value of an object, and bytes that replace what the
// pattern matches with the mark in it.
func (p *Platform) putMark(kind hbs.ObjectKind, name, pattern string, by []byte) error {
	p.init()
	p.mu.Lock()
	mark := fmt.Sprintf("verbatim %d.", len(p.verbatim))
	p.verbatim = append(p.verbatim, replacement{regexp.MustCompile(fmt.Sprintf(pattern, regexp.QuoteMeta(`"`+mark+`"`))), by})
	p.mu.Unlock()
	return p.Put(kind, name, mark)
}

// verbatimWriter applies the replacements to what a handler writes at once, which is
// a JSON document.
type verbatimWriter struct {
	http.ResponseWriter
	platform *Platform
}

// Write implements http.ResponseWriter.
func (w verbatimWriter) Write(b []byte) (int, error) {
	w.platform.mu.Lock()
	all := w.platform.verbatim
	w.platform.mu.Unlock()
	body := b
	for _, r := range all {
		body = r.part.ReplaceAllLiteral(body, r.by)
	}
	if _, err := w.ResponseWriter.Write(body); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Flush implements http.Flusher.
func (w verbatimWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }
