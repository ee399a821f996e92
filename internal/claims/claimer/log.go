package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
)

// head is the stored form of a shard's head object.
type head struct {
	// Archives are the names of the archives in use, the oldest first.
	Archives []string `json:"archives,omitempty"`
	Claims   []Claim  `json:"claims"`
}

// archive is the stored form of an archive object.
type archive struct {
	Claims []Claim `json:"claims"`
}

// headLog is the stored log of one shard. It is used by one goroutine.
type headLog struct {
	claimer *Claimer
	shard   int

	loaded  bool
	version int64
	head    head
	// read holds the names of the archives that were read or written here.
	read map[string]bool
}

func (l *headLog) headKey() parser.Key {
	return parser.Key{Kind: parser.KindClaims, Name: fmt.Sprintf("shard-%d", l.shard)}
}

func archiveKey(name string) parser.Key { return parser.Key{Kind: parser.KindClaims, Name: name} }

// append stores claims if nobody else has written since the log was last read.
// It returns the claims that it found or stored; the caller checks them for its
// keys and calls again for those without a holder.
func (l *headLog) append(ctx context.Context, claims []Claim) ([]Claim, error) {
	if !l.loaded {
		return l.load(ctx)
	}
	if len(l.head.Claims) >= headClaims {
		if err := l.archive(ctx); err != nil {
			return nil, err
		}
	}
	next := l.head
	next.Claims = append(append([]Claim{}, l.head.Claims...), claims...)
	err := l.replace(ctx, next)
	switch {
	case err == nil:
		return claims, nil
	case trace.IsCompareFailed(err):
		headConflicts.Inc()
		return l.load(ctx)
	default:
		l.loaded = false
		return nil, err
	}
}

// load reads the head and the archives that were not read yet.
func (l *headLog) load(ctx context.Context) ([]Claim, error) {
	o, err := l.claimer.Platform.Get(ctx, client.ClassClaims, l.headKey())
	if trace.IsNotFound(err) {
		l.head, l.version, l.loaded = head{}, client.MustNotExist, true
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load shard: %w", err)
	}
	h := head{}
	if err := json.Unmarshal(o.Body, &h); err != nil {
		return nil, trace.BadParameter("claims head: %v", err)
	}
	found := append([]Claim{}, h.Claims...)
	for _, name := range h.Archives {
		if l.read[name] {
			continue
		}
		list, err := l.readArchive(ctx, name)
		if err != nil {
			return nil, err
		}
		found = append(found, list...)
	}
	l.head, l.version, l.loaded = h, o.Version, true
	l.remember(h.Archives)
	return found, nil
}

// remember replaces the names of the archives that need not be read again.
func (l *headLog) remember(names []string) {
	l.read = make(map[string]bool, len(names))
	for _, name := range names {
		l.read[name] = true
	}
}

// readArchive reads one archive. One that is gone has expired since the head
// was read.
func (l *headLog) readArchive(ctx context.Context, name string) ([]Claim, error) {
	o, err := l.claimer.Platform.Get(ctx, client.ClassClaims, archiveKey(name))
	if trace.IsNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read archive: %w", err)
	}
	a := archive{}
	if err := json.Unmarshal(o.Body, &a); err != nil {
		return nil, trace.BadParameter("claims archive: %v", err)
	}
	return a.Claims, nil
}

// replace writes the head at the version that was read. A lost answer is
// resolved by reading back; a write that cannot be found yet is sent again, as
// it can take effect only once.
func (l *headLog) replace(ctx context.Context, h head) error {
	body, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	w := client.Write{
		Key: l.headKey(), IfVersion: l.version, ChangeID: uuid.NewString(),
		ChangedBy: "node " + l.claimer.Self, Body: body,
	}
	for {
		o, err := l.claimer.Platform.Put(ctx, client.ClassClaims, w)
		if err != nil && !client.IsUnknown(err) && !trace.IsCompareFailed(err) {
			return fmt.Errorf("write head: %w", err)
		}
		if err != nil {
			o, err = l.resolve(ctx, w, err)
		}
		switch {
		case err == nil && o != nil:
			headWrites.Inc()
			l.head, l.version = h, o.Version
			return nil
		case err != nil:
			return err
		}
	}
}

// resolve finds out whether a write took effect: the stored object if so, an
// error if another write took its place, and neither if nothing was written.
func (l *headLog) resolve(ctx context.Context, w client.Write, cause error) (*parser.Object, error) {
	headUnknown.Inc()
	o, err := l.claimer.Platform.Get(ctx, client.ClassClaims, w.Key)
	switch {
	case err == nil && o.ChangeID == w.ChangeID:
		return o, nil
	case err == nil && o.Version != w.IfVersion:
		return nil, trace.CompareFailed("head is at version %d", o.Version)
	case err == nil || trace.IsNotFound(err) && w.IfVersion == client.MustNotExist:
		return nil, nil
	default:
		return nil, fmt.Errorf("read head back after %v: %w", cause, err)
	}
}

// archive moves the head's claims to an archive object, and drops the oldest
// archive if it has expired. An archive has a name of its own and is never
// changed: a writer that loses the race for the head leaves behind an object that
// no head names.
func (l *headLog) archive(ctx context.Context) error {
	body, err := json.Marshal(archive{Claims: l.head.Claims})
	if err != nil {
		return fmt.Errorf("encode archive: %w", err)
	}
	name := fmt.Sprintf("shard-%d-archive-%s", l.shard, uuid.NewString())
	w := client.Write{
		Key: archiveKey(name), IfVersion: client.MustNotExist, ChangeID: uuid.NewString(),
		ChangedBy: "node " + l.claimer.Self, Body: body,
	}
	if _, err := l.claimer.Platform.Put(ctx, client.ClassClaims, w); err != nil {
		return l.reload(err)
	}
	next := head{Archives: slices.Concat(l.head.Archives, []string{name})}
	oldest := next.Archives[0]
	hasExpired := l.hasExpired(ctx, oldest)
	if hasExpired {
		next.Archives = next.Archives[1:]
	}
	if err := l.replace(ctx, next); err != nil {
		// The write may still have taken effect, so the archive stays.
		return l.reload(err)
	}
	l.remember(next.Archives)
	if hasExpired {
		l.remove(ctx, oldest)
	}
	return nil
}

// reload has the log read again before the next write.
func (l *headLog) reload(err error) error {
	l.loaded = false
	return fmt.Errorf("archive claims: %w", err)
}

// hasExpired reports whether all claims of an archive are past the retention.
func (l *headLog) hasExpired(ctx context.Context, name string) bool {
	list, err := l.readArchive(ctx, name)
	if err != nil {
		return false
	}
	limit := time.Now().Add(-l.claimer.retention()).Unix()
	return !slices.ContainsFunc(list, func(x Claim) bool { return x.At >= limit })
}

// remove deletes an archive that no head names any more. A failure leaves an
// object that is never read.
func (l *headLog) remove(ctx context.Context, name string) {
	o, err := l.claimer.Platform.Get(ctx, client.ClassClaims, archiveKey(name))
	if err != nil {
		return
	}
	w := client.Write{Key: o.Key(), IfVersion: o.Version, ChangeID: uuid.NewString(), ChangedBy: "node " + l.claimer.Self}
	_, _ = l.claimer.Platform.Delete(ctx, client.ClassClaims, w)
}
