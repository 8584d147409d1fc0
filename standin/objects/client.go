package objects

import (
	"context"
	"sync"
	"time"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Client is one process's way to the store. It is a hornbeamstage.Platform.
type Client struct {
	Store *Store
	// Plan tells how a call goes; nil for calls without faults or delay. It may
	// be called from several goroutines. Replan changes it while calls are made.
	Plan func(op Op, kind hbs.ObjectKind) Plan

	mu    sync.Mutex
	dead  bool
	calls map[Op]int
}

// Kill ends the client's process: no later call has an effect.
func (c *Client) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
}

// Dead reports whether the client's process was ended.
func (c *Client) Dead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// Calls returns the number of calls sent of op.
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

// count counts a call of op and returns the plan in force.
func (c *Client) count(op Op) func(op Op, kind hbs.ObjectKind) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[Op]int{}
	}
	c.calls[op]++
	return c.Plan
}

// do runs effect as the plan of the call says. An error of effect is an answer.
func (c *Client) do(ctx context.Context, op Op, kind hbs.ObjectKind, effect func() error) error {
	p := c.plan(op, kind)
	if p.KillBefore {
		c.Kill()
	}
	if c.Dead() || p.Fault == FaultRefused {
		return hbs.ErrNotApplied
	}
	err := c.carry(ctx, p, effect)
	if p.KillAfter {
		c.Kill()
		return hbs.ErrUncertain
	}
	time.Sleep(p.Pause)
	return err
}

// carry runs effect now, later or never.
func (c *Client) carry(ctx context.Context, p Plan, effect func() error) error {
	switch p.Fault {
	case FaultNever:
		return hbs.ErrUncertain
	case FaultLate:
		time.AfterFunc(p.Late, func() { _ = effect() })
		return hbs.ErrUncertain
	}
	if left := wait(ctx, p.Before); left > 0 {
		time.AfterFunc(left, func() { _ = effect() })
		return hbs.ErrUncertain
	}
	err := effect()
	if p.Fault == FaultLost || wait(ctx, p.After) > 0 || c.Dead() {
		return hbs.ErrUncertain
	}
	return err
}

// wait returns what was left of d when ctx ended first.
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
	// A read that is answered late must not write to the result.
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
		news, changed := c.Store.since(kind, since)
		for _, e := range news {
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
