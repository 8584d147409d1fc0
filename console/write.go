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

// writeTimeout bounds the write of one item, including its retries.
const writeTimeout = 10 * time.Second

// applyReport is the outcome of each change. Each change is in exactly one list.
type applyReport struct {
	Written []change `json:"written"`
	// Conflicts are changes whose items another operator changed. They were not
	// written. Their Platform field is the other operator's version.
	Conflicts []change `json:"conflicts,omitempty"`
	// Uncertain are changes that may have been written: the platform's answer was
	// lost and retries got none within writeTimeout.
	Uncertain []change `json:"uncertain,omitempty"`
	// NotWritten are changes that were not written for another reason, such as an
	// earlier conflict.
	NotWritten []change `json:"left,omitempty"`
}

// applyChanges writes the changes, each conditionally on the item's revision, and
// records the outcome in r. If any item was changed after base, nothing is
// written. It stops at the first change that fails.
func (c *Command) applyChanges(r *applyReport, changes []change, base baseState) error {
	for _, ch := range changes {
		if base.conflicts(ch) {
			r.Conflicts = append(r.Conflicts, ch)
		} else {
			r.NotWritten = append(r.NotWritten, ch)
		}
	}
	if len(r.Conflicts) > 0 {
		return exitErrorf(ExitConflict, "%d items were changed since revision %d; get the configuration again and merge", len(r.Conflicts), base.revision)
	}
	for len(r.NotWritten) > 0 {
		ch := r.NotWritten[0]
		current, err := c.applyChange(ch)
		switch {
		case err == nil:
			r.Written = append(r.Written, ch)
		case errors.Is(err, hbs.ErrConflict):
			ch.Platform = current.Value
			r.Conflicts = append(r.Conflicts, ch)
			r.NotWritten = r.NotWritten[1:]
			return exitErrorf(ExitConflict, "%s was changed while applying; get the configuration again and merge", ch.Name)
		case errors.Is(err, hbs.ErrUncertain):
			r.Uncertain = append(r.Uncertain, ch)
			r.NotWritten = r.NotWritten[1:]
			return errors.Wrap(err, "apply the same file again to write the rest")
		default:
			return errors.Wrap(err, "apply the same file again to write the rest")
		}
		r.NotWritten = r.NotWritten[1:]
	}
	return nil
}

// applyChange writes one change and retries until its outcome is known or
// writeTimeout has passed. An item that another operator changed to the same value
// counts as written. With hbs.ErrConflict it also returns the conflicting item,
// empty if that was deleted or could not be read.
func (c *Command) applyChange(ch change) (hbs.Object, error) {
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	obj := hbs.Object{Kind: hbs.ObjectConfiguration, Name: ch.Name, Revision: ch.revision, Value: ch.File}
	if ch.Kind == changeDelete {
		return c.deleteObject(ctx, obj)
	}
	w := &object.Writer{Platform: c.platform, CallTimeout: platformTimeout}
	return w.Put(ctx, obj, func(stored json.RawMessage) bool { return sameJSON(stored, ch.File) })
}

// deleteObject deletes obj. Like object.Writer, it repeats the same conditional call
// until it succeeds, conflicts or ctx ends. An object that is already deleted counts
// as success.
func (c *Command) deleteObject(ctx context.Context, obj hbs.Object) (current hbs.Object, err error) {
	uncertain := false
	for {
		err = c.platform.Delete(ctx, obj.Kind, obj.Name, obj.Revision)
		switch {
		case err == nil, errors.Is(err, hbs.ErrNotFound):
			return hbs.Object{}, nil
		case errors.Is(err, hbs.ErrConflict):
			current, getErr := c.platform.Get(ctx, obj.Kind, obj.Name)
			if errors.Is(getErr, hbs.ErrNotFound) {
				return hbs.Object{}, nil
			}
			return current, err
		case errors.Is(err, hbs.ErrUncertain):
			uncertain = true
		}
		if delay.For(ctx, object.MaxBackoffFailFast) == nil {
			continue
		}
		if uncertain {
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
		fmt.Fprintln(w, "possibly written, the answer was lost:")
		writeNames(w, r.Uncertain)
	}
	if len(r.NotWritten) > 0 {
		fmt.Fprintf(w, "%d items not written:\n", len(r.NotWritten))
		writeNames(w, r.NotWritten)
	}
}

// writeNames prints the kind and the name of each change.
func writeNames(w io.Writer, changes []change) {
	for _, ch := range changes {
		fmt.Fprintf(w, "%s %s\n", ch.Kind, ch.Name)
	}
}
