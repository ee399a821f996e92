package breaker

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	tick          = 10 * time.Millisecond
	eventInterval = 50 * time.Millisecond
	eventsInAll   = 20
	restartTime   = 2500 * time.Millisecond
	knownCrashes  = 5
	// stabilityWindow is the time in which the nodes have to stop such requests.
	stabilityWindow = 3 * time.Second
)

// source sends requests with the same shared parts.
type source struct {
	Parts []string `json:"parts"`
	// Request is the fingerprint of all its requests; if empty, each has its own.
	Request   string  `json:"request"`
	PerSecond float64 `json:"per_second"`
	FromMS    int     `json:"from_ms"`
	// Varied is the number of values of the last shared part, or of the request if there is
	// none; 0 leaves it as it is.
	Varied int `json:"varied"`
	// Long is the number of other shared parts, the same ones in all requests, of which so many
	// as At come before Parts.
	Long int `json:"long"`
	At   int `json:"at"`
	// LeaveMS is how long callers wait; 0 means until the end. Runners go on with what they
	// have begun.
	LeaveMS int `json:"leave_ms"`
}

// incident is a time at which runners fail whatever they are given.
type incident struct {
	AtMS int `json:"at_ms"`
	// Share is the share of the runners that fail. They crash together, or only reset
	// their connections.
	Share      float64 `json:"share"`
	OnlyResets bool    `json:"only_resets"`
}

type scenario struct {
	Name     string  `json:"name"`
	Nodes    int     `json:"nodes"`
	Runners  int     `json:"runners"`
	ReportMS int     `json:"report_ms"`
	Loss     float64 `json:"loss"`
	RunMS    int     `json:"run_ms"`
	// RestartMS is how long a crashed runner is away; 0 means restartTime.
	RestartMS int        `json:"restart_ms"`
	Sources   []source   `json:"sources"`
	Failures  []incident `json:"failures"`
	// Crashing is the part or the request that crashes runners between two times.
	Crashing string `json:"crashing"`
	FromMS   int    `json:"from_ms"`
	UntilMS  int    `json:"until_ms"`
	// KnownCrashes is the number of crashes from which on such requests must not be sent; 0
	// means knownCrashes.
	KnownCrashes int `json:"known_crashes"`
	// MaxCrashes bounds the crashes by it: KnownCrashes and what is sent within
	// stabilityWindow. MaxLate bounds its requests that are sent later than that.
	MaxCrashes int `json:"max_crashes"`
	MaxLate    int `json:"max_late"`
	// MinSound is the least share of the requests without the part that are admitted
	// from twice that window on.
	MinSound float64 `json:"min_sound"`
	// BlockedAtEnd are the parts that are blocked at the end.
	BlockedAtEnd []string `json:"blocked_at_end"`
}

type simRunner struct {
	id        string
	deadUntil time.Duration
	// starts is the number of its starts.
	starts int64
	calls  map[*simCall]bool
}

type simCall struct {
	call       *Call
	parts      []string
	request    string
	runner     *simRunner
	begunAt    time.Duration
	events     int
	cancelled  bool
	isCrashing bool
	// leavesAt is when the caller leaves, or 0.
	leavesAt time.Duration
	hasLeft  bool
}

type simulation struct {
	*scenario
	random     *rand.Rand
	start      time.Time
	nodes      []*Breaker
	runners    map[string]*simRunner
	ids        []string
	crashes    []time.Duration
	late       int
	sent, lost int
	// unique counts the requests with a fingerprint of their own.
	unique int
}

func TestScenarios(t *testing.T) {
	b, err := os.ReadFile("testdata/scenarios.json")
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []*scenario{}
	if err := json.Unmarshal(b, &scenarios); err != nil {
		t.Fatal(err)
	}
	for _, x := range scenarios {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", x.Name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { x.run(t, seed) })
			})
		}
	}
}

