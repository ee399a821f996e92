package balancer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// reportLag is how old a target's own report of its load is.
	reportLag = 200 * time.Millisecond
	// beatPause is the time between two exchanges of the nodes.
	beatPause = 150 * time.Millisecond
	// stepPause is the time between two events of a stream.
	stepPause = 40 * time.Millisecond
	// goOnShare of the deadline is how long a request may wait for a place, as in
	// the relayer.
	goOnShare = 0.4
)

// loadScenario is one entry of testdata/loads.json.
type loadScenario struct {
	Name        string  `json:"name"`
	Nodes       int     `json:"nodes"`
	Targets     int     `json:"targets"`
	Slots       int     `json:"slots"`
	WorkMS      float64 `json:"work_ms"`
	Rate        float64 `json:"rate"` // requests a second
	Seconds     float64 `json:"seconds"`
	ObjectiveMS float64 `json:"objective_ms"`
	DeadlineMS  float64 `json:"deadline_ms"`
	Slow        int     `json:"slow"`
	SlowFactor  float64 `json:"slow_factor"`
	// Silent targets send nothing from a quarter of the time on.
	Silent int `json:"silent"`
	// Teams send evenly. From FloodFrom to FloodTo seconds, the first sends Flood
	// times as much.
	Teams     int     `json:"teams"`
	Flood     float64 `json:"flood"`
	FloodFrom float64 `json:"flood_from"`
	FloodTo   float64 `json:"flood_to"`
	// Crowding is by how much each further request of a batch slows all down.
	Crowding float64 `json:"crowding"`
}

// playTarget is an engine with a batch and a queue.
type playTarget struct {
	mu       sync.Mutex
	slots    int
	active   int
	queue    []chan struct{}
	factor   float64
	crowding float64
	silentAt time.Time
	reported int
}

