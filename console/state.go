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

// The first two lines of a file written by get start with these. They tell apply
// which state the operator edited.
const (
	revisionHeader = "# revision: "
	itemsHeader    = "# items: "
)

// state is the configuration as the platform holds it.
type state struct {
	items    []hbs.Object
	revision hbs.Revision
}

func (c *Command) readState() (st state, err error) {
	if err := c.needPlatform(); err != nil {
		return state{}, err
	}
	st.items, st.revision, err = c.platform.List(c.ctx, hbs.ObjectConfiguration)
	return st, unread(err)
}

// read reads one object. A missing one is ErrNotFound.
func (c *Command) read(kind hbs.ObjectKind, name string) (hbs.Object, error) {
	obj, err := c.platform.Get(c.ctx, kind, name)
	return obj, unread(err)
}

// unread tells that a read failed. No write is in doubt then, whatever became of
// the answer.
func unread(err error) error {
	if err == nil || errors.Is(err, hbs.ErrNotFound) {
		return err
	}
	return &exitError{errors.Wrap(err, "read from the platform"), ExitPlatform}
}

// base is the state that an operator has edited.
type base struct {
	revision hbs.Revision
	// items are the hashes of the names of its items.
	items map[string]bool
}

// header returns the lines by which a file tells the state that it was made from.
func (st state) header() string {
	hashes := make([]string, 0, len(st.items))
	for _, obj := range st.items {
		hashes = append(hashes, nameHash(obj.Name))
	}
	slices.Sort(hashes)
	return fmt.Sprintf("%s%d\n%s%s\n", revisionHeader, st.revision, itemsHeader, strings.Join(hashes, " "))
}

// nameHash stands for an item's name in a file's header.
func nameHash(name string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(name))) }

// readBase reads a file's header. Without a line of items, as in files of older
// programs, deletions by others are not noticed.
func readBase(data []byte) (b base, ok bool) {
	line, rest, _ := bytes.Cut(data, []byte("\n"))
	text, ok := strings.CutPrefix(string(line), revisionHeader)
	if !ok {
		return base{}, false
	}
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	b = base{hbs.Revision(n), map[string]bool{}}
	line, _, _ = bytes.Cut(rest, []byte("\n"))
	if text, ok := strings.CutPrefix(string(line), itemsHeader); ok {
		for _, hash := range strings.Fields(text) {
			b.items[hash] = true
		}
	}
	return b, err == nil
}

// conflicts reports whether somebody changed the item of ch since b, or deleted it.
func (b base) conflicts(ch change) bool {
	return ch.revision > b.revision || ch.Kind == changeAdd && b.items[nameHash(ch.Name)]
}

// changeKind is what happens to an item.
type changeKind string

const (
	changeAdd    changeKind = "add"
	changeUpdate changeKind = "update"
	changeDelete changeKind = "delete"
)

// change is one item that a file has otherwise than the platform.
type change struct {
	Kind changeKind `json:"kind"`
	Name string     `json:"name"`
	// Platform and File are the two versions; nil when there is none.
	Platform json.RawMessage `json:"platform,omitempty"`
	File     json.RawMessage `json:"file,omitempty"`
	// revision is the platform's, of the item.
	revision hbs.Revision
}

// compare returns what makes the platform's items those of cfg: additions and
// updates first, so that nothing that is still referred to goes before its
// replacement is there.
func compare(st state, cfg *config.Config) ([]change, error) {
	items, err := cfg.Items()
	if err != nil {
		return nil, err
	}
	there := make(map[string]hbs.Object, len(st.items))
	for _, obj := range st.items {
		there[obj.Name] = obj
	}
	var changes []change
	wanted := map[string]bool{}
	for _, obj := range items {
		wanted[obj.Name] = true
		old, ok := there[obj.Name]
		switch {
		case !ok:
			changes = append(changes, change{changeAdd, obj.Name, nil, obj.Value, 0})
		case !sameJSON(old.Value, obj.Value):
			changes = append(changes, change{changeUpdate, obj.Name, old.Value, obj.Value, old.Revision})
		}
	}
	for _, obj := range st.items {
		if !wanted[obj.Name] {
			changes = append(changes, change{changeDelete, obj.Name, obj.Value, nil, obj.Revision})
		}
	}
	return changes, nil
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
