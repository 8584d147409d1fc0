package membership

import (
	"slices"
	"strings"

	hbs "github.com/hornbeamstage/hornbeamstage"
)

// instances merges the list with the instances known by heartbeats (rule 6).
func (d *Directory) instances() []hbs.Instance {
	self := d.Self()
	byID := map[hbs.InstanceID]hbs.Instance{}
	list, _ := d.listedInstances.Read()
	for _, r := range list {
		if r.Value.Domain != self.Domain {
			byID[r.Value.ID] = r.Value
		}
	}
	if d.Alive != nil {
		for _, i := range d.Alive() {
			byID[i.ID] = i
		}
	}
	byID[self.ID] = self
	out := make([]hbs.Instance, 0, len(byID))
	for _, i := range byID {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b hbs.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
