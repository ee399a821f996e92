package former

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"marjorammoor/internal/store/follower"
)

// objectName returns the name of a domain's assignment object in the store.
func objectName(d *domain) string { return d.service.Name + "--" + d.name }

// readAssignment reads the domain's assignment. If there is none yet, it returns nil
// and leaves hasAssignment unset.
func (c *Controller) readAssignment(ctx context.Context, s *domainState, d *domain) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.Store.Get(callCtx, AssignmentKind, objectName(d))
	stored := Assignment{}
	switch {
	case errors.Is(err, follower.ErrNotFound):
		return nil
	case err != nil:
		return fmt.Errorf("get %s: %w", objectName(d), err)
	}
	if err := json.Unmarshal(o.Spec, &stored); err != nil {
		return fmt.Errorf("decode %s: %w", objectName(d), err)
	}
	s.revision = o.Revision
	s.assignment, s.hasAssignment, s.readAt = stored, true, c.clock()
	c.Log.Info("assignment read", "domain", d.name, "revision", s.revision, "epoch", stored.Epoch, "replicas", len(stored.Replicas))
	s.updateTimes(stored)
	return nil
}

// storeAssignment replaces the assignment if the store still has the revision that
// was read, and reports whether it did. After a failure, the assignment is read
// again before the next decision.
func (c *Controller) storeAssignment(ctx context.Context, s *domainState, d *domain, a Assignment) bool {
	revision, err := c.replaceAssignment(ctx, s.revision, d, a)
	if err != nil {
		c.Log.Warn("failed to store assignment; reading it again", "domain", d.name, "revision", s.revision, "error", err)
		c.reportStoreFailure(err)
		s.hasAssignment = false
		return false
	}
	s.revision = revision
	return true
}

func (c *Controller) replaceAssignment(ctx context.Context, revision int64, d *domain, a Assignment) (int64, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", objectName(d), err)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := c.Store.Replace(callCtx, follower.Object{Kind: AssignmentKind, Name: objectName(d), Revision: revision, Spec: b})
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", objectName(d), err)
	}
	return written, nil
}

// listAssignments returns all stored assignments by object name.
func (c *Controller) listAssignments(ctx context.Context) (map[string]Assignment, error) {
	objects, _, err := c.Store.List(ctx, AssignmentKind, false)
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

// createAssignment creates an assignment. A conflict is not an error: another node
// has created the assignment already.
func (c *Controller) createAssignment(ctx context.Context, d *domain, a Assignment) error {
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode %s: %w", objectName(d), err)
	}
	_, err = c.Store.Create(ctx, follower.Object{Kind: AssignmentKind, Name: objectName(d), Spec: b})
	if err != nil && !errors.Is(err, follower.ErrConflict) {
		return fmt.Errorf("create %s: %w", objectName(d), err)
	}
	return nil
}
