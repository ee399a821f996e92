package former

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// objectName returns the name of a domain's assignment object in the store.
func objectName(d *domain) string { return assignmentName(d.service.Name, d.name) }

func assignmentName(service, domain string) string { return service + "--" + domain }

// readAssignment reads the domain's assignment. If there is none yet, or one that cannot be
// used, it returns nil and leaves hasAssignment unset: nothing is decided for the domain. An
// assignment that another version may understand is not replaced.
func (c *Controller) readAssignment(ctx context.Context, s *domainState, d *domain) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.Store.Get(callCtx, AssignmentKind, objectName(d))
	switch {
	case errors.Is(err, follower.ErrNotFound):
		return nil
	case err != nil:
		return fmt.Errorf("get %s: %w", objectName(d), err)
	}
	o.Kind, o.Name = AssignmentKind, objectName(d)
	stored, err := decodeAssignment(o)
	if err != nil {
		if c.rejections.Reject(c.Log, o, err) {
			c.Log.Error("nothing is decided for the domain until its assignment can be used", "domain", d.name)
		}
		return nil
	}
	c.rejections.Accept(c.Log, o)
	c.Log.Info("assignment read", "domain", d.name, "era", o.At.Era, "revision", o.At.Revision, "epoch", stored.Epoch,
		"claimed_era", stored.Era, "replicas", len(stored.Replicas), "remembered_epoch", s.assignment.Epoch)
	s.at = o.At
	s.assignment, s.hasAssignment, s.readAt = laterAssignment(stored, s.assignment, o.At.Era), true, c.clock()
	s.updateTimes(s.assignment)
	return nil
}

// laterAssignment returns the stored assignment, or the remembered one if the store may
// have lost that since.
func laterAssignment(stored, remembered Assignment, era int64) Assignment {
	if stored.Era == era || remembered.Epoch == 0 || remembered.Epoch < stored.Epoch {
		return stored
	}
	return remembered
}

// storeAssignment replaces the assignment if the store still has the one that was
// read, and reports whether it did. After a failure, the assignment is read
// again before the next decision.
func (c *Controller) storeAssignment(ctx context.Context, s *domainState, d *domain, a Assignment) bool {
	at, err := c.replaceAssignment(ctx, s.at, d, a)
	if err != nil {
		c.Log.Warn("failed to store assignment; reading it again", "domain", d.name, "era", s.at.Era, "revision", s.at.Revision, "error", err)
		c.reportStoreFailure(err)
		s.hasAssignment = false
		return false
	}
	s.at = at
	return true
}

func (c *Controller) replaceAssignment(ctx context.Context, read sequencer.Position, d *domain, a Assignment) (sequencer.Position, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return read, fmt.Errorf("encode %s: %w", objectName(d), err)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := c.Store.Replace(callCtx, follower.Object{Kind: AssignmentKind, Name: objectName(d), At: read, Spec: b})
	if err != nil {
		return read, fmt.Errorf("write %s: %w", objectName(d), err)
	}
	return written, nil
}

// listAssignments returns all stored assignments that can be used by object name, and the
// names of all.
func (c *Controller) listAssignments(ctx context.Context) (list map[string]Assignment, names map[string]bool, err error) {
	objects, _, err := c.Store.List(ctx, AssignmentKind, false)
	if err != nil {
		return nil, nil, fmt.Errorf("list assignments: %w", err)
	}
	list, names = map[string]Assignment{}, map[string]bool{}
	for _, o := range objects {
		names[o.Name] = true
		a, err := decodeAssignment(o)
		if err != nil {
			c.rejections.Reject(c.Log, o, err)
			continue
		}
		list[o.Name] = a
	}
	return list, names, nil
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
