package former

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"marjorammoor/internal/store/follower"
)

// maxEpoch is the maximum epoch of an assignment. It leaves room for epochs that follow.
const maxEpoch = 1 << 60

// decodeAssignment returns the assignment of an object, or an error if it is not one that
// can be decided on: not even a part of it is used then.
func decodeAssignment(o follower.Object) (Assignment, error) {
	if o.Problem != nil {
		return Assignment{}, o.Problem
	}
	a := Assignment{}
	if err := json.Unmarshal(o.Spec, &a); err != nil {
		return Assignment{}, fmt.Errorf("decode assignment: %w", err)
	}
	if err := a.check(o.Name); err != nil {
		return Assignment{}, err
	}
	return a, nil
}

// check returns an error unless the assignment is the one of an object's name and has
// sane epochs and replicas.
func (a *Assignment) check(name string) error {
	switch {
	case assignmentName(a.Service, a.Domain) != name:
		return trace.BadParameter("service and domain: %q and %q are not the object's own", a.Service, a.Domain)
	case a.Epoch < 0 || a.Epoch > maxEpoch:
		return trace.BadParameter("epoch: %d is not in 0 to %d", a.Epoch, int64(maxEpoch))
	case a.Era < 0:
		return trace.BadParameter("era: %d is below 0", a.Era)
	}
	names := map[string]bool{}
	for i, r := range a.Replicas {
		if err := r.check(); err != nil {
			return fmt.Errorf("replicas.%d: %w", i, err)
		}
		if names[r.Name] {
			return trace.BadParameter("replicas.%d: name: %q is listed twice", i, r.Name)
		}
		names[r.Name] = true
	}
	return nil
}

func (r *Replica) check() error {
	switch {
	case r.Name == "":
		return trace.BadParameter("name: missing")
	case r.Epoch < 0 || r.Epoch > maxEpoch:
		return trace.BadParameter("epoch: %d is not in 0 to %d", r.Epoch, int64(maxEpoch))
	case r.State != Forming && r.State != Open && r.State != Closing:
		return trace.BadParameter("state: %q: expected forming, open or closing", r.State)
	case len(r.Members) == 0:
		return trace.BadParameter("members: none")
	}
	for i, m := range r.Members {
		if m.ID == "" {
			return trace.BadParameter("members.%d: id: missing", i)
		}
	}
	return nil
}
