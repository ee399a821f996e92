package former

import (
	"context"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// ReplicaState is how far a replica has come.
type ReplicaState string

// The states of a replica.
const (
	Forming ReplicaState = "forming"
	Open    ReplicaState = "open"
	Closing ReplicaState = "closing"
)

// Member is a VM's part in a replica.
type Member struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	BootTime int64  `json:"boot_time"`
}

// Replica is one replica of a domain. The first member is the head.
type Replica struct {
	Name    string       `json:"name"`
	Model   string       `json:"model"`
	Epoch   int64        `json:"epoch"`
	State   ReplicaState `json:"state"`
	Members []Member     `json:"members"`
	// Graceful says that a closing replica still finishes its requests.
	Graceful bool `json:"graceful,omitempty"`
	// MayOpen says that a closing replica was about to open. An order to open that
	// got no answer may still be carried out.
	MayOpen bool `json:"may_open,omitempty"`
}

// Assignment is the stored state of a domain.
type Assignment struct {
	Service    string    `json:"service"`
	Domain     string    `json:"domain"`
	DataCenter string    `json:"data_center"`
	Epoch      int64     `json:"epoch"`
	Replicas   []Replica `json:"replicas"`
	// Model is the model that the domain serves. Empty means all models of the
	// service.
	Model string `json:"model,omitempty"`
}

// Operation is what a runner is ordered to do.
type Operation string

// The operations.
const (
	Join  Operation = "join"
	Start Operation = "open"
	Close Operation = "close"
	Leave Operation = "leave"
	Stage Operation = "stage"
)

// Order is sent to one runner.
type Order struct {
	Operation Operation
	Runner    Member
	Replica   string
	Epoch     int64
	Model     string
	Members   []string
	// Graceful lets a closing head finish its requests.
	Graceful bool
	// Fence is the domain's epoch; runners refuse one that is lower than any
	// they have seen.
	Fence int64
}

// Result is a runner's answer to an order.
type Result int

// The results.
const (
	// NoAnswer says that the order may still be carried out.
	NoAnswer Result = iota
	Begun
	Done
	Unfit
	Fenced
	Elsewhere
	Rejected
)

// Presence is what a probe of a runner showed.
type Presence int

// The presences.
const (
	// Silent is a runner from which nothing comes.
	Silent Presence = iota
	// Refuses is a runner that takes no connections: it has ended, or is leaving
	// and finishes what it has.
	Refuses
	Answers
)

// Send sends an order.
type Send func(ctx context.Context, o Order) Result

// Input is what a decision is made from.
type Input struct {
	Now        time.Time
	Engine     *matcher.Engine
	Assignment Assignment
	// Runners are those of the domain.
	Runners []*tracker.Runner
	// Dead are the IDs of runners that do not answer.
	Dead map[string]bool
	// Since is when each replica came to its state, by name, as far as this
	// node saw.
	Since map[string]time.Time
	// Gone is since when a head has been missing, by replica.
	Gone map[string]time.Time
	// Left are the replicas whose head has confirmed that it left.
	Left map[string]bool
	// StallTime is how long a replica without a member stands still before it
	// breaks.
	StallTime time.Duration
	// ReachedFor is for how long some runner of the domain has been in reach.
	ReachedFor time.Duration
	// Lapsed are members that are not listed and have not been found to be gone.
	Lapsed map[string]bool
	// Refusing are the runners that take no connections.
	Refusing map[string]bool
	// IdleSince is since when refusing runners have had no request in flight.
	IdleSince map[string]time.Time
	// AnsweredAgo is how long ago some runner of the domain answered a probe.
	AnsweredAgo time.Duration
	// Silent is since when runners have answered no node.
	Silent map[string]time.Time
	// Last is the model of the last replica that a runner was ready in.
	Last map[string]string
	// Warming are the spares that were just ordered to join a group of their own.
	Warming map[string]bool
	// Loading is the model that a runner was ordered to stage and does not hold yet.
	Loading map[string]string
	// Filled is the share of the replicas of a model that should be there, in all
	// domains, which are.
	Filled map[string]float64
	// Loads is how many runners may be ordered to stage weights now.
	Loads int
	// IsEarly says that no caller has come. Loads take little time then and are
	// not bounded, and one replica forms after the other, so that some are
	// complete early.
	IsEarly bool
	// IsCutOff says that no runner of the domain is in reach. Its replicas may
	// still serve others, so they are left as they are.
	IsCutOff bool
}

// Decision is what should be done.
type Decision struct {
	Assignment Assignment
	// Changed says that the assignment must be stored before the orders go out.
	Changed bool
	Orders  []Order
	// Notes explain the changes, for the log.
	Notes []string
}
