package platform_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/network"
	"github.com/hornbeamstage/hornbeamstage/standin/memnet"
	"github.com/hornbeamstage/hornbeamstage/standin/platform"
)

var suite *testing.T

func TestPlatform(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var addr = netip.MustParseAddrPort("127.0.0.1:8000")

// testEnv holds a platform and a client of it in one synctest bubble.
type testEnv struct {
	*WithT
	platform *platform.Platform
	client   *http.Client
}

func with(f func(b *testEnv)) {
	synctest.Test(suite, func(t *testing.T) {
		fabric := &memnet.Fabric{}
		p := &platform.Platform{Address: addr, Network: fabric.Network("a"), ListLag: time.Second}
		transport := network.NewTransport(fabric.Network("a"))
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { _ = p.Run(ctx) })
		synctest.Wait()
		f(&testEnv{NewWithT(t), p, &http.Client{Transport: transport}})
		transport.CloseIdleConnections()
		cancel()
		wg.Wait()
	})
}

// call returns the status and body of the response, or 0 if the call failed without
// one.
func (b *testEnv) call(method, path, body string) (status int, answer string) {
	req, err := http.NewRequest(method, "http://"+addr.String()+"/apis/v1/"+path, io.MultiReader(strings.NewReader(body)))
	b.Expect(err).NotTo(HaveOccurred())
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (b *testEnv) status(method, path, body string) int {
	status, _ := b.call(method, path, body)
	return status
}

// token returns the continue token in a page or in the refusal of an expired token.
func token(answer string) string {
	found := regexp.MustCompile(`"continue":"([^"]+)"`).FindStringSubmatch(answer)
	if found == nil {
		return ""
	}
	return found[1]
}

// names returns the concatenated object names in lists, in order.
func names(answers string) (all string) {
	for _, found := range regexp.MustCompile(`"name":"([^"]+)"`).FindAllStringSubmatch(answers, -1) {
		all += found[1]
	}
	return all
}

const lease = `{"metadata":{"name":"l","resource_version":"1"},"spec":{"holder":"i1"}}`

var _ = Describe("Platform", func() {
	It("creates, updates and deletes on condition of the revision", func() {
		with(func(b *testEnv) {
			b.Expect(b.status("GET", "leases/l", "")).To(Equal(http.StatusNotFound))
			b.Expect(b.status("POST", "leases", lease)).To(Equal(http.StatusCreated))
			b.Expect(b.status("POST", "leases", lease)).To(Equal(http.StatusConflict))
			b.Expect(b.status("PUT", "leases/l", lease)).To(Equal(http.StatusOK))
			b.Expect(b.status("PUT", "leases/l", lease)).To(Equal(http.StatusConflict))
			b.Expect(b.status("DELETE", "leases/l?resource_version=1", "")).To(Equal(http.StatusConflict))
			b.Expect(b.status("DELETE", "leases/l?resource_version=2", "")).To(Equal(http.StatusOK))
			b.Expect(b.platform.Calls()).To(HaveKeyWithValue(platform.CallKind{Verb: "update", Kind: hbs.ObjectLease}, 2))
		})
	})

	It("loses answers after the change took effect and applies no changes in an outage", func() {
		with(func(b *testEnv) {
			b.platform.LoseAnswers(1, time.Second)
			b.Expect(b.status("POST", "leases", lease)).To(BeZero())
			b.Expect(b.status("GET", "leases/l", "")).To(Equal(http.StatusOK))
			b.platform.Outage(2 * time.Second)
			b.Expect(b.status("PUT", "leases/l", lease)).To(BeZero())
			time.Sleep(3 * time.Second)
			_, answer := b.call("GET", "leases/l", "")
			b.Expect(answer).To(ContainSubstring(`"resource_version":"1"`))
		})
	})

	It("limits the rate of writes and delays answers under the Slow fault", func() {
		with(func(b *testEnv) {
			refused := 0
			var wg conc.WaitGroup
			statuses := make([]int, 500)
			for i := range statuses {
				wg.Go(func() { statuses[i] = b.status("PUT", "leases/none", lease) })
			}
			wg.Wait()
			for _, s := range statuses {
				if s == http.StatusTooManyRequests {
					refused++
				}
			}
			b.Expect(refused).To(BeNumerically("~", 100, 5))
			b.platform.Slow(time.Second, 2*time.Second)
			start := time.Now()
			b.status("GET", "leases/l", "")
			b.Expect(time.Since(start)).To(BeNumerically(">", time.Second))
		})
	})

	It("delays changes in lists of endpoints by ListLag", func() {
		with(func(b *testEnv) {
			b.Expect(b.platform.Put(hbs.ObjectEndpoint, "e1", "live")).To(Succeed())
			_, answer := b.call("GET", "endpoints", "")
			b.Expect(answer).NotTo(ContainSubstring("e1"))
			time.Sleep(1100 * time.Millisecond)
			b.Expect(b.platform.Put(hbs.ObjectEndpoint, "e1", "leaving")).To(Succeed())
			_, answer = b.call("GET", "endpoints", "")
			b.Expect(answer).To(ContainSubstring(`"spec":"live"`))
		})
	})

	It("serves all pages of a list from one revision until the token expires", func() {
		with(func(b *testEnv) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				b.Expect(b.platform.Put(hbs.ObjectClaim, name, "old")).To(Succeed())
			}
			b.Expect(b.status("GET", "claims?limit=none", "")).To(Equal(http.StatusBadRequest))
			b.Expect(b.status("GET", "claims?limit=2&continue=none", "")).To(Equal(http.StatusBadRequest))
			_, first := b.call("GET", "claims?limit=2", "")
			b.platform.Remove(hbs.ObjectClaim, "c")
			b.Expect(b.platform.Put(hbs.ObjectClaim, "d", "new")).To(Succeed())
			b.Expect(b.platform.Put(hbs.ObjectClaim, "dd", "new")).To(Succeed())
			_, second := b.call("GET", "claims?limit=2&continue="+token(first), "")
			b.Expect(names(first + second)).To(Equal("abcd"))
			b.Expect(second).NotTo(ContainSubstring("new"))
			_, third := b.call("GET", "claims?limit=2&continue="+token(second), "")
			b.Expect(names(third) + token(third)).To(Equal("e"))
			b.platform.Compact()
			status, gone := b.call("GET", "claims?limit=2&continue="+token(first), "")
			b.Expect(status).To(Equal(http.StatusGone))
			_, now := b.call("GET", "claims?limit=9&continue="+token(gone), "")
			b.Expect(names(now)).To(Equal("ddde"))
			b.Expect(b.platform.Calls()).To(HaveKeyWithValue(platform.CallKind{Verb: "list", Kind: hbs.ObjectClaim}, 7))
		})
	})

	It("streams changes in order with bookmarks and refuses a watch from a compacted revision", func() {
		with(func(b *testEnv) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr.String()+"/apis/v1/leases?watch=true&resource_version=0", nil)
			resp, err := b.client.Do(req)
			b.Expect(err).NotTo(HaveOccurred())
			lines := bufio.NewScanner(resp.Body)
			b.Expect(b.status("POST", "leases", lease)).To(Equal(http.StatusCreated))
			b.Expect(b.status("PUT", "leases/l", lease)).To(Equal(http.StatusOK))
			b.Expect(b.status("DELETE", "leases/l?resource_version=2", "")).To(Equal(http.StatusOK))
			for _, kind := range []string{"ADDED", "MODIFIED", "DELETED", "BOOKMARK"} {
				b.Expect(lines.Scan()).To(BeTrue())
				b.Expect(lines.Text()).To(ContainSubstring(kind))
			}
			resp.Body.Close()
			for range 1100 {
				b.Expect(b.platform.Put(hbs.ObjectClaim, "c", 1)).To(Succeed())
			}
			b.Expect(b.status("GET", "leases?watch=true&resource_version=1", "")).To(Equal(http.StatusGone))
		})
	})
})
