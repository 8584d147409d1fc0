package console

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
)

const (
	// askTimeout bounds one question to an instance.
	askTimeout = 2 * time.Second
	// maxAsked is how many instances are asked at the same time.
	maxAsked = 32
	// maxReply bounds an answer, in bytes.
	maxReply = 16 << 20
)

// instances returns the instances to ask: those named by address, else those
// that the platform lists.
func (c *Command) instances() ([]hbs.Instance, error) {
	if len(c.options.Instances) > 0 {
		return named(c.options.Instances)
	}
	return c.listed()
}

// named returns an instance for each address, which stands for its unknown ID.
// An address named twice is asked once, so that no burn is counted twice.
func named(addresses []string) (out []hbs.Instance, err error) {
	seen := map[netip.AddrPort]bool{}
	for _, text := range addresses {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, failed(ExitUsage, "--instance: %v", err)
		}
		if !seen[addr] {
			out = append(out, hbs.Instance{ID: hbs.InstanceID(addr.String()), OperatorAddress: addr})
		}
		seen[addr] = true
	}
	return out, nil
}

// listed reads the instances from the platform.
func (c *Command) listed() ([]hbs.Instance, error) {
	if err := c.needPlatform(); err != nil {
		return nil, err
	}
	objs, _, err := c.platform.List(c.ctx, hbs.ObjectInstance)
	if err != nil {
		return nil, err
	}
	var out []hbs.Instance
	for _, obj := range objs {
		i, err := mirror.DecodeInstance(obj.Name, obj.Value)
		if err != nil {
			fmt.Fprintln(c.Stderr, "left out:", err)
			continue
		}
		out = append(out, i)
	}
	return out, nil
}

// ask gets path from every instance's operators' listener and hands each
// answer to take. It returns the instances that gave none, sorted by ID, and why.
func (c *Command) ask(instances []hbs.Instance, path string, take func(hbs.Instance, []byte) error) (missing []hbs.InstanceID, why error) {
	var mu sync.Mutex
	asked := pool.New().WithMaxGoroutines(maxAsked)
	for _, i := range instances {
		asked.Go(func() {
			body, err := fetch(c.ctx, &c.keys, c.Network, i, path)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = take(i, body)
			}
			if err != nil {
				missing = append(missing, i.ID)
				why = errors.Join(why, err)
			}
		})
	}
	asked.Wait()
	slices.Sort(missing)
	return missing, why
}

func fetch(ctx context.Context, k *keys, n hbs.Network, i hbs.Instance, path string) (body []byte, err error) {
	defer func() { err = errors.Wrapf(err, "ask instance %q for %s", i.ID, path) }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	transport, scheme := k.transport(n, i)
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+i.OperatorAddress.String()+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("answered %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxReply))
}

// partial returns the error of a report that lacks instances.
func partial(missing []hbs.InstanceID, why error) error {
	if len(missing) == 0 {
		return nil
	}
	return failed(ExitPartial, "no answer from %v:\n%v", missing, why)
}
