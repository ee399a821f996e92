package observer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	stepTime   = 20 * time.Millisecond
	checkEvery = 5
	cutAt      = 4 * time.Second
	cutFor     = 8 * time.Second
	runTime    = 16 * time.Second
	dialTime   = 350 * time.Millisecond
	answerTime = 60 * time.Millisecond
	modelCount = 18
)

// worldCase is one entry of testdata/worlds.json: a node with two services in three data centres,
// which loses its links to some runners or whose runners end.
type worldCase struct {
	Name string `json:"name"`
	// Cut are the groups that the node loses, as service/data centre, the empty one for all,
	// but for the first Reached runners. Ended are single runners.
	Cut     []string `json:"cut"`
	Reached int      `json:"reached"`
	Ended   []int    `json:"ended"`
	Kind    string   `json:"kind"`
	// HealMS is the length of the cut; 0 means cutFor.
	HealMS int64 `json:"heal_ms"`
	// Rate is the number of requests per second; 0 means 40.
	Rate float64 `json:"rate"`
	// NoIdle is set if servers close each connection after its response.
	NoIdle bool `json:"no_idle"`
	// SlowMS is the time until the first byte of a response; 0 means answerTime.
	SlowMS int64 `json:"slow_ms"`
	// Lost is the number of runners that must count as such WithinMS after the cut began, and Out
	// that of those that must count as lost or closed. None may ReturnedWithinMS after its end.
	Lost             int   `json:"lost"`
	Out              int   `json:"out"`
	WithinMS         int64 `json:"within_ms"`
	ReturnedWithinMS int64 `json:"returned_within_ms"`
	// Groups, if given, is the greatest number of runners that may ever count as out of reach
	// because of their group.
	Groups *int `json:"groups"`
}

// pending is something that happens to a path at a time.
type pending struct {
	at time.Duration
	do func()
}

// world plays a case in virtual time.
type world struct {
	*worldCase
	observer *Observer
	start    time.Time
	now      time.Duration
	targets  []Target
	pending  []pending
	random   *rand.Rand
	// idle is the number of idle connections by runner.
	idle []int
}

// TestWorlds checks how soon a node knows what it has lost and what is back, and that it does
// not take runners that have ended for lost links.
func TestWorlds(t *testing.T) {
	b, err := os.ReadFile("testdata/worlds.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []worldCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", x.Name, seed), func(t *testing.T) {
				newWorld(&x, seed).run(t)
			})
		}
	}
}

func newWorld(x *worldCase, seed uint64) *world {
	w := &world{worldCase: x, start: time.Now(), random: rand.New(rand.NewPCG(29, seed))}
	w.observer = &Observer{Now: func() time.Time { return w.start.Add(w.now) }}
	for i := range modelCount + 6 {
		service := "a"
		if i >= modelCount {
			service = "b"
		}
		w.targets = append(w.targets, Target{ID: fmt.Sprint(i), Address: fmt.Sprint("r", i), Service: service, DataCenter: fmt.Sprint(i % 3)})
		w.idle = append(w.idle, 0)
	}
	return w
}

func (w *world) healAt() time.Duration {
	if w.HealMS > 0 {
		return cutAt + time.Duration(w.HealMS)*time.Millisecond
	}
	return cutAt + cutFor
}

// isCut reports whether a runner is out of reach now.
func (w *world) isCut(i int) bool {
	if w.now < cutAt || w.now >= w.healAt() {
		return false
	}
	name := w.targets[i].Service + "/" + w.targets[i].DataCenter
	inGroup := slices.ContainsFunc(w.Cut, func(g string) bool { return strings.HasPrefix(name, g) })
	return inGroup && i >= w.Reached || slices.Contains(w.Ended, i)
}

func (w *world) after(d time.Duration, do func()) {
	w.pending = append(w.pending, pending{w.now + d, do})
}

// connect opens a connection and calls then with the result.
func (w *world) connect(i int, then func(ok bool)) {
	switch {
	case !w.isCut(i):
		w.after(2*time.Millisecond, func() { then(!w.isCut(i)) })
	case w.Kind == "hang":
		w.after(dialTime, func() { then(false) })
	default:
		w.after(2*time.Millisecond, func() { then(false) })
	}
}

