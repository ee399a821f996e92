package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/timing/repeater"
)

// Defaults of the stand-in's timing.
const (
	defaultTokenTime     = 5 * time.Millisecond
	defaultPrefillPerKiB = time.Millisecond
	memberCheckInterval  = 100 * time.Millisecond
	memberTimeout        = 300 * time.Millisecond
	streamRetention      = 30 * time.Second
	disconnectGrace      = 2 * time.Second
)

// Faults are the faults that a test can switch on.
type Faults struct {
	// TokenDelayMS is added to the time of each token: a straggler.
	TokenDelayMS int `json:"token_delay_ms"`
	// FirstDelayMS is added before an answer starts.
	FirstDelayMS int `json:"first_delay_ms"`
	// BreakAfterTokens closes each connection after so many tokens; 0 is off.
	BreakAfterTokens int `json:"break_after_tokens"`
	// Refuse refuses each request without running it.
	Refuse bool `json:"refuse"`
	// HangUp closes each request's connection after running it, before a byte
	// of the answer.
	HangUp bool `json:"hang_up"`
	// SkipToken leaves out the token at this position (counted from 1).
	SkipToken int `json:"skip_token"`
	// Leaving marks the VM as about to leave in its identity.
	Leaving bool `json:"leaving"`
}

// Execution is one request that an engine ran.
type Execution struct {
	Attempt string    `json:"attempt"`
	Key     string    `json:"key,omitempty"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Epoch   string    `json:"epoch,omitempty"`
	Body    string    `json:"body,omitempty"`
	At      time.Time `json:"at"`
}

// Engine is one VM's program. Set VM and Address before use.
type Engine struct {
	VM      string
	Address string
	// ChecksFencing refuses orders and requests with an old epoch.
	ChecksFencing bool
	// IgnoresMembers leaves it to others to notice that a member has gone.
	IgnoresMembers bool
	// LoadTime is how long loading a model takes.
	LoadTime time.Duration
	// Weights bounds how many engines that share it load at once; nil is free.
	Weights chan struct{}
	// TokenTime is the time of one token; 0 means 5 ms.
	TokenTime time.Duration
	// Slots bounds the requests that run at once; 0 means 32. More are queued.
	Slots int
	// MaxQueued bounds the queue; 0 means 64. More are refused.
	MaxQueued int
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// Record, if set, is told of each execution before it starts, so that a test
	// knows of it even if the process is killed.
	Record func(Execution)

	once       sync.Once
	mu         sync.Mutex
	id         caller.Identity
	members    []string
	memberBoot map[string]string
	generation int
	faults     Faults
	streams    map[string]*stream
	executions []Execution
	inFlight   int
	queued     int
	slots      chan struct{}
	report     caller.Load
	cache      prefixCache
	broken     context.Context
	breakUp    context.CancelFunc
}

func (e *Engine) start() {
	e.id = caller.Identity{VM: e.VM, BootID: uuid.NewString(), State: caller.StateIdle}
	e.streams = map[string]*stream{}
	e.slots = make(chan struct{}, orDefault(e.Slots, 32))
	e.broken, e.breakUp = context.WithCancel(context.Background())
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// Run checks the members and refreshes the load report until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	e.once.Do(e.start)
	repeater.Every(ctx, memberCheckInterval, func() {
		e.checkMembers(ctx)
		e.refreshReport()
	})
}

func (e *Engine) refreshReport() {
	e.mu.Lock()
	load := caller.Load{InFlight: e.inFlight, Queued: e.queued, TokenMicros: int(e.tokenTime().Microseconds())}
	e.mu.Unlock()
	time.AfterFunc(e.ReportLag, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.report = load
	})
}

// tokenTime is called with the lock held.
func (e *Engine) tokenTime() time.Duration {
	return orDefault(e.TokenTime, defaultTokenTime) + time.Duration(e.faults.TokenDelayMS)*time.Millisecond
}

// Identity returns what the engine reports of itself.
func (e *Engine) Identity() caller.Identity {
	e.once.Do(e.start)
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.id
	id.Load = e.report
	id.Leaving = e.faults.Leaving
	return id
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.once.Do(e.start)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Take obeys an order or refuses it with trace.CompareFailed.
func (e *Engine) Take(o caller.Order) (caller.Identity, error) {
	e.once.Do(e.start)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && o.Epoch < e.id.Epoch {
		return e.id, trace.CompareFailed("epoch %d is older than %d", o.Epoch, e.id.Epoch)
	}
	if o.BootID != "" && o.BootID != e.id.BootID {
		return e.id, trace.CompareFailed("boot identity is %s", e.id.BootID)
	}
	switch o.Type {
	case caller.OrderLoad:
		e.load(o)
	case caller.OrderUnload:
		e.unload(o)
	default:
		return e.id, trace.BadParameter("type: %q: expected load or unload", o.Type)
	}
	return e.id, nil
}

// load is called with the lock held. The same order given twice has no effect.
func (e *Engine) load(o caller.Order) {
	if e.id.Replica == o.Replica && e.id.Epoch == o.Epoch {
		return
	}
	kept := e.id.Model == o.Model && e.id.ModelVersion == o.ModelVersion &&
		(e.id.State == caller.StateReady || e.id.State == caller.StateBroken)
	e.reset()
	e.id.Replica, e.id.Deployment, e.id.Epoch = o.Replica, o.Deployment, o.Epoch
	e.id.Model, e.id.ModelVersion = o.Model, o.ModelVersion
	e.id.Head = len(o.Members) > 0 && o.Members[0] == e.Address
	e.members, e.memberBoot = o.Members, map[string]string{}
	e.id.State = caller.StateLoading
	generation := e.generation
	wait := e.LoadTime
	if kept {
		wait = 0
	}
	go e.finishLoad(generation, wait)
}

func (e *Engine) finishLoad(generation int, wait time.Duration) {
	if e.Weights != nil && wait > 0 {
		e.Weights <- struct{}{}
		defer func() { <-e.Weights }()
	}
	time.Sleep(wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation == generation {
		e.id.State = caller.StateReady
	}
}

// unload is called with the lock held.
func (e *Engine) unload(o caller.Order) {
	e.reset()
	e.id = caller.Identity{VM: e.id.VM, BootID: e.id.BootID, State: caller.StateIdle, Epoch: o.Epoch}
	e.members = nil
}

// reset ends all streams of the replica that the engine belonged to.
func (e *Engine) reset() {
	e.generation++
	e.breakUp()
	e.broken, e.breakUp = context.WithCancel(context.Background())
}

// checkMembers breaks the replica when a member does not answer or has started
// anew, as the collective operations of a real engine would.
func (e *Engine) checkMembers(ctx context.Context) {
	e.mu.Lock()
	generation, members := e.generation, e.members
	check := e.id.State == caller.StateReady && len(members) > 1 && !e.IgnoresMembers
	e.mu.Unlock()
	if !check {
		return
	}
	for _, m := range members {
		if m == e.Address {
			continue
		}
		if err := e.checkMember(ctx, m, generation); err != nil {
			e.breakReplica(generation)
			return
		}
	}
}

var memberCaller = caller.Caller{Timeout: memberTimeout}

func (e *Engine) checkMember(ctx context.Context, address string, generation int) error {
	id, err := memberCaller.Identity(ctx, address)
	if err != nil {
		return fmt.Errorf("check member: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return nil
	}
	known := e.memberBoot[address]
	if id.Replica != e.id.Replica || id.Epoch != e.id.Epoch {
		if known == "" {
			return nil // Not yet loaded.
		}
		return trace.CompareFailed("member %s left the replica", address)
	}
	if known == "" {
		e.memberBoot[address] = id.BootID
		return nil
	}
	if known != id.BootID {
		return trace.CompareFailed("member %s started anew", address)
	}
	return nil
}

func (e *Engine) breakReplica(generation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return
	}
	e.reset()
	e.id.State = caller.StateBroken
}

// execute records a request that is about to run; the caller holds the lock.
func (e *Engine) execute(x Execution) {
	e.executions = append(e.executions, x)
	if e.Record != nil {
		e.Record(x)
	}
}

// Executions returns the requests that the engine ran.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution{}, e.executions...)
}

// Token returns the text of the answer's token at position i, counted from 0.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// Answer returns the whole text that an engine gives to a prompt.
func Answer(prompt string, tokens int) string {
	s := ""
	for i := range tokens {
		s += Token(prompt, i)
	}
	return s
}
