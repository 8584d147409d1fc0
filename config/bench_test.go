package config_test

import (
	"fmt"
	"testing"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/config"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

// newFilledSet returns a set with n workspaces and one exception per workspace.
func newFilledSet(b *testing.B, n int) *mirror.Set {
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

// BenchmarkAdopt measures adopting one changed item and rebuilding the store.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := newFilledSet(b, n)
			s := newStore(set)
			value := []byte(`{"id":"w-0","key_hashes":[],"weight":2,"limits":{}}`)
			for i := 0; b.Loop(); i++ {
				set.Adopt([]mirror.Update{{Kind: hbs.ObjectConfiguration, Name: "workspace.w-0", Revision: hbs.Revision(1_000_000 + i), Value: value}})
				s.Rebuild()
			}
		})
	}
}

// BenchmarkNumber measures one lookup of a knob that has n exceptions.
func BenchmarkNumber(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newStore(newFilledSet(b, n))
			for b.Loop() {
				s.Number("hedge.wait", hbs.Scope{Workspace: "w-1"})
			}
		})
	}
}
