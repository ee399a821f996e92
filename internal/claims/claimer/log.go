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
	// Archives holds the names of the archives in use, the oldest first.
	Archives []string `json:"archives,omitempty"`
	Claims   []Claim  `json:"claims"`
}

// archive is the stored form of an archive object.
type archive struct {
	Claims []Claim `json:"claims"`
}

// headLog reads and writes the stored claims of one shard: the head and its
// archives. It is used by one goroutine at a time.
type headLog struct {
	claimer *Claimer
	shard   int

	// loaded means that head and version are set; otherwise the next append reads
	// the head from the platform.
	loaded  bool
	version int64
	head    head
	// archivesRead holds the names of the archives in use whose claims this node has
	// already read or written.
	archivesRead map[string]bool
}

func (l *headLog) headKey() parser.Key {
	return parser.Key{Kind: parser.KindClaims, Name: fmt.Sprintf("shard-%d", l.shard)}
}

func archiveKey(name string) parser.Key { return parser.Key{Kind: parser.KindClaims, Name: name} }

// append stores claims if no other node has written the head since it was last read.
// It returns the claims that it stored or read. The caller looks up its keys in them
// and calls append again for the keys without a holder.
func (l *headLog) append(ctx context.Context, claims []Claim) ([]Claim, error) {
	if !l.loaded {
		return l.load(ctx)
	}
	if len(l.head.Claims) >= maxHeadClaims {
		if err := l.archive(ctx); err != nil {
			return nil, err
		}
	}
	next := l.head
	next.Claims = append(append([]Claim{}, l.head.Claims...), claims...)
	err := l.replaceHead(ctx, next)
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

// load reads the head and the archives that were not read yet, and returns their
// claims.
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
		if l.archivesRead[name] {
			continue
		}
		list, err := l.readArchive(ctx, name)
		if err != nil {
			return nil, err
		}
		found = append(found, list...)
	}
	l.head, l.version, l.loaded = h, o.Version, true
	l.setArchivesRead(h.Archives)
	return found, nil
}

// setArchivesRead sets the names of the archives that need not be read again.
func (l *headLog) setArchivesRead(names []string) {
	l.archivesRead = make(map[string]bool, len(names))
	for _, name := range names {
		l.archivesRead[name] = true
	}
}

// readArchive returns the claims of one archive. If the archive does not exist, it
// has expired since the head was read, and there are no claims.
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

// replaceHead writes the head on the condition that its version is the one that was
// read. If the platform's response is lost, it reads the head back. A write that has
// not taken effect yet is sent again, which is safe because the condition lets it
// take effect only once.
func (l *headLog) replaceHead(ctx context.Context, h head) error {
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

// resolve reads the head back to find out whether the write w took effect. It
// returns the stored object if it did, an error if another write replaced the head,
// and neither if nothing was written. cause is the error of the write.
func (l *headLog) resolve(ctx context.Context, w client.Write, cause error) (*parser.Object, error) {
	headAnswersLost.Inc()
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

// archive moves the head's claims to a new archive object, and removes the oldest
// archive if it has expired. Every archive has a unique name and is never changed,
// so a writer that loses the race for the head leaves only an object that no head
// names.
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
		return l.invalidate(err)
	}
	next := head{Archives: slices.Concat(l.head.Archives, []string{name})}
	oldest := next.Archives[0]
	hasExpired := l.hasExpired(ctx, oldest)
	if hasExpired {
		next.Archives = next.Archives[1:]
	}
	if err := l.replaceHead(ctx, next); err != nil {
		// The write may still have taken effect, so the archive stays.
		return l.invalidate(err)
	}
	l.setArchivesRead(next.Archives)
	if hasExpired {
		l.deleteArchive(ctx, oldest)
	}
	return nil
}

// invalidate makes the next append read the head again, and returns the wrapped
// error.
func (l *headLog) invalidate(err error) error {
	l.loaded = false
	return fmt.Errorf("archive claims: %w", err)
}

// hasExpired reports whether all claims of an archive are older than the retention.
// If the archive cannot be read, it counts as not expired.
func (l *headLog) hasExpired(ctx context.Context, name string) bool {
	list, err := l.readArchive(ctx, name)
	if err != nil {
		return false
	}
	limit := time.Now().Add(-l.claimer.retention()).Unix()
	return !slices.ContainsFunc(list, func(x Claim) bool { return x.At >= limit })
}

// deleteArchive deletes an archive that the head no longer names. Errors are
// ignored, because the object that remains is never read.
func (l *headLog) deleteArchive(ctx context.Context, name string) {
	o, err := l.claimer.Platform.Get(ctx, client.ClassClaims, archiveKey(name))
	if err != nil {
		return
	}
	w := client.Write{Key: o.Key(), IfVersion: o.Version, ChangeID: uuid.NewString(), ChangedBy: "node " + l.claimer.Self}
	_, _ = l.claimer.Platform.Delete(ctx, client.ClassClaims, w)
}
