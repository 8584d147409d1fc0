package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// hostKVStore is the host of the KV cache store.
const hostKVStore = 50

// startKVStore starts a KV cache store that reports one stored prompt part. It
// returns the number of polls so far.
func (f *fleet) startKVStore() (polls func() int64) {
	f.kvStore = address(hostKVStore, 80)
	l, err := f.fabric.Network(domain).Listen(f.kvStore)
	f.Expect(err).NotTo(HaveOccurred())
	var n atomic.Int64
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		_, _ = fmt.Fprint(w, `{"epoch":1,"next-token":2,"lost":false,"events":[[1,"+","w/1","a1",200,"m"]]}`)
	})}
	f.wg.Go(func() { _ = srv.Serve(l) })
	f.wg.Go(func() {
		<-f.ctx.Done()
		_ = srv.Close()
	})
	return n.Load
}

// loadSource returns the address from which an engine loads the prefix of a prompt.
func (f *fleet) loadSource(id string) string {
	c := streamCall(0)
	c.id = id
	f.Expect(f.send(c).status).To(Equal(http.StatusOK))
	for _, r := range allRuns(f.engines) {
		if r.Request == id {
			return r.Header.Get("X-Kv-Fetch")
		}
	}
	return ""
}

var _ = Describe("the KV cache store of a new route table", func() {
	It("is read, although no endpoint changes", func() {
		withFleet(func(f *fleet) {
			polls := f.startKVStore()
			f.publishRoutes(2, goodKey)
			time.Sleep(settleTime + 2*time.Second)
			f.Expect(polls()).To(BeNumerically(">", 0))
		})
	})

	It("is no longer believed to hold anything once a table has none", func() {
		withFleet(func(f *fleet) {
			f.startKVStore()
			f.publishRoutes(2, goodKey)
			time.Sleep(settleTime + 2*time.Second)
			f.Expect(f.loadSource("r1")).To(Equal(f.kvStore.String()))
			stored := strings.Clone(f.kvStore.String())
			f.kvStore = address(hostKVStore+1, 80)
			f.publishRoutes(3, goodKey)
			time.Sleep(settleTime)
			f.Expect(f.loadSource("r2")).NotTo(BeElementOf(stored, f.kvStore.String()))
		})
	})
})