// serve works on a request and reports whether it was completed. Progress is
// called with each event.
func (t *playTarget) serve(ctx context.Context, work time.Duration, progress func()) bool {
	t.mu.Lock()
	if t.active >= t.slots {
		turn := make(chan struct{})
		t.queue = append(t.queue, turn)
		t.mu.Unlock()
		select {
		case <-turn:
		case <-ctx.Done():
			t.leave(turn)
			return false
		}
	} else {
		t.active++
		t.mu.Unlock()
	}
	defer t.release()
	t.mu.Lock()
	left := time.Duration(float64(work) * t.factor * (1 + t.crowding*float64(t.active-1)))
	t.mu.Unlock()
	for ; left > 0; left -= stepPause {
		if !t.silentAt.IsZero() && time.Now().After(t.silentAt) {
			<-ctx.Done()
			return false
		}
		select {
		case <-time.After(min(left, stepPause)):
			progress()
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// leave takes a request out of the queue, or gives its turn back.
func (t *playTarget) leave(turn chan struct{}) {
	t.mu.Lock()
	for i, q := range t.queue {
		if q == turn {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			t.mu.Unlock()
			return
		}
	}
	t.mu.Unlock()
	t.release()
}

func (t *playTarget) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queue) > 0 {
		close(t.queue[0])
		t.queue = t.queue[1:]
		return
	}
	t.active--
}

// play is one policy under one load.
type play struct {
	s         loadScenario
	rand      *rand.Rand
	mu        sync.Mutex
	targets   []*playTarget
	balancers []*Balancer
	turns     []int
	// onTime, late and all count requests.
	onTime, late, all int
	// others are the times that requests of all teams but the first took while that
	// floods, and othersOnTime how many of them met their objective.
	others       []time.Duration
	othersOnTime int
}

func newPlay(s loadScenario, seed uint64) *play {
	p := &play{s: s, rand: rand.New(rand.NewPCG(seed, 3)), turns: make([]int, s.Nodes)}
	ids := []string{}
	for i := range s.Targets {
		t := &playTarget{slots: s.Slots, factor: 1, crowding: s.Crowding}
		if i < s.Slow {
			t.factor = s.SlowFactor
		}
		if i >= s.Targets-s.Silent {
			t.silentAt = time.Now().Add(time.Duration(s.Seconds / 4 * float64(time.Second)))
		}
		p.targets = append(p.targets, t)
		ids = append(ids, strconv.Itoa(i))
	}
	for range s.Nodes {
		p.balancers = append(p.balancers, newBalancer("m", s.Slots, ids...))
	}
	return p
}

// policy sends one request of a node and reports whether it was completed.
type policy func(p *play, ctx context.Context, node int, team string, arrived time.Time, work time.Duration) bool

// policies are the balancer and the plain ways to choose.
var policies = map[string]policy{
	"balancer": (*play).balanced,
	"random": func(p *play, ctx context.Context, _ int, _ string, _ time.Time, work time.Duration) bool {
		return p.targets[rand.IntN(len(p.targets))].serve(ctx, work, func() {})
	},
	"round_robin": func(p *play, ctx context.Context, node int, _ string, _ time.Time, work time.Duration) bool {
		p.mu.Lock()
		p.turns[node]++
		i := (node + p.turns[node]) % len(p.targets)
		p.mu.Unlock()
		return p.targets[i].serve(ctx, work, func() {})
	},
	"least_reported": func(p *play, ctx context.Context, _ int, _ string, _ time.Time, work time.Duration) bool {
		best := rand.IntN(len(p.targets))
		for i := range p.targets {
			if p.report(i) < p.report(best) {
				best = i
			}
		}
		return p.targets[best].serve(ctx, work, func() {})
	},
}

func (p *play) report(i int) int {
	t := p.targets[i]
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported
}

// balanced sends a request by the balancer, and once more if its target stalls.
func (p *play) balanced(ctx context.Context, node int, team string, arrived time.Time, work time.Duration) bool {
	b := p.balancers[node]
	tried := []string{}
	for range 2 {
		r := &Request{
			Service: "s", Model: "m", Team: team, Arrived: arrived, Objective: arrived.Add(millis(p.s.ObjectiveMS)),
			GiveUp: arrived.Add(time.Duration(goOnShare * float64(millis(p.s.DeadlineMS)))), Tried: tried,
		}
		place, err := b.Acquire(ctx, r)
		if err != nil {
			return false
		}
		attempt, stop := context.WithCancel(ctx)
		place.OnMove(func(error) { stop() })
		i, _ := strconv.Atoi(place.Target.ID)
		isDone := p.targets[i].serve(attempt, work, place.Progress)
		stop()
		place.Release()
		if isDone {
			return true
		}
		tried = append(tried, place.Target.ID)
	}
	return false
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// run plays the load and returns the shares that met their objective and that
// completed at all.
func (p *play) run(choose policy) (onTime, completed float64) {
	ctx, stop := context.WithCancel(context.Background())
	background := sync.WaitGroup{}
	background.Go(func() { p.exchangeLoads(ctx) })
	background.Go(func() { p.reportLoads(ctx) })
	requests := sync.WaitGroup{}
	start := time.Now()
	for time.Since(start) < time.Duration(p.s.Seconds*float64(time.Second)) {
		team, rate, isFlood := p.pickTeam(time.Since(start).Seconds())
		time.Sleep(time.Duration(p.rand.ExpFloat64() / rate * float64(time.Second)))
		node, work := p.rand.IntN(p.s.Nodes), millis(p.s.WorkMS*(0.5+p.rand.Float64()))
		requests.Go(func() { p.one(choose, node, team, work, isFlood) })
	}
	requests.Wait()
	stop()
	background.Wait()
	return float64(p.onTime) / float64(p.all), float64(p.onTime+p.late) / float64(p.all)
}

// pickTeam returns whose the next request is, and at which rate requests come.
func (p *play) pickTeam(second float64) (team string, rate float64, isFlood bool) {
	teams := max(p.s.Teams, 1)
	isFlood = p.s.Teams > 0 && second >= p.s.FloodFrom && second < p.s.FloodTo
	weight := 1.0
	if isFlood {
		weight = max(p.s.Flood, 1)
	}
	all := weight + float64(teams-1)
	i := 0
	if p.rand.Float64()*all >= weight {
		i = 1 + p.rand.IntN(max(teams-1, 1))
	}
	return strconv.Itoa(i), p.s.Rate * all / float64(teams), isFlood
}

func (p *play) one(choose policy, node int, team string, work time.Duration, isFlood bool) {
	arrived := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), millis(p.s.DeadlineMS))
	defer stop()
	isDone := choose(p, ctx, node, team, arrived, work)
	took := time.Since(arrived)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all++
	if isFlood && team != "0" {
		p.others = append(p.others, took)
		if isDone && took <= millis(p.s.ObjectiveMS) {
			p.othersOnTime++
		}
	}
	switch {
	case isDone && took <= millis(p.s.ObjectiveMS):
		p.onTime++
	case isDone:
		p.late++
	}
}

