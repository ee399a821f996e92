package former

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"marjorammoor/internal/store/follower"
)

// objectName is the name of a domain's assignment.
func objectName(d *domain) string { return d.service.Name + "--" + d.name }

func (c *Controller) load(ctx context.Context, w *worker, d *domain) error {
	call, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	o, err := c.Store.Get(call, Kind, objectName(d))
	fresh := Assignment{}
	switch {
	case errors.Is(err, follower.ErrNotFound):
		return nil
	case err != nil:
		return fmt.Errorf("get %s: %w", objectName(d), err)
	}
	if err := json.Unmarshal(o.Spec, &fresh); err != nil {
		return fmt.Errorf("decode %s: %w", objectName(d), err)
	}
	w.revision = o.Revision
	w.current, w.loaded, w.readAt = fresh, true, c.clock()
	c.Log.Info("assignment is read", "domain", d.name, "revision", w.revision, "epoch", fresh.Epoch, "replicas", len(fresh.Replicas))
	w.keepTimes(fresh)
	return nil
}

// store writes the assignment on the condition that nobody else has, and reports
// whether it is written. If not, it is read again before the next decision.
func (c *Controller) store(ctx context.Context, w *worker, d *domain, a Assignment) bool {
	revision, err := c.replace(ctx, w.revision, d, a)
	if err != nil {
		c.Log.Warn("cannot store the assignment", "domain", d.name, "revision", w.revision, "error", err)
		c.noteStoreFailed(err)
		w.loaded = false
		return false
	}
	w.revision = revision
	return true
}

func (c *Controller) replace(ctx context.Context, revision int64, d *domain, a Assignment) (int64, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", objectName(d), err)
	}
	call, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	written, err := c.Store.Replace(call, follower.Object{Kind: Kind, Name: objectName(d), Revision: revision, Spec: b})
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", objectName(d), err)
	}
	return written, nil
}

// list returns all stored assignments by the names of their objects.
func (c *Controller) list(ctx context.Context) (map[string]Assignment, error) {
	objects, _, err := c.Store.List(ctx, Kind, false)
	if err != nil {
		return nil, fmt.Errorf("list assignments: %w", err)
	}
	list := map[string]Assignment{}
	for _, o := range objects {
		a := Assignment{}
		if err := json.Unmarshal(o.Spec, &a); err != nil {
			return nil, fmt.Errorf("decode %s: %w", o.Name, err)
		}
		list[o.Name] = a
	}
	return list, nil
}

func (c *Controller) createOne(ctx context.Context, d *domain, a Assignment) error {
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode %s: %w", objectName(d), err)
	}
	_, err = c.Store.Create(ctx, follower.Object{Kind: Kind, Name: objectName(d), Spec: b})
	if err != nil && !errors.Is(err, follower.ErrConflict) {
		return fmt.Errorf("create %s: %w", objectName(d), err)
	}
	return nil
}
