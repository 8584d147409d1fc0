package replay

import (
	"context"
	"fmt"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// rollout is a change of a model's configured weights.
type rollout struct {
	model   hbs.ModelName
	weights hbs.WeightsVersion
	at      time.Time
}

func (r *Replay) changeWeights(f Fault) {
	model := hbs.ModelName(f.Target)
	r.mu.Lock()
	r.rollouts = append(r.rollouts, rollout{model, f.Weights, time.Now()})
	r.mu.Unlock()
	r.fleet.apply(&config.Config{Models: []config.Model{r.fleet.modelConfig(model, f.Weights)}})
}

// changeConfig adds a workspace and probes every instance with its key.
func (r *Replay) changeConfig(ctx context.Context) {
	r.mu.Lock()
	p := &probe{
		workspace: hbs.WorkspaceID(fmt.Sprintf("probe-%d", len(r.probes)+1)),
		started:   time.Now(),
	}
	r.probes = append(r.probes, p)
	r.mu.Unlock()
	r.fleet.apply(&config.Config{Workspaces: []config.Workspace{workspaceConfig(p.workspace)}})
	p.run(ctx, r)
}

// departure is an endpoint that the platform listed as leaving.
type departure struct {
	id hbs.EndpointID
	at time.Time
}

// leaveEndpoints lists endpoints as leaving and, if the fault has a duration,
// removes them at its end.
func (r *Replay) leaveEndpoints(ctx context.Context, f Fault) error {
	affected := targets(f, r.fleet.endpointIDs(), func(id hbs.EndpointID) string { return string(id) })
	if len(affected) == 0 {
		return errNoTarget
	}
	for _, id := range affected {
		r.mu.Lock()
		r.departures = append(r.departures, departure{id, time.Now()})
		r.mu.Unlock()
		if err := r.fleet.platform.SetEndpointState(r.fleet.records[id], hbs.StateLeaving); err != nil {
			return err
		}
	}
	if f.ForSeconds == 0 {
		return nil
	}
	_ = delay.For(ctx, f.duration())
	for _, id := range affected {
		r.fleet.platform.Remove(hbs.ObjectEndpoint, string(id))
	}
	return nil
}

func (f *fleet) endpointIDs() (ids []hbs.EndpointID) {
	for _, e := range f.engines {
		ids = append(ids, e.ID)
	}
	for _, s := range f.services {
		ids = append(ids, s.ID)
	}
	return ids
}