// send sends a request to a runner that counts as reached, as a balancer would.
func (w *world) send() {
	candidates := []int{}
	for i, t := range w.targets {
		state := w.observer.State(t.Address)
		if state == Reached || state == Closed && w.idle[i] > 0 {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return
	}
	i := candidates[w.random.IntN(len(candidates))]
	p := w.observer.Path(w.targets[i].Address)
	if w.idle[i] > 0 {
		w.idle[i]--
		w.exchange(i, p, false)
		return
	}
	started := w.observer.now()
	w.connect(i, func(ok bool) {
		if !ok {
			p.Miss(started)
			return
		}
		w.exchange(i, p, true)
	})
}

// exchange sends a request on a connection.
func (w *world) exchange(i int, p *Path, isNew bool) {
	p.Begin()
	if w.isCut(i) && w.Kind == "reset" {
		w.after(2*time.Millisecond, func() { p.End(); p.Doubt() })
		return
	}
	wait := answerTime
	if w.SlowMS > 0 {
		wait = time.Duration(w.SlowMS) * time.Millisecond
	}
	sentAt := w.now
	w.after(wait, func() {
		silent := w.isCut(i) && (w.Kind == "hang" || slices.Contains(w.Ended, i))
		if silent {
			w.after(time.Second, func() { p.End(); p.Doubt() })
			return
		}
		if w.isCut(i) && w.Kind == "reset" || sentAt < cutAt && w.now >= cutAt && w.isCut(i) && w.Kind == "reset" {
			p.End()
			p.Doubt()
			return
		}
		p.Read()
		if isNew {
			p.Open()
		}
		p.End()
		if !w.NoIdle {
			w.idle[i] = min(w.idle[i]+1, 3)
		}
	})
}

func (w *world) check() {
	for _, t := range w.observer.Step(w.targets) {
		i := slices.IndexFunc(w.targets, func(x Target) bool { return x == t })
		started := w.observer.now()
		w.connect(i, func(ok bool) {
			if ok {
				w.observer.Path(t.Address).Read()
			}
			w.observer.RecordProbe(t.Address, started, ok)
		})
	}
	for i := range w.targets {
		if w.observer.State(w.targets[i].Address) == Lost {
			w.idle[i] = 0
		}
	}
}

// count returns the numbers of runners that count as lost, closed, and either because of their
// group.
func (w *world) count() (lost, closed, grouped int) {
	for _, t := range w.targets {
		switch w.observer.State(t.Address) {
		case Lost:
			lost++
		case Closed:
			closed++
		case Reached:
		}
		if w.observer.IsGroupLost(t.Address) {
			grouped++
		}
	}
	return lost, closed, grouped
}

func (w *world) run(t *testing.T) {
	rate := w.Rate
	if rate == 0 {
		rate = 40
	}
	for step := 0; w.now < runTime; step++ {
		due := []pending{}
		w.pending = slices.DeleteFunc(w.pending, func(p pending) bool {
			if p.at <= w.now {
				due = append(due, p)
			}
			return p.at <= w.now
		})
		for _, p := range due {
			p.do()
		}
		if w.random.Float64() < rate*stepTime.Seconds() {
			w.send()
		}
		if step%checkEvery == 0 {
			w.check()
			w.judge(t)
		}
		w.now += stepTime
	}
}

func (w *world) judge(t *testing.T) {
	lost, closed, grouped := w.count()
	since := (w.now - cutAt).Milliseconds()
	back := (w.now - w.healAt()).Milliseconds()
	switch {
	case w.now < cutAt && lost+closed > 0:
		t.Fatalf("at %s: %d lost and %d closed before the cut", w.now, lost, closed)
	case w.Groups != nil && grouped > *w.Groups:
		t.Fatalf("at %s: %d runners count as lost together with others", w.now, grouped)
	case w.Groups != nil || w.now < cutAt:
	case since > w.WithinMS && back < 0 && (lost < w.Lost || lost+closed < w.Out || lost+closed > max(w.Lost, w.Out)):
		t.Fatalf("%d ms after the cut began: %d lost and %d closed, wanted %d lost, %d in all", since, lost, closed, w.Lost, max(w.Lost, w.Out))
	case back > w.ReturnedWithinMS && lost+closed > 0:
		t.Fatalf("%d ms after the cut: %d lost and %d closed", back, lost, closed)
	}
}
