package gateway

import (
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/platform"
	"github.com/hornbeamstage/hornbeamstage/quarantine"
	"github.com/hornbeamstage/hornbeamstage/release"
)

// upsertHandler is an objectHandler for objects that are replaced but never
// deleted. Each object is applied independently of the others.
type upsertHandler struct {
	// put applies one object.
	put func(*hbs.Object)
	// confirm reports that everything up to asOf was applied.
	confirm func(asOf time.Time)
	// contact records the state of the watch; may be nil.
	contact *contact
}

func (h *upsertHandler) replace(objs []hbs.Object) {
	for i := range objs {
		h.put(&objs[i])
	}
}

func (h *upsertHandler) apply(evs []hbs.WatchEvent) {
	for i := range evs {
		if !evs[i].Deleted {
			h.put(&evs[i].Object)
		}
	}
}

func (h *upsertHandler) synced(asOf time.Time) {
	h.confirm(asOf)
	if h.contact != nil {
		h.contact.confirm()
	}
}

func (h *upsertHandler) reconnected() {
	if h.contact != nil {
		h.contact.regain()
	}
}

// configHandler returns the handler that updates the route table.
func (g *Gateway) configHandler() objectHandler {
	return &upsertHandler{put: g.applyConfig, confirm: g.routes.confirm}
}

