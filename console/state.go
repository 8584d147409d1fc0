package console

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
)

// Prefixes of the first two lines of a file written by get. From them apply knows
// on which state of the platform the operator's edits are based.
const (
	revisionHeader = "# revision: "
	itemsHeader    = "# items: "
)

// state is the configuration stored in the platform.
type state struct {
	items    []hbs.Object
	revision hbs.Revision
}

// readState reads the configuration from the platform.
func (c *Command) readState() (st state, err error) {
	if err := c.requirePlatform(); err != nil {
		return state{}, err
	}
	st.items, st.revision, err = c.platform.List(c.ctx, hbs.ObjectConfiguration)
	return st, readError(err)
}

// read reads one object. It returns hbs.ErrNotFound if there is none.
func (c *Command) read(kind hbs.ObjectKind, name string) (hbs.Object, error) {
	obj, err := c.platform.Get(c.ctx, kind, name)
	return obj, readError(err)
}

// readError gives a failed read ExitPlatform, except for hbs.ErrNotFound. Without
// it, a read whose answer was lost would exit with ExitUncertain, which is for
// writes.
func readError(err error) error {
	if err == nil || errors.Is(err, hbs.ErrNotFound) {
		return err
	}
	return &exitError{errors.Wrap(err, "read from the platform"), ExitPlatform}
}

// baseState identifies the state of the platform on which a file's edits are based.
type baseState struct {
	revision hbs.Revision
	// items is the set of the hashed names of its items.
	items map[string]bool
}

// header returns the header lines of a file made from st. parseHeader reads them.
func (st state) header() string {
	hashes := make([]string, 0, len(st.items))
	for _, obj := range st.items {
		hashes = append(hashes, nameHash(obj.Name))
	}
	slices.Sort(hashes)
	return fmt.Sprintf("%s%d\n%s%s\n", revisionHeader, st.revision, itemsHeader, strings.Join(hashes, " "))
}

// nameHash returns the hash of an item's name for a file's header.
func nameHash(name string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(name))) }

// parseHeader reads the header of a file and reports whether it has a revision.
// Files of older versions have no line of items; for them, deletions by other
// operators go undetected.
func parseHeader(data []byte) (b baseState, ok bool) {
	line, rest, _ := bytes.Cut(data, []byte("\n"))
	text, ok := strings.CutPrefix(string(line), revisionHeader)
	if !ok {
		return baseState{}, false
	}
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	b = baseState{hbs.Revision(n), map[string]bool{}}
	line, _, _ = bytes.Cut(rest, []byte("\n"))
	if text, ok := strings.CutPrefix(string(line), itemsHeader); ok {
		for _, hash := range strings.Fields(text) {
			b.items[hash] = true
		}
	}
	return b, err == nil
}

// conflicts reports whether another operator changed or deleted the item of ch
// after b.
func (b baseState) conflicts(ch change) bool {
	return ch.revision > b.revision || ch.Kind == changeAdd && b.items[nameHash(ch.Name)]
}

// changeKind is the kind of write that a change needs.
type changeKind string

const (
	changeAdd    changeKind = "add"
	changeUpdate changeKind = "update"
	changeDelete changeKind = "delete"
)

// change is the difference between a file and the platform in one item.
type change struct {
	Kind changeKind `json:"kind"`
	Name string     `json:"name"`
	// Platform and File are the two versions of the item; nil where it does not
	// exist.
	Platform json.RawMessage `json:"platform,omitempty"`
	File     json.RawMessage `json:"file,omitempty"`
	// revision is the item's revision in the platform; 0 if it does not exist.
	revision hbs.Revision
}

// compare returns the changes that turn the platform's items into those of cfg.
// Additions and updates come before deletions, so that an item that is still
// referred to is not deleted before its replacement is written.
func compare(st state, cfg *config.Config) ([]change, error) {
	items, err := cfg.Items()
	if err != nil {
		return nil, err
	}
	stored := make(map[string]hbs.Object, len(st.items))
	for _, obj := range st.items {
		stored[obj.Name] = obj
	}
	var changes []change
	inFile := map[string]bool{}
	for _, obj := range items {
		inFile[obj.Name] = true
		old, ok := stored[obj.Name]
		switch {
		case !ok:
			changes = append(changes, change{changeAdd, obj.Name, nil, obj.Value, 0})
		case !sameJSON(old.Value, obj.Value):
			changes = append(changes, change{changeUpdate, obj.Name, old.Value, obj.Value, old.Revision})
		}
	}
	for _, obj := range st.items {
		if !inFile[obj.Name] {
			changes = append(changes, change{changeDelete, obj.Name, obj.Value, nil, obj.Revision})
		}
	}
	return changes, nil
}

// sameJSON reports whether a and b are equal except for white space.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
