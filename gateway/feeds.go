package gateway

import (
	"time"

	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
)

// lastingFeed is a feed of objects that are replaced by newer ones and never
// removed. It takes each alone.
type lastingFeed struct {
	// take takes an object.
	take func(*hbs.Object)
	// confirm tells that everything up to a time was taken.
	confirm func(asOf time.Time)
}

func (f *lastingFeed) replace(objs []hbs.Object) {
	for i := range objs {
		f.take(&objs[i])
	}
}

func (f *lastingFeed) change(ev hbs.WatchEvent) {
	if !ev.Deleted {
		f.take(&ev.Object)
	}
}

func (f *lastingFeed) current(asOf time.Time) { f.confirm(asOf) }

func (f *lastingFeed) returned() {}

// configFeed returns the feed that keeps the table of routes.
func (g *Gateway) configFeed() feed {
	return &lastingFeed{take: g.takeConfig, confirm: g.table.confirm}
}

// takeConfig adopts a newer table. One that can't be decoded leaves the old in
// force.
func (g *Gateway) takeConfig(obj *hbs.Object) {
	if obj.Name != platform.ConfigName {
		return
	}
	t, err := platform.DecodeRoutes(obj.Value)
	if err != nil {
		g.Log.Error("route table not adopted", zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
		return
	}
	if g.table.adopt(t) {
		g.Log.Info("route table adopted", zap.Int64("version", int64(t.Version)), zap.Uint64("revision", uint64(obj.Revision)),
			zap.Int("routes", len(t.Routes)))
	}
}

// serverFeed keeps the roster of endpoints.
type serverFeed struct{ *Gateway }

func (f *serverFeed) replace(objs []hbs.Object) {
	var all []hbs.Endpoint
	for i := range objs {
		if e, ok := f.decode(&objs[i]); ok {
			all = append(all, e)
		}
	}
	for i := range all {
		if old, known := f.directory.Endpoint(all[i].ID); !known || old.Revision != all[i].Revision {
			f.explain(&all[i])
		}
	}
	f.directory.Replace(all)
	for i := range objs {
		f.takeStatus(&objs[i])
	}
}

// takeStatus takes what an instance says of an engine.
func (f *serverFeed) takeStatus(obj *hbs.Object) {
	status, err := platform.DecodeServerStatus(obj.Status)
	if err != nil {
		f.Log.Warn("status not taken", zap.String("endpoint", obj.Name), zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
		return
	}
	e, ok := f.directory.Endpoint(hbs.EndpointID(obj.Name))
	if !ok || status.Target == 0 {
		return
	}
	if have, err := platform.ParseWeights(e.Weights); err == nil && have < status.Target {
		f.directory.Changing(e.ID, e.Weights)
	}
}

func (f *serverFeed) change(ev hbs.WatchEvent) {
	id := hbs.EndpointID(ev.Object.Name)
	if ev.Deleted {
		f.directory.Remove(id)
		f.Log.Info("endpoint removed", zap.String("endpoint", string(id)), zap.Uint64("revision", uint64(ev.Object.Revision)))
		return
	}
	e, ok := f.decode(&ev.Object)
	if !ok {
		f.directory.Remove(id)
		return
	}
	f.directory.Put(e)
	f.takeStatus(&ev.Object)
	f.explain(&e)
}

// explain logs a record that is taken.
func (f *serverFeed) explain(e *hbs.Endpoint) {
	f.Log.Info("endpoint recorded", zap.String("endpoint", string(e.ID)), zap.String("service", string(e.Service)),
		zap.String("state", string(e.State)), zap.String("weights", string(e.Weights)), zap.String("incarnation", string(e.Incarnation)),
		zap.Stringer("address", e.Address), zap.Uint64("revision", uint64(e.Revision)))
}

func (f *serverFeed) decode(obj *hbs.Object) (hbs.Endpoint, bool) {
	e, err := platform.DecodeServer(obj.Name, obj.Value, f.Boot.Regions)
	if err != nil {
		f.Log.Warn("record names no endpoint", zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
		return e, false
	}
	e.Revision = obj.Revision
	e.Capabilities.KVTransfer = e.Kind == hbs.KindEngine
	return e, true
}

func (f *serverFeed) current(time.Time) {}

func (f *serverFeed) returned() { f.directory.Returned() }

// versionFeed returns the feed that keeps the versions of weights that are named.
func (g *Gateway) versionFeed() feed {
	// asOf is when the versions were known to be the newest ones; zero before the
	// first listing.
	var asOf time.Time
	return &lastingFeed{
		take:    func(obj *hbs.Object) { g.takeVersion(obj, asOf) },
		confirm: func(at time.Time) { asOf = at },
	}
}

// takeVersion notes a version that was not named before after.
func (g *Gateway) takeVersion(obj *hbs.Object, after time.Time) {
	n, err := platform.DecodeNamedWeights(obj.Value)
	if err != nil {
		g.Log.Error("named weights not taken", zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
		return
	}
	if g.versions.name(n, after) {
		g.Log.Info("weights named", zap.String("model", string(n.Model)), zap.Int64("version", n.Version), zap.Uint64("revision", uint64(obj.Revision)))
	}
}
