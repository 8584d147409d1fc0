package console

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/mirror"
	"github.com/hornbeamstage/hornbeamstage/network"
)

const (
	// queryTimeout bounds one query to an instance.
	queryTimeout = 2 * time.Second
	// maxConcurrentQueries limits how many instances are queried at the same time.
	maxConcurrentQueries = 32
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 16 << 20
)

// instances returns the instances to query: those given by --instance, or else
// those that the platform lists.
func (c *Command) instances() ([]hbs.Instance, error) {
	if len(c.options.Instances) > 0 {
		return parseInstances(c.options.Instances)
	}
	return c.listInstances()
}

// parseInstances returns an instance for each distinct address, with the address
// as its ID because the real ID is unknown. Duplicates are dropped, so that no
// instance's burn is counted twice.
func parseInstances(addresses []string) (out []hbs.Instance, err error) {
	seen := map[netip.AddrPort]bool{}
	for _, text := range addresses {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "--instance: %v", err)
		}
		if !seen[addr] {
			out = append(out, hbs.Instance{ID: hbs.InstanceID(addr.String()), OperatorAddress: addr})
		}
		seen[addr] = true
	}
	return out, nil
}

// listInstances reads the instances from the platform. Records that can't be
// decoded are reported on Stderr and skipped.
func (c *Command) listInstances() ([]hbs.Instance, error) {
	if err := c.requirePlatform(); err != nil {
		return nil, err
	}
	objs, _, err := c.platform.List(c.ctx, hbs.ObjectInstance)
	if err := readError(err); err != nil {
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

// query requests path from every instance's operators' listener and passes each
// response body to handle, one at a time. It returns the IDs of the instances that
// failed, or for which handle returned an error, sorted, and their joined errors.
func (c *Command) query(instances []hbs.Instance, path string, handle func(hbs.Instance, []byte) error) (missing []hbs.InstanceID, cause error) {
	var mu sync.Mutex
	workers := pool.New().WithMaxGoroutines(maxConcurrentQueries)
	for _, i := range instances {
		workers.Go(func() {
			body, err := fetch(c.ctx, &c.credentials, c.Network, i, path)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = handle(i, body)
			}
			if err != nil {
				missing = append(missing, i.ID)
				cause = errors.Join(cause, err)
			}
		})
	}
	workers.Wait()
	slices.Sort(missing)
	return missing, cause
}

// fetch requests path from the operators' listener of i and returns the body.
func fetch(ctx context.Context, k *tlsCredentials, n hbs.Network, i hbs.Instance, path string) (body []byte, err error) {
	defer func() { err = errors.Wrapf(err, "query instance %q for %s", i.ID, path) }()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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
	return network.ReadBody(resp.Body, maxResponseBytes)
}

// partialError returns the error of a report that lacks the missing instances, or
// nil if it lacks none.
func partialError(missing []hbs.InstanceID, cause error) error {
	if len(missing) == 0 {
		return nil
	}
	return exitErrorf(ExitPartial, "no answer from %v:\n%v", missing, cause)
}
