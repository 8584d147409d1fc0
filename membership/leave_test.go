package membership_test

import (
	"encoding/json"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/standin/objects"
)

var _ = Describe("an instance that stops while its registration is slow", func() {
	// firstReadTime is the time that the first read of the registration takes.
	const firstReadTime = 20 * time.Second

	// register starts an instance whose registration is slow.
	register := func(h *harness) *objects.Store {
		store := &objects.Store{}
		var reads atomic.Int32
		h.directory.Platform = &objects.Client{Store: store, Plan: func(op objects.Op, _ hbs.ObjectKind) objects.Plan {
			if op == objects.OpGet && reads.Add(1) == 1 {
				return objects.Plan{Before: firstReadTime}
			}
			return objects.Plan{}
		}}
		h.run()
		time.Sleep(firstReadTime / 2)
		return store
	}

	It("stays recorded as leaving", func() {
		withHarness(func(h *harness) {
			store := register(h)
			h.Expect(h.directory.Leave(h.ctx)).To(Succeed())
			time.Sleep(2 * firstReadTime)
			for _, obj := range store.Objects(hbs.ObjectInstance) {
				var i hbs.Instance
				h.Expect(json.Unmarshal(obj.Value, &i)).To(Succeed())
				h.Expect(i.State).To(Equal(hbs.InstanceLeaving))
			}
		})
	})

	It("is not recorded again after its record was withdrawn", func() {
		withHarness(func(h *harness) {
			store := register(h)
			h.Expect(h.directory.Leave(h.ctx)).To(Succeed())
			h.Expect(h.directory.Withdraw(h.ctx)).To(Succeed())
			time.Sleep(2 * firstReadTime)
			h.Expect(store.Objects(hbs.ObjectInstance)).To(BeEmpty())
		})
	})
})
