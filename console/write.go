package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
	"github.com/hornbeamstage/hornbeamstage/object"
)

// writeTime is the longest time to settle the write of one item.
const writeTime = 10 * time.Second

// applyReport tells what became of the changes: each is in one list.
type applyReport struct {
	Written []change `json:"written"`
	// Conflicts were changed by somebody else; nothing of them was written.
	// Their platform's version is the newer one.
	Conflicts []change `json:"conflicts,omitempty"`
	// Uncertain may have been written: the platform's answer was lost and does not
	// come.
	Uncertain []change `json:"uncertain,omitempty"`
	// Left were not written.
	Left []change `json:"left,omitempty"`
}

// write applies the changes whose items nobody touched since edited, each
// conditionally on the item's revision. When one is in conflict from the
// start, nothing is written.
func (c *Command) write(r *applyReport, changes []change, edited base) error {
	for _, ch := range changes {
		if edited.conflicts(ch) {
			r.Conflicts = append(r.Conflicts, ch)
		} else {
			r.Left = append(r.Left, ch)
		}
	}
	if len(r.Conflicts) > 0 {
		return failed(ExitConflict, "%d items were changed since revision %d; get the configuration again and merge", len(r.Conflicts), edited.revision)
	}
	for len(r.Left) > 0 {
		ch := r.Left[0]
		there, err := c.writeOne(ch)
		switch {
		case err == nil:
			r.Written = append(r.Written, ch)
		case errors.Is(err, hbs.ErrConflict):
			ch.Platform = there.Value
			r.Conflicts = append(r.Conflicts, ch)
			r.Left = r.Left[1:]
			return failed(ExitConflict, "%s was changed while applying; get the configuration again and merge", ch.Name)
		case errors.Is(err, hbs.ErrUncertain):
			r.Uncertain = append(r.Uncertain, ch)
			r.Left = r.Left[1:]
			return errors.Wrap(err, "apply the same file again to write the rest")
		default:
			return errors.Wrap(err, "apply the same file again to write the rest")
		}
		r.Left = r.Left[1:]
	}
	return nil
}

// writeOne writes one change until its effect is known. An item that somebody
// else has changed to the same is as good as written. With ErrConflict comes the
// item that is in the way, empty when it is gone.
func (c *Command) writeOne(ch change) (hbs.Object, error) {
	ctx, cancel := context.WithTimeout(c.ctx, writeTime)
	defer cancel()
	obj := hbs.Object{Kind: hbs.ObjectConfiguration, Name: ch.Name, Revision: ch.revision, Value: ch.File}
	if ch.Kind == changeDelete {
		return c.remove(ctx, obj)
	}
	w := &object.Writer{Platform: c.platform, CallTimeout: platformTimeout}
	return w.Put(ctx, obj, func(stored json.RawMessage) bool { return sameJSON(stored, ch.File) })
}

// remove deletes obj as object.Writer writes: the same conditional call again
// until one is answered.
func (c *Command) remove(ctx context.Context, obj hbs.Object) (there hbs.Object, err error) {
	doubt := false
	for {
		err = c.platform.Delete(ctx, obj.Kind, obj.Name, obj.Revision)
		switch {
		case err == nil, errors.Is(err, hbs.ErrNotFound):
			return hbs.Object{}, nil
		case errors.Is(err, hbs.ErrConflict):
			there, getErr := c.platform.Get(ctx, obj.Kind, obj.Name)
			if errors.Is(getErr, hbs.ErrNotFound) {
				return hbs.Object{}, nil
			}
			return there, err
		case errors.Is(err, hbs.ErrUncertain):
			doubt = true
		}
		if delay.For(ctx, object.MaxBackoffFailFast) == nil {
			continue
		}
		if doubt {
			return hbs.Object{}, hbs.ErrUncertain
		}
		return hbs.Object{}, hbs.ErrNotApplied
	}
}

func (r *applyReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "%d items written\n", len(r.Written))
	writeChanges(w, r.Written)
	if len(r.Conflicts) > 0 {
		fmt.Fprintln(w, "in conflict, not written (- platform, + file):")
		writeChanges(w, r.Conflicts)
	}
	if len(r.Uncertain) > 0 {
		fmt.Fprintln(w, "perhaps written, the answer was lost:")
		writeNames(w, r.Uncertain)
	}
	if len(r.Left) > 0 {
		fmt.Fprintf(w, "%d items not written:\n", len(r.Left))
		writeNames(w, r.Left)
	}
}

func writeNames(w io.Writer, changes []change) {
	for _, ch := range changes {
		fmt.Fprintf(w, "%s %s\n", ch.Kind, ch.Name)
	}
}