func (x *scenario) run(t *testing.T, seed uint64) {
	s := &simulation{scenario: x, random: rand.New(rand.NewPCG(seed, 3)), start: time.Now(), runners: map[string]*simRunner{}}
	for range x.Nodes {
		b := &Breaker{HasEnded: s.hasEnded, Sign: s.sign, Log: slog.New(slog.DiscardHandler)}
		first := len(s.nodes) == 0
		b.MayTry = func(string) bool { return first }
		s.nodes = append(s.nodes, b)
	}
	for i := range x.Runners {
		id := fmt.Sprintf("r%d", i)
		s.ids = append(s.ids, id)
		s.runners[id] = &simRunner{id: id, starts: 1, calls: map[*simCall]bool{}}
	}
	for s.now() < time.Duration(x.RunMS)*time.Millisecond {
		s.step()
		time.Sleep(tick)
	}
	sound := 1 - float64(s.lost)/float64(max(s.sent, 1))
	t.Logf("%d crashes by the part, %d late requests, %.3f of %d sound requests admitted", len(s.crashes), s.late, sound, s.sent)
	if len(s.crashes) > x.MaxCrashes {
		t.Errorf("%d runners crashed, wanted at most %d", len(s.crashes), x.MaxCrashes)
	}
	if s.late > x.MaxLate {
		t.Errorf("%d late requests, wanted at most %d", s.late, x.MaxLate)
	}
	if sound < x.MinSound {
		t.Errorf("%.3f of the sound requests were admitted, wanted at least %.3f", sound, x.MinSound)
	}
	for i, b := range s.nodes {
		wanted := []Key{}
		for _, name := range x.BlockedAtEnd {
			wanted = append(wanted, parseKey(name))
		}
		slices.Sort(wanted)
		if blocked := slices.Sorted(maps.Keys(b.blocks)); !slices.Equal(blocked, wanted) {
			t.Errorf("node %d blocks %v, wanted %v (%v)", i, blocked, wanted, x.BlockedAtEnd)
		}
	}
}

func (s *simulation) now() time.Duration { return time.Since(s.start) }

func (s *simulation) isDue(interval time.Duration) bool { return s.now()%interval < tick }

func (s *simulation) hasEnded(r Runner) bool { return s.now() < s.runners[r.ID].deadUntil }

// sign returns what the entries of the runners show.
func (s *simulation) sign(r Runner, _ time.Time) Sign {
	if x := s.runners[r.ID]; x.starts > r.BootTime && s.now() >= x.deadUntil {
		return Ended
	}
	return Unknown
}

func (s *simulation) step() {
	for i := range s.Sources {
		s.sendFrom(&s.Sources[i])
	}
	for _, f := range s.Failures {
		if at := time.Duration(f.AtMS) * time.Millisecond; s.now() >= at && s.now() < at+tick {
			s.fail(&f)
		}
	}
	for _, id := range s.ids {
		s.advance(s.runners[id])
	}
	if s.isDue(JudgeInterval) {
		for _, b := range s.nodes {
			b.Judge()
		}
	}
	if s.isDue(time.Duration(s.ReportMS) * time.Millisecond) {
		s.exchange()
	}
}

func (s *simulation) exchange() {
	for i, from := range s.nodes {
		r := from.Report()
		for j, to := range s.nodes {
			if i != j && s.random.Float64() >= s.Loss {
				to.Receive(&r)
			}
		}
	}
}

func (s *simulation) isCrashing(c *simCall) bool {
	now := int(s.now().Milliseconds())
	return now >= s.FromMS && now < s.UntilMS && s.hasCrashing(c)
}

// hasCrashing reports whether a call has what crashes runners at some time.
func (s *simulation) hasCrashing(c *simCall) bool {
	return s.Crashing != "" && (c.request == s.Crashing || slices.Contains(c.parts, s.Crashing))
}

func (s *simulation) sendFrom(src *source) {
	if int(s.now().Milliseconds()) < src.FromMS || s.random.Float64() >= src.PerSecond*tick.Seconds() {
		return
	}
	parts := slices.Clone(src.Parts)
	c := &simCall{parts: parts, request: src.Request}
	switch {
	case src.Varied > 0 && len(parts) > 0:
		parts[len(parts)-1] += fmt.Sprint(s.random.IntN(src.Varied))
	case src.Varied > 0:
		c.request += fmt.Sprint(s.random.IntN(src.Varied))
	}
	if src.Long > 0 {
		c.parts = longPrompt(src.Long, src.At, parts)
	}
	if c.request == "" {
		s.unique++
		c.request = fmt.Sprint("unique", s.unique)
	}
	c.isCrashing = s.isCrashing(c)
	if src.LeaveMS > 0 {
		c.leavesAt = s.now() + time.Duration(src.LeaveMS)*time.Millisecond
	}
	isSent := s.send(c)
	switch {
	case c.isCrashing && isSent && s.isLate(0):
		s.late++
	case !s.hasCrashing(c) && s.isLate(stabilityWindow):
		s.sent++
		if !isSent {
			s.lost++
		}
	}
}

