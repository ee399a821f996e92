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

// Default times of token generation, and fixed intervals.
const (
	defaultTokenTime     = 5 * time.Millisecond
	defaultPrefillPerKiB = time.Millisecond
	memberCheckInterval  = 100 * time.Millisecond
	memberTimeout        = 300 * time.Millisecond
	streamRetention      = 30 * time.Second
	disconnectGrace      = 2 * time.Second
)

// Faults are the faults that a test can inject.
type Faults struct {
	// TokenDelayMS is added to the time of each token, which simulates a slow
	// runner.
	TokenDelayMS int `json:"token_delay_ms"`
	// FirstDelayMS is added before a response starts.
	FirstDelayMS int `json:"first_delay_ms"`
	// BreakAfterTokens closes each connection after this many tokens; 0 disables
	// it.
	BreakAfterTokens int `json:"break_after_tokens"`
	// Refuse rejects each request without running it.
	Refuse bool `json:"refuse"`
	// HangUp runs each request, but closes its connection before the first byte of
	// the response.
	HangUp bool `json:"hang_up"`
	// SkipToken omits the token at this position, counted from 1; 0 disables it.
	SkipToken int `json:"skip_token"`
	// Leaving reports in the identity that the VM is about to be removed.
	Leaving bool `json:"leaving"`
}

// Execution is one request that the engine ran.
type Execution struct {
	Attempt string    `json:"attempt"`
	Key     string    `json:"key,omitempty"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Epoch   string    `json:"epoch,omitempty"`
	Body    string    `json:"body,omitempty"`
	At      time.Time `json:"at"`
}

// Engine is the program of one VM. Set VM and Address before use.
type Engine struct {
	VM      string
	Address string
	// ChecksFencing rejects orders with an epoch older than the engine's, and
	// model requests with another epoch.
	ChecksFencing bool
	// IgnoresMembers disables the check of the other members, so that the engine
	// stays ready when one of them is lost and the nodes have to detect the loss.
	IgnoresMembers bool
	// LoadTime is how long loading a model takes.
	LoadTime time.Duration
	// LoadSlots limits how many of the engines that share the channel load at the
	// same time, by its capacity; nil is unlimited.
	LoadSlots chan struct{}
	// TokenTime is the time to generate one token; 0 means 5 ms.
	TokenTime time.Duration
	// Slots limits the requests that run concurrently; 0 means 32. Further
	// requests are queued.
	Slots int
	// MaxQueued limits the queue; 0 means 64. Further requests are refused.
	MaxQueued int
	// ReportLag delays the load report in the identity.
	ReportLag time.Duration
	// Record, if set, is called before each execution, so that a test can read the
	// execution even if the process is killed.
	Record func(Execution)

	once          sync.Once
	mu            sync.Mutex
	id            caller.Identity
	members       []string
	memberBootIDs map[string]string
	// generation counts resets, so that a load or a member check that started
	// before a reset has no effect.
	generation   int
	faults       Faults
	streams      map[string]*stream
	executions   []Execution
	inFlight     int
	queued       int
	slots        chan struct{}
	reportedLoad caller.Load
	cache        prefixCache
	// streamsCtx ends at the next reset, and all streams with it.
	streamsCtx    context.Context
	cancelStreams context.CancelFunc
}

func (e *Engine) start() {
	e.id = caller.Identity{VM: e.VM, BootID: uuid.NewString(), State: caller.StateIdle}
	e.streams = map[string]*stream{}
	e.slots = make(chan struct{}, orDefault(e.Slots, 32))
	e.streamsCtx, e.cancelStreams = context.WithCancel(context.Background())
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
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
		e.reportedLoad = load
	})
}

// tokenTime returns the time to generate one token. The caller holds the lock.
func (e *Engine) tokenTime() time.Duration {
	return orDefault(e.TokenTime, defaultTokenTime) + time.Duration(e.faults.TokenDelayMS)*time.Millisecond
}

// Identity returns the identity and load that the engine reports.
func (e *Engine) Identity() caller.Identity {
	e.once.Do(e.start)
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.id
	id.Load = e.reportedLoad
	id.Leaving = e.faults.Leaving
	return id
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.once.Do(e.start)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Apply runs a load or unload order. It returns trace.CompareFailed for an old
// epoch, if fencing is checked, and for another boot ID, and trace.BadParameter for
// an unknown type.
func (e *Engine) Apply(o caller.Order) (caller.Identity, error) {
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

// load starts loading a model; repeating an order has no effect. A model that is
// already loaded takes no time. The caller holds the lock.
func (e *Engine) load(o caller.Order) {
	if e.id.Replica == o.Replica && e.id.Epoch == o.Epoch {
		return
	}
	isLoaded := e.id.Model == o.Model && e.id.ModelVersion == o.ModelVersion &&
		(e.id.State == caller.StateReady || e.id.State == caller.StateBroken)
	e.reset()
	e.id.Replica, e.id.Deployment, e.id.Epoch = o.Replica, o.Deployment, o.Epoch
	e.id.Model, e.id.ModelVersion = o.Model, o.ModelVersion
	e.id.Head = len(o.Members) > 0 && o.Members[0] == e.Address
	e.members, e.memberBootIDs = o.Members, map[string]string{}
	e.id.State = caller.StateLoading
	generation := e.generation
	wait := e.LoadTime
	if isLoaded {
		wait = 0
	}
	go e.finishLoad(generation, wait)
}

func (e *Engine) finishLoad(generation int, wait time.Duration) {
	if e.LoadSlots != nil && wait > 0 {
		e.LoadSlots <- struct{}{}
		defer func() { <-e.LoadSlots }()
	}
	time.Sleep(wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation == generation {
		e.id.State = caller.StateReady
	}
}

// unload makes the engine idle. The caller holds the lock.
func (e *Engine) unload(o caller.Order) {
	e.reset()
	e.id = caller.Identity{VM: e.id.VM, BootID: e.id.BootID, State: caller.StateIdle, Epoch: o.Epoch}
	e.members = nil
}

// reset cancels all streams and invalidates a load in progress. The caller holds
// the lock.
func (e *Engine) reset() {
	e.generation++
	e.cancelStreams()
	e.streamsCtx, e.cancelStreams = context.WithCancel(context.Background())
}

// checkMembers marks the replica as broken when a member does not respond, has
// restarted or has left the replica, as the collective operations of a real engine
// would fail.
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
	knownBootID := e.memberBootIDs[address]
	if id.Replica != e.id.Replica || id.Epoch != e.id.Epoch {
		if knownBootID == "" {
			return nil // The member has not processed its load order yet.
		}
		return trace.CompareFailed("member %s left the replica", address)
	}
	if knownBootID == "" {
		e.memberBootIDs[address] = id.BootID
		return nil
	}
	if knownBootID != id.BootID {
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

// recordExecution records a request that is about to run. The caller holds the lock.
func (e *Engine) recordExecution(x Execution) {
	e.executions = append(e.executions, x)
	if e.Record != nil {
		e.Record(x)
	}
}

// Executions returns a copy of the recorded executions.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution{}, e.executions...)
}

// TokenText returns the token at position i, counted from 0, of the completion of a
// prompt.
func TokenText(prompt string, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// CompletionText returns the complete text that an engine generates for a prompt.
func CompletionText(prompt string, tokens int) string {
	text := ""
	for i := range tokens {
		text += TokenText(prompt, i)
	}
	return text
}
