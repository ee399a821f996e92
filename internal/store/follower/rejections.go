package follower

import (
	"fmt"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxRejected is the number of rejected objects that are remembered. Those beyond are
	// counted only.
	maxRejected = 1000
	// maxReasonBytes is how much of a reason is logged.
	maxReasonBytes = 200
)

// Rejections reports the objects that cannot be used: one line and one count for each
// object and reason, however often the object is read. The zero value is ready to use.
type Rejections struct {
	mu sync.Mutex
	// reasons are by the object's name, or by the reason if it has none.
	reasons map[string]string
}

// Reject reports that an object cannot be used, unless that is known, and returns whether
// it was new.
func (r *Rejections) Reject(log *slog.Logger, o Object, err error) (isNew bool) {
	reason := err.Error()
	reason = reason[:min(len(reason), maxReasonBytes)]
	key := o.Kind + "/" + o.Name
	if o.Name == "" {
		key += reason
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.reasons[key]
	if ok && known == reason {
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_objects_rejected_total{kind=%q}`, o.Kind)).Inc()
	if !ok && len(r.reasons) >= maxRejected {
		return false
	}
	if r.reasons == nil {
		r.reasons = map[string]string{}
	}
	r.reasons[key] = reason
	log.Warn("object of the store cannot be used", "kind", o.Kind, "name", o.Name, "revision", o.At.Revision, "reason", reason)
	return true
}

// Accept reports that an object can be used, if it could not before.
func (r *Rejections) Accept(log *slog.Logger, o Object) {
	if r.forget(o) {
		log.Info("object of the store can be used again", "kind", o.Kind, "name", o.Name, "revision", o.At.Revision)
	}
}

// Forget removes what is known of an object that was deleted.
func (r *Rejections) Forget(o Object) { r.forget(o) }

func (r *Rejections) forget(o Object) (wasKnown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := o.Kind + "/" + o.Name
	_, wasKnown = r.reasons[key]
	delete(r.reasons, key)
	return wasKnown
}
