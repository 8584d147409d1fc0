package objects

import (
	"context"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Client gives one process access to the store. It implements
// hornbeamstage.Platform.
type Client struct {
	Store *Store
	// Plan returns the plan of each call; nil means calls without faults or delays. It
	// must be safe for concurrent use. To change it while calls are made, use Replan.
	Plan func(op Op, kind hbs.ObjectKind) Plan

	mu    sync.Mutex
	dead  bool
	calls map[Op]int
}

// Kill simulates the end of the client's process: later calls have no effect.
func (c *Client) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
}

// Dead reports whether the client was killed.
func (c *Client) Dead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// Calls returns the number of calls of op so far.
func (c *Client) Calls(op Op) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[op]
}

// Replan replaces Plan.
func (c *Client) Replan(plan func(op Op, kind hbs.ObjectKind) Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Plan = plan
}

func (c *Client) plan(op Op, kind hbs.ObjectKind) Plan {
	plan := c.count(op)
	if plan == nil {
		return Plan{}
	}
	return plan(op, kind)
}

// count counts a call of op and returns the current Plan function.
func (c *Client) count(op Op) func(op Op, kind hbs.ObjectKind) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[Op]int{}
	}
	c.calls[op]++
	return c.Plan
}

// do executes effect according to the plan of the call. An error of effect is
// returned to the caller like any other answer.
func (c *Client) do(ctx context.Context, op Op, kind hbs.ObjectKind, effect func() error) error {
	p := c.plan(op, kind)
	if p.KillBefore {
		c.Kill()
	}
	if c.Dead() || p.Fault == FaultRefused {
		return hbs.ErrNotApplied
	}
	err := c.execute(ctx, p, effect)
	if p.KillAfter {
		c.Kill()
		return hbs.ErrUncertain
	}
	time.Sleep(p.Pause)
	return err
}

// execute runs effect now, later or never, as p says.
func (c *Client) execute(ctx context.Context, p Plan, effect func() error) error {
	switch p.Fault {
	case FaultNever:
		return hbs.ErrUncertain
	case FaultLate:
		time.AfterFunc(p.Late, func() { _ = effect() })
		return hbs.ErrUncertain
	}
	if remaining := wait(ctx, p.Before); remaining > 0 {
		time.AfterFunc(remaining, func() { _ = effect() })
		return hbs.ErrUncertain
	}
	err := effect()
	if p.Fault == FaultLost || wait(ctx, p.After) > 0 || c.Dead() {
		return hbs.ErrUncertain
	}
	return err
}

// wait waits for d or the end of ctx. It returns the remaining part of d if ctx
// ended first, else 0.
func wait(ctx context.Context, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	end := time.Now().Add(d)
	if delay.For(ctx, d) != nil {
		return max(time.Until(end), 1)
	}
	return 0
}

// Get implements hornbeamstage.Platform.
func (c *Client) Get(ctx context.Context, kind hbs.ObjectKind, name string) (obj hbs.Object, err error) {
	// A delayed effect can run in another goroutine after Get has returned, so it must
	// not write to obj.
	var found hbs.Object
	var mu sync.Mutex
	err = c.do(ctx, OpGet, kind, func() error {
		c.Store.mu.Lock()
		defer c.Store.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		var ok bool
		if found, ok = c.Store.objects[kind][name]; !ok {
			return hbs.ErrNotFound
		}
		return nil
	})
	mu.Lock()
	defer mu.Unlock()
	return found, err
}

// List implements hornbeamstage.Platform.
func (c *Client) List(ctx context.Context, kind hbs.ObjectKind) ([]hbs.Object, hbs.Revision, error) {
	if err := c.do(ctx, OpList, kind, func() error { return nil }); err != nil {
		return nil, 0, err
	}
	c.Store.mu.Lock()
	rev := c.Store.revision
	c.Store.mu.Unlock()
	return c.Store.Objects(kind), rev, nil
}

// ListPage implements hornbeamstage.Platform.
func (c *Client) ListPage(ctx context.Context, kind hbs.ObjectKind, limit int, token string) (page hbs.Page, err error) {
	if err := c.do(ctx, OpList, kind, func() error { return nil }); err != nil {
		return hbs.Page{}, err
	}
	return c.Store.page(kind, limit, token)
}

// Create implements hornbeamstage.Platform.
func (c *Client) Create(ctx context.Context, obj hbs.Object) (hbs.Object, error) {
	return c.write(ctx, OpCreate, obj.Kind, obj.Name, 0, &obj)
}

// Update implements hornbeamstage.Platform.
func (c *Client) Update(ctx context.Context, obj hbs.Object) (hbs.Object, error) {
	return c.write(ctx, OpUpdate, obj.Kind, obj.Name, obj.Revision, &obj)
}

// Delete implements hornbeamstage.Platform.
func (c *Client) Delete(ctx context.Context, kind hbs.ObjectKind, name string, rev hbs.Revision) error {
	_, err := c.write(ctx, OpDelete, kind, name, rev, nil)
	return err
}

func (c *Client) write(ctx context.Context, op Op, kind hbs.ObjectKind, name string, rev hbs.Revision, next *hbs.Object) (hbs.Object, error) {
	var mu sync.Mutex
	var stored hbs.Object
	err := c.do(ctx, op, kind, func() error {
		mu.Lock()
		defer mu.Unlock()
		var err error
		stored, err = c.Store.write(kind, name, rev, next)
		return err
	})
	mu.Lock()
	defer mu.Unlock()
	return stored, err
}

// Watch implements hornbeamstage.Platform.
func (c *Client) Watch(ctx context.Context, kind hbs.ObjectKind, since hbs.Revision, events chan<- hbs.WatchEvent) error {
	if err := c.do(ctx, OpWatch, kind, func() error { return nil }); err != nil {
		return err
	}
	for {
		pending, changed := c.Store.since(kind, since)
		for _, e := range pending {
			select {
			case events <- e:
				since = e.Object.Revision
			case <-ctx.Done():
				return hbs.ErrUncertain
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return hbs.ErrUncertain
		}
	}
}