// exchangeLoads tells each node what the others have in flight and suspect.
func (p *play) exchangeLoads(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(beatPause)
		for i, from := range p.balancers {
			from.CheckStalls()
			counts, suspects := from.Counts()
			for k, to := range p.balancers {
				if k == i {
					continue
				}
				to.SetPeer(strconv.Itoa(i), counts)
				for _, id := range suspects {
					to.Suspect(id)
				}
			}
		}
		for _, b := range p.balancers {
			b.Changed()
		}
	}
}

func (p *play) reportLoads(ctx context.Context) {
	for ctx.Err() == nil {
		counts := []int{}
		for _, t := range p.targets {
			t.mu.Lock()
			counts = append(counts, t.active+len(t.queue))
			t.mu.Unlock()
		}
		time.Sleep(reportLag)
		for i, t := range p.targets {
			t.mu.Lock()
			t.reported = counts[i]
			t.mu.Unlock()
		}
	}
}

// maxLoss is by how much less another policy may serve on any one load.
const maxLoss = 0.05

// TestLoads plays the loads of testdata/loads.json by each policy. The balancer
// must serve most over all loads, and on none much less than another policy.
func TestLoads(t *testing.T) {
	b, err := os.ReadFile("testdata/loads.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []loadScenario{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	sums := map[string]float64{}
	for _, s := range list {
		t.Run(s.Name, func(t *testing.T) {
			for name, share := range checkLoad(t, s) {
				sums[name] += share / float64(len(list))
			}
		})
	}
	t.Logf("mean over all loads: %v", sums)
	for name, mean := range sums {
		if name != "balancer" && sums["balancer"] <= mean {
			t.Errorf("%.3f of the requests met their objective over all loads, %.3f by %s", sums["balancer"], mean, name)
		}
	}
}

func checkLoad(t *testing.T, s loadScenario) map[string]float64 {
	onTime, line := map[string]float64{}, ""
	for _, name := range []string{"balancer", "random", "round_robin", "least_reported"} {
		synctest.Test(t, func(*testing.T) {
			share, completed := newPlay(s, 1).run(policies[name])
			onTime[name] = share
			line += fmt.Sprintf(" %s %.3f (%.3f)", name, share, completed)
		})
	}
	t.Logf("met their objective (completed):%s", line)
	for name, share := range onTime {
		if share > onTime["balancer"]+maxLoss {
			t.Errorf("%.3f of the requests met their objective, %.3f by %s", onTime["balancer"], share, name)
		}
	}
	return onTime
}

const (
	floodSeeds = 3
	// maxFloodCost is by how much a flood may lengthen the time within which 95 of
	// 100 requests of other teams end.
	maxFloodCost = 0.03
)

// TestFlood checks what other teams get while one sends twenty times its share:
// about as many of their requests meet their objective as without the flood, and
// the time within which 95 of 100 end grows little.
func TestFlood(t *testing.T) {
	s := loadScenario{
		Name: "flood", Nodes: 6, Targets: 8, Slots: 17, WorkMS: 2000, Rate: 45, Seconds: 50, ObjectiveMS: 3700, DeadlineMS: 8000, Crowding: 0.012,
		Teams: 10, Flood: 1, FloodFrom: 30, FloodTo: 45,
	}
	share, p95 := playFlood(t, s)
	s.Flood = 20
	floodShare, floodP95 := playFlood(t, s)
	cost := floodP95.Seconds()/p95.Seconds() - 1
	t.Logf("other teams: %.3f of the requests meet their objective (%.3f without the flood), 95 of 100 end within %v (%v), %.1f %% more",
		floodShare, share, floodP95, p95, 100*cost)
	if floodShare < share-maxLoss || cost > maxFloodCost {
		t.Error("the flood of one team costs the others too much")
	}
}

// playFlood returns the share of other teams' requests that meet their objective,
// and the time within which 95 of 100 end, as means of some plays.
func playFlood(t *testing.T, s loadScenario) (share float64, p95 time.Duration) {
	for seed := range floodSeeds {
		synctest.Test(t, func(*testing.T) {
			p := newPlay(s, uint64(seed))
			p.run((*play).balanced)
			slices.Sort(p.others)
			share += float64(p.othersOnTime) / float64(len(p.others)) / floodSeeds
			p95 += p.others[len(p.others)*95/100] / floodSeeds
		})
	}
	return share, p95
}