// applyConfig adopts the route table in obj if it is newer. If it can't be
// decoded, the current table stays in use.
func (g *Gateway) applyConfig(obj *hbs.Object) {
	if obj.Name != platform.ConfigName {
		return
	}
	t, err := platform.DecodeRoutes(obj.Value)
	if err != nil {
		g.Log.Error("route table not adopted", zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
		return
	}
	if g.routes.adopt(t) {
		g.Log.Info("route table adopted", zap.Int64("version", int64(t.Version)), zap.Uint64("revision", uint64(obj.Revision)),
			zap.Int("routes", len(t.Routes)))
	}
}

// endpointHandler updates the directory of endpoints.
type endpointHandler struct {
	*Gateway
	// odd has the revisions of the records that were reported as odd, by name.
	odd map[string]hbs.Revision
}

func (h *endpointHandler) replace(objs []hbs.Object) {
	var all []hbs.Endpoint
	listed := make(map[string]bool, len(objs))
	for i := range objs {
		listed[objs[i].Name] = true
		e, ok := h.decode(&objs[i])
		if !ok {
			h.directory.Discard(hbs.EndpointID(objs[i].Name))
			continue
		}
		all = append(all, e)
	}
	maps.DeleteFunc(h.odd, func(name string, _ hbs.Revision) bool { return !listed[name] })
	for i := range all {
		if old, known := h.directory.Endpoint(all[i].ID); !known || old.Revision != all[i].Revision {
			h.logRecord(&all[i])
		}
	}
	h.directory.Batch(func() {
		h.directory.Replace(all)
		for i := range objs {
			h.applyStatus(&objs[i])
		}
	})
}

// applyStatus marks an engine as changing its weights if the status in its
// record, which an instance wrote, has a newer target version.
func (h *endpointHandler) applyStatus(obj *hbs.Object) {
	status, err := platform.DecodeEndpointStatus(obj.Status)
	if err != nil {
		h.reportOdd(obj, "endpoint status not decoded", err)
		return
	}
	e, ok := h.directory.Endpoint(hbs.EndpointID(obj.Name))
	if !ok || status.Target == 0 {
		return
	}
	if have, err := platform.ParseWeights(e.Weights); err == nil && have < status.Target {
		h.directory.AnnounceChange(e.ID, e.Weights)
	}
}

// apply publishes one roster for all changes: its cost grows with the endpoints.
func (h *endpointHandler) apply(evs []hbs.WatchEvent) {
	h.directory.Batch(func() {
		for i := range evs {
			h.applyChange(&evs[i])
		}
	})
}

func (h *endpointHandler) applyChange(ev *hbs.WatchEvent) {
	id := hbs.EndpointID(ev.Object.Name)
	if ev.Deleted {
		delete(h.odd, ev.Object.Name)
		h.directory.Remove(id)
		h.Log.Info("endpoint removed", zap.String("endpoint", string(id)), zap.Uint64("revision", uint64(ev.Object.Revision)))
		return
	}
	e, ok := h.decode(&ev.Object)
	if !ok {
		h.directory.Discard(id)
		return
	}
	h.directory.Put(e)
	h.applyStatus(&ev.Object)
	h.logRecord(&e)
}

// logRecord logs an endpoint's new record.
func (h *endpointHandler) logRecord(e *hbs.Endpoint) {
	h.Log.Info("endpoint recorded", zap.String("endpoint", string(e.ID)), zap.String("service", string(e.Service)),
		zap.String("state", string(e.State)), zap.String("weights", string(e.Weights)), zap.String("incarnation", string(e.Incarnation)),
		zap.Stringer("address", e.Address), zap.Uint64("revision", uint64(e.Revision)))
}

// decode returns the endpoint in a record, and whether it could be decoded.
func (h *endpointHandler) decode(obj *hbs.Object) (hbs.Endpoint, bool) {
	e, err := platform.DecodeEndpoint(obj.Name, obj.Value, h.PlatformSettings.Regions)
	if err != nil {
		h.reportOdd(obj, "record names no endpoint", err)
		return e, false
	}
	e.Revision = obj.Revision
	e.Capabilities.KVTransfer = e.Kind == hbs.KindEngine
	return e, true
}

// reportOdd counts and logs a record that is odd, once for each of its revisions
// however often it is listed.
func (h *endpointHandler) reportOdd(obj *hbs.Object, message string, err error) {
	if h.odd[obj.Name] == obj.Revision {
		return
	}
	h.odd[obj.Name] = obj.Revision
	metrics.GetOrRegisterCounter(meterOddRecords, h.Metrics).Inc(1)
	h.Log.Warn(message, zap.String("endpoint", obj.Name), zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
}

func (h *endpointHandler) synced(time.Time) { h.versions.EngineWatch.confirm() }

func (h *endpointHandler) reconnected() {
	h.directory.PlatformRecovered()
	h.versions.EngineWatch.regain()
}

// versionHandler returns the handler that updates the published weights
// versions.
func (g *Gateway) versionHandler() objectHandler {
	// asOf is when the versions were last known to be the newest; zero before
	// the first listing.
	var asOf moment
	return &upsertHandler{
		put:     func(obj *hbs.Object) { g.applyVersion(obj, asOf) },
		confirm: func(at time.Time) { asOf = moment{at, g.Suspended()} },
		contact: g.versions.VersionWatch,
	}
}

// applyVersion adds the weights version in obj, which was not yet published at
// notBefore.
func (g *Gateway) applyVersion(obj *hbs.Object, notBefore moment) {
	n, err := platform.DecodeDesiredWeights(obj.Value)
	if err != nil {
		g.Log.Error("weights version not decoded", zap.Uint64("revision", uint64(obj.Revision)), zap.Error(err))
		return
	}
	if g.versions.add(n, notBefore) {
		g.Log.Info("weights named", zap.String("model", string(n.Model)), zap.Int64("version", n.Version), zap.Uint64("revision", uint64(obj.Revision)),
			zap.Bool("found_at_start", notBefore == moment{}), zap.Duration("age_at_most", g.ageAtMost(notBefore)))
	}
}

// ageAtMost returns the time since notBefore, 0 if that is not known.
func (g *Gateway) ageAtMost(notBefore moment) time.Duration {
	if notBefore == (moment{}) {
		return 0
	}
	return g.versions.elapsed(notBefore)
}

// crashHandler passes the instances' reports of crashes on.
type crashHandler struct{ sharer *quarantine.Sharer }

func (h *crashHandler) replace(objs []hbs.Object) {
	for i := range objs {
		h.sharer.Tracker.Merge(&objs[i], false)
	}
}

func (h *crashHandler) apply(evs []hbs.WatchEvent) {
	for i := range evs {
		if evs[i].Deleted {
			h.sharer.Tracker.Removed(evs[i].Object.Name)
			continue
		}
		h.sharer.Tracker.Merge(&evs[i].Object, true)
	}
}

func (h *crashHandler) synced(time.Time) { h.sharer.Read() }

func (h *crashHandler) reconnected() {}

// releaseHandler passes the records of software versions on.
type releaseHandler struct{ keeper *release.Keeper }

func (h *releaseHandler) replace(objs []hbs.Object) { h.keeper.ReplaceRecords(objs) }

func (h *releaseHandler) apply(evs []hbs.WatchEvent) {
	for i := range evs {
		if evs[i].Deleted {
			h.keeper.RemoveRecord(&evs[i].Object)
			continue
		}
		h.keeper.PutRecord(&evs[i].Object)
	}
}

func (h *releaseHandler) synced(time.Time) {}

func (h *releaseHandler) reconnected() {}
