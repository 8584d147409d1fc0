package config_test

import (
	"fmt"
	"testing"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// filled returns a set with n workspaces and as many exceptions.
func filled(b *testing.B, n int) *mirror.Set {
	c := &config.Config{}
	for i := range n {
		id := hbs.WorkspaceID(fmt.Sprintf("w-%d", i))
		c.Workspaces = append(c.Workspaces, config.Workspace{ID: id, Weight: 1, KeyHashes: []config.KeyHash{config.HashKey(string(id))}})
		c.Exceptions = append(c.Exceptions, config.Exception{Knob: "hedge.wait", Value: 1, Reason: "r", Workspace: id})
	}
	items, err := c.Items()
	if err != nil {
		b.Fatal(err)
	}
	set := &mirror.Set{}
	for i, obj := range items {
		obj.Revision = hbs.Revision(i + 1)
		set.Adopt([]mirror.Update{mirror.NewUpdate(obj)})
	}
	return set
}

// BenchmarkAdopt measures bringing one changed item into force.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := filled(b, n)
			s := newStore(set)
			value := []byte(`{"id":"w-0","key_hashes":[],"weight":2,"limits":{}}`)
			for i := 0; b.Loop(); i++ {
				set.Adopt([]mirror.Update{{Kind: hbs.ObjectConfiguration, Name: "workspace.w-0", Revision: hbs.Revision(1_000_000 + i), Value: value}})
				s.Rebuild()
			}
		})
	}
}

// BenchmarkNumber measures one look-up with as many exceptions for the knob.
func BenchmarkNumber(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newStore(filled(b, n))
			for b.Loop() {
				s.Number("hedge.wait", hbs.Scope{Workspace: "w-1"})
			}
		})
	}
}
