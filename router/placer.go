package router

import (
	"context"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/membership"
)

// reportingPlacer also reports the result of each attempt to the membership
// directory.
type reportingPlacer struct {
	hbs.Placer
	directory *membership.Directory
}

// Finish implements hornbeamstage.Placer.
func (w *reportingPlacer) Finish(p *hbs.Placement, r hbs.AttemptResult) {
	w.directory.Report(p.Endpoint.ID, r)
	w.Placer.Finish(p, r)
}

// noPlatform is the Platform of an instance without one. Every call returns
// ErrNotApplied, which guarantees that it had no effect.
type noPlatform struct{}

var _ hbs.Platform = noPlatform{}

func (noPlatform) Get(context.Context, hbs.ObjectKind, string) (hbs.Object, error) {
	return hbs.Object{}, hbs.ErrNotApplied
}

func (noPlatform) List(context.Context, hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	return nil, 0, hbs.ErrNotApplied
}

func (noPlatform) ListPage(context.Context, hbs.ObjectKind, int, string) (hbs.Page, error) {
	return hbs.Page{}, hbs.ErrNotApplied
}

func (noPlatform) Create(context.Context, hbs.Object) (hbs.Object, error) {
	return hbs.Object{}, hbs.ErrNotApplied
}

func (noPlatform) Update(context.Context, hbs.Object) (hbs.Object, error) {
	return hbs.Object{}, hbs.ErrNotApplied
}

func (noPlatform) Delete(context.Context, hbs.ObjectKind, string, hbs.Revision) error {
	return hbs.ErrNotApplied
}

func (noPlatform) Watch(context.Context, hbs.ObjectKind, hbs.Revision, chan<- hbs.WatchEvent) error {
	return hbs.ErrNotApplied
}
