package breaker

import (
	"bytes"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxKeptBytes bounds what a breaker keeps, and maxReportBytes a report.
	maxKeptBytes   = 24 << 20
	maxReportBytes = 40 << 10
)

// flooded is a breaker that gets more of everything than it keeps.
type flooded struct {
	*Breaker
	now time.Time
	log bytes.Buffer
}

func newFlooded() *flooded {
	f := &flooded{now: time.Unix(1e9, 0)}
	f.Breaker = &Breaker{
		HasEnded: func(Runner) bool { return false }, Now: func() time.Time { return f.now }, Log: slog.New(slog.NewTextHandler(&f.log, nil)),
	}
	return f
}

// longKeys returns keys that no other call returns, and another one.
func longKeys(number, count int, common Key) []Key {
	keys := make([]Key, 0, count+1)
	for i := range count {
		keys = append(keys, PartKey(fmt.Sprintf("%d/%d", number, i)))
	}
	return append(keys, common)
}

// crash records that a runner has ended under requests with keys.
func (f *flooded) crash(number int, keys []Key) {
	r := Runner{ID: fmt.Sprint("r", number), BootTime: int64(number + 1)}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.addLocalCrash(crash{r.life(), span{f.now, f.now}, false}, f.now)
	c.isConfirmed = true
	f.addEvidence(c.crash, (&unanswered{keys: keys}).deepKeys())
}

// TestBounds checks what is dropped when more is known of requests than is kept: what crashes have in
// common stays, and each drop is counted and logged.
func TestBounds(t *testing.T) {
	f := newFlooded()
	before, heap := countDropped(), heapBytes()
	bad := PartKey("bad")
	for i := range 40 {
		common := bad
		if i >= crashesToBlock {
			common = PartKey(fmt.Sprint("last", i))
		}
		f.crash(i, longKeys(i, 3000, common))
		f.now = f.now.Add(minSpread)
	}
	for i := range 2 * maxSoundKeys {
		f.sound.set(PartKey(fmt.Sprint("sound", i)), f.now)
	}
	small := unanswered{sentAt: f.now, endedAt: f.now, keys: []Key{PartKey("small")}}
	f.mu.Lock()
	f.keepUnanswered(Runner{ID: "small", BootTime: 1}, small, f.now)
	for i := range 100 {
		f.keepUnanswered(Runner{ID: fmt.Sprint("u", i%7), BootTime: 1}, unanswered{sentAt: f.now, endedAt: f.now, keys: longKeys(i, 3000, bad)}, f.now)
	}
	f.mu.Unlock()
	for k := range Key(maxRequestParts) {
		f.announce(k, f.now)
		f.sound.set(k, f.now)
	}
	report := f.Report()
	report.Unanswered = f.ReportUnanswered()
	if f.evidence.size > maxEvidenceKeys || f.unansweredKeys > maxUnansweredKeys {
		t.Errorf("%d keys of crashes and %d of unanswered requests are kept", f.evidence.size, f.unansweredKeys)
	}
	kept := heapBytes() - heap
	if kept > maxKeptBytes {
		t.Errorf("%d bytes are kept, more than %d", kept, maxKeptBytes)
	}
	b, err := cbor.Marshal(report)
	t.Logf("%d bytes are kept, a report of a node that stops has %d", kept, len(b))
	if err != nil || len(b) > maxReportBytes {
		t.Errorf("a report has %d bytes, more than %d, error %v", len(b), maxReportBytes, err)
	}
	if under := f.evidence.under(bad); len(under) < crashesToBlock {
		t.Errorf("%d crashes under the bad part are kept", len(under))
	}
	if u := f.unanswered[life{"small", 1}]; u == nil || !slices.Equal(u.requests[0].keys, small.keys) {
		t.Error("a small request made room for large ones")
	}
	f.now = f.now.Add(verdictDelay)
	f.Judge()
	if f.blocks[bad] == nil {
		t.Error("the bad part is not blocked")
	}
	after := countDropped()
	if after.evidence == before.evidence || after.proofs == before.proofs || after.unanswered == before.unanswered || after.untold == before.untold {
		t.Errorf("drops are not counted: %+v, before %+v", after, before)
	}
	if !strings.Contains(f.log.String(), "has reached its bounds") {
		t.Error("drops are not logged")
	}
	runtime.KeepAlive(f)
}

// heapBytes returns the size of what is in use on the heap.
func heapBytes() int {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// TestManyKeysAreToldInTurns checks that each key of a crash under a long prompt reaches a node that
// gets every third heartbeat soon, and the one that has never proved sound at once.
func TestManyKeysAreToldInTurns(t *testing.T) {
	f, other := newFlooded(), newFlooded()
	bad := PartKey("bad")
	keys := longKeys(0, 3000, bad)
	f.setSound(keys[:3000], f.now)
	f.now = f.now.Add(time.Second)
	other.now = f.now
	f.crash(0, keys)
	reports := 0
	for crashedAt := f.now; other.evidence.size < len(keys) && f.now.Sub(crashedAt) < reportTime; f.now = f.now.Add(3 * turnInterval) {
		other.now = f.now
		r := f.Report()
		other.Receive(&r)
		if reports == 0 && !other.evidence.isSuspect(bad) {
			t.Error("the first report has not the key that has never proved sound")
		}
		reports++
	}
	if other.evidence.size < len(keys) || reports > 20 {
		t.Errorf("%d of %d keys were told with %d reports", other.evidence.size, len(keys), reports)
	}
}

// TestKeysOfOlderNodesAreKnown checks that what older nodes report of parts and requests counts.
func TestKeysOfOlderNodesAreKnown(t *testing.T) {
	f := newFlooded()
	f.Receive(&Report{
		Crashes: []ReportedCrash{{Runner: "r", BootTime: 7, Keys: map[string]int{"aa": 0, "request:00000000000000ab": 1}}},
		Blocks:  map[string]ReportedBlock{"bb": {LengthMS: 1000}},
	})
	for _, k := range []Key{PartKey("aa"), requestKey("00000000000000ab")} {
		if !f.evidence.isSuspect(k) {
			t.Errorf("%s is not suspected", k)
		}
	}
	if f.blocks[PartKey("bb")] == nil {
		t.Error("the part is not blocked")
	}
	f.now = f.now.Add(time.Millisecond)
	f.Receive(&Report{SoundMS: map[string]int64{"aa": 0}})
	if f.evidence.isSuspect(PartKey("aa")) {
		t.Error("the part is suspected, although it has proved sound since")
	}
}
