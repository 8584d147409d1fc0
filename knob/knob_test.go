package knob_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/knob"
)

func TestKnob(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "knob")
}

var _ = Describe("Fixed", func() {
	table := []hbs.Knob{{Key: "a.wait", Unit: hbs.UnitDuration, Default: 1.5, Max: 9}}

	It("returns the default and an overridden value", func() {
		p := knob.NewFixed(table)
		Expect(p.Duration("a.wait", hbs.Scope{})).To(Equal(1500 * time.Millisecond))
		Expect(p.With("a.wait", 2).Number("a.wait", hbs.Scope{})).To(Equal(2.0))
		Expect(p.Number("a.wait", hbs.Scope{})).To(Equal(1.5))
	})
})
