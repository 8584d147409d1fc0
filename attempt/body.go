package attempt

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// prefixTag identifies one prefix level of the prompt. The engine uses the tag in
// its cache events.
type prefixTag struct {
	Tag    string `json:"tag"`
	Tokens int    `json:"tokens"`
}

// routerFields are the body fields that the router sets. A caller's field with
// the same name, in any letter case, is removed: with it a caller could reach
// cache entries of another workspace.
type routerFields struct {
	CacheSalt     string          `json:"cache_salt"`
	PrefixTags    []prefixTag     `json:"prefix_tags,omitempty"`
	LoadKept      bool            `json:"load_kept,omitempty"`
	KeepTokens    int             `json:"keep_tokens,omitempty"`
	Priority      *int            `json:"priority,omitempty"`
	StreamOptions json.RawMessage `json:"stream_options,omitempty"`
}

// isRouterField reports whether the router replaces or removes the field name.
// stream_options is not included; see streamOptions.
func isRouterField(name string) bool {
	for _, field := range []string{"cache_salt", "prefix_tags", "load_kept", "keep_tokens", "priority"} {
		if strings.EqualFold(name, field) {
			return true
		}
	}
	return false
}

// member is one member of a JSON object: its name, and the offsets of its first
// byte, its value and its end.
type member struct {
	name              string
	start, value, end int
}

// members returns the top-level members of body, which is valid JSON because the
// caller's request was decoded from it. Values are skipped, not decoded, since a
// prompt may be long.
func members(body []byte) (ms []member, err error) {
	i := skipSpace(body, 0)
	if i >= len(body) || body[i] != '{' {
		return nil, errors.New("body is not an object")
	}
	for {
		i = skipSpace(body, i+1)
		if i < len(body) && body[i] == '}' {
			return ms, nil
		}
		m, err := memberAt(body, i)
		if err != nil {
			return nil, err
		}
		ms = append(ms, m)
		i = m.end
		if body[i] == '}' {
			return ms, nil
		}
	}
}

func memberAt(body []byte, start int) (m member, err error) {
	m.start = start
	if start >= len(body) || body[start] != '"' {
		return m, errors.Newf("no member name at byte %d", start)
	}
	nameEnd := stringEnd(body, start)
	if err := json.Unmarshal(body[start:nameEnd], &m.name); err != nil {
		return m, err
	}
	colon := skipSpace(body, nameEnd)
	if colon >= len(body) || body[colon] != ':' {
		return m, errors.Newf("no colon at byte %d", colon)
	}
	m.value = skipSpace(body, colon+1)
	m.end = valueEnd(body, m.value)
	if m.end >= len(body) {
		return m, errors.New("object has no end")
	}
	return m, nil
}

func skipSpace(body []byte, i int) int {
	for i < len(body) && (body[i] == ' ' || body[i] == '\n' || body[i] == '\t' || body[i] == '\r') {
		i++
	}
	return i
}

// valueEnd returns the offset of the comma or bracket after the value at i.
func valueEnd(body []byte, i int) int {
	depth := 0
	for i < len(body) {
		switch body[i] {
		case '"':
			i = stringEnd(body, i)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			depth--
		case ',':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return i
}

// stringEnd returns the offset after the string that opens at i.
func stringEnd(body []byte, i int) int {
	for i++; ; {
		n := bytes.IndexByte(body[i:], '"')
		if n < 0 {
			return len(body)
		}
		i += n + 1
		if !escaped(body[:i-1]) {
			return i
		}
	}
}

// escaped reports whether the byte after b is escaped, that is, whether b ends
// in an odd number of backslashes.
func escaped(b []byte) bool {
	n := 0
	for n < len(b) && b[len(b)-1-n] == '\\' {
		n++
	}
	return n%2 == 1
}

// engineBody returns body with the router's fields in place of the caller's
// fields of the same names. All other members are copied byte for byte. usage
// reports whether the caller asked for the usage chunk.
func engineBody(body []byte, fields routerFields, stream bool) (out []byte, usage bool, err error) {
	defer func() { err = errors.Wrap(err, "engine body") }()
	ms, err := members(body)
	if err != nil {
		return nil, false, err
	}
	if stream {
		fields.StreamOptions, usage, err = streamOptions(body, ms)
	}
	if err != nil {
		return nil, false, err
	}
	head, err := json.Marshal(fields)
	if err != nil {
		return nil, false, err
	}
	out = make([]byte, 0, len(body)+len(head)+1)
	out = append(out, head[:len(head)-1]...)
	for _, m := range ms {
		if isRouterField(m.name) || stream && strings.EqualFold(m.name, "stream_options") {
			continue
		}
		out = append(out, ',')
		out = append(out, body[m.start:m.end]...)
	}
	return append(out, '}'), usage, nil
}

// streamOptions returns the caller's stream options with include_usage set.
func streamOptions(body []byte, ms []member) (out json.RawMessage, usage bool, err error) {
	options := map[string]json.RawMessage{}
	for _, m := range ms {
		if !strings.EqualFold(m.name, "stream_options") {
			continue
		}
		if err := json.Unmarshal(body[m.value:m.end], &options); err != nil {
			return nil, false, errors.Wrap(err, "stream_options")
		}
	}
	if options == nil {
		// The caller sent null.
		options = map[string]json.RawMessage{}
	}
	usage = string(options["include_usage"]) == "true"
	options["include_usage"] = json.RawMessage("true")
	out, err = json.Marshal(options)
	return out, usage, err
}

// prefixTags returns the tags of the prompt's prefix levels. It returns none if
// the level keys were computed for weights other than the endpoint's.
func prefixTags(req *hbs.Request, weights hbs.WeightsVersion) []prefixTag {
	if req.Weights != weights {
		return nil
	}
	tags := make([]prefixTag, len(req.Levels))
	for i, l := range req.Levels {
		tags[i] = prefixTag{Tag: fmt.Sprintf("%016x", uint64(l.Key)), Tokens: l.Tokens}
	}
	return tags
}