// longPrompt returns so many parts, with others among them.
func longPrompt(count, at int, others []string) []string {
	parts := make([]string, 0, count+len(others))
	for i := range count {
		if i == at {
			parts = append(parts, others...)
		}
		parts = append(parts, fmt.Sprintf("long%d", i))
	}
	return parts
}

// isLate reports whether the nodes have had their time since the crash number
// KnownCrashes, or the last one, and an extra time.
func (s *simulation) isLate(extra time.Duration) bool {
	known := cmp.Or(s.KnownCrashes, knownCrashes)
	if len(s.crashes) < known {
		return extra > 0
	}
	return s.now() > s.crashes[known-1]+stabilityWindow+extra
}

// send sends a request to a random runner that lives, and reports whether it was
// admitted.
func (s *simulation) send(c *simCall) bool {
	b := s.nodes[s.random.IntN(len(s.nodes))]
	call, err := b.Admit(Request{Parts: slices.Values(c.parts), Fingerprint: func() string { return c.request }}, func(error) { c.cancelled = true })
	if err != nil {
		return false
	}
	live := []*simRunner{}
	for _, id := range s.ids {
		if r := s.runners[id]; s.now() >= r.deadUntil {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		call.Done()
		return true
	}
	r := live[s.random.IntN(len(live))]
	if err := call.Start(Runner{ID: r.id, BootTime: r.starts}); err != nil {
		call.Done()
		return false
	}
	c.call, c.runner = call, r
	c.begunAt = s.now() + time.Duration(50+s.random.IntN(200))*time.Millisecond
	r.calls[c] = true
	return true
}

// advance sends the events that are due, and crashes the runner if it begins an answer
// that does so.
func (s *simulation) advance(r *simRunner) {
	for c := range r.calls {
		if c.cancelled {
			delete(r.calls, c)
			c.call.Done()
			continue
		}
		if !c.hasLeft && c.leavesAt > 0 && s.now() >= c.leavesAt {
			c.hasLeft = true
			c.call.Done()
		}
		if s.now() >= c.begunAt && c.isCrashing {
			s.crashes = append(s.crashes, s.now())
			s.crash(r)
			return
		}
		if s.now() >= c.begunAt+time.Duration(c.events)*eventInterval {
			c.events++
			if !c.hasLeft {
				c.call.RecordEvents(1)
			}
		}
		if c.events == eventsInAll {
			delete(r.calls, c)
			if !c.hasLeft {
				c.call.Complete()
				c.call.Done()
			}
		}
	}
}

func (s *simulation) crash(r *simRunner) {
	r.starts++
	r.deadUntil = s.now() + cmp.Or(time.Duration(s.RestartMS)*time.Millisecond, restartTime)
	s.breakCalls(r)
}

func (s *simulation) breakCalls(r *simRunner) {
	for c := range r.calls {
		delete(r.calls, c)
		if !c.hasLeft {
			c.call.Break()
			c.call.Done()
		}
	}
}

func (s *simulation) fail(f *incident) {
	for _, id := range s.ids {
		if s.random.Float64() >= f.Share {
			continue
		}
		if f.OnlyResets {
			s.breakCalls(s.runners[id])
		} else {
			s.crash(s.runners[id])
		}
	}
}

// TestRequestSentToEndedRunnerIsNotToBlame checks that a request is not blocked because it was
// sent to runners that had ended before, one after the other, under another one.
func TestRequestSentToEndedRunnerIsNotToBlame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Breaker{HasEnded: func(Runner) bool { return true }, Log: slog.New(slog.DiscardHandler)}
		send := func(request, runner string) error {
			c, err := b.Admit(Request{Fingerprint: func() string { return request }}, func(error) {})
			if err != nil {
				return err
			}
			defer c.Done()
			if err := c.Start(Runner{ID: runner, BootTime: 7}); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
			c.Break()
			return nil
		}
		for i := range crashesToBlock {
			runner := fmt.Sprint("r", i)
			if err := send("crashing", runner); err != nil {
				t.Fatalf("crash %d: %v", i, err)
			}
			time.Sleep(crashMergeTime)
			for range 2 {
				if err := send("sound", runner); err != nil {
					t.Fatalf("sound request: %v", err)
				}
				time.Sleep(crashMergeTime)
			}
			b.Judge()
		}
		if err := send("crashing", "r9"); !errors.Is(err, ErrBlocked) {
			t.Errorf("crashing request: %v, want it blocked", err)
		}
		if err := send("sound", "r9"); err != nil {
			t.Errorf("sound request: %v", err)
		}
		time.Sleep(confirmTries * confirmDelay)
	})
}
