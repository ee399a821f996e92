// Package announcer lets the nodes discover each other through the platform's store.
// A node writes its entry at the start, deletes it at a planned stop, and lists the
// entries of the other nodes periodically. The periodic list may be stale, which is
// cheaper for the store.
//
// # Usage
//
//	a := &announcer.Announcer{Self: self, Store: store, Found: beater.AddPeer, Log: log}
//	go a.Run(ctx)
//	a.Withdraw(ctx)
package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"marjorammoor/internal/network/checker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/timing/repeater"
)

// Kind is the kind of the nodes' objects in the store.
const Kind = "marjorammoor-nodes"

const (
	callTimeout = 1500 * time.Millisecond
	retryPause  = 300 * time.Millisecond
	// listInterval is the time between two lists after the first one. They are needed
	// only for nodes that have not heard of each other for long.
	listInterval = 30 * time.Second
	// eraCheckInterval is the time between two checks of the store's era.
	eraCheckInterval = 500 * time.Millisecond
	// renewSpread is the time over which the nodes announce themselves again after the
	// store was restored, so that not all of them do so at once.
	renewSpread = 2 * time.Second
)

// Node is the entry of a node in the store.
type Node struct {
	Name string `json:"name"`
	// Address is where the node receives messages of other nodes, as ip:port.
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
}

// Announcer announces this node and discovers the others. Set all fields before use, except
// Era.
type Announcer struct {
	Self  Node
	Store *follower.Store
	// Era returns the newest era of the store; nil means that it has only one.
	Era func() int64
	// Found is called for each listed node, in every list.
	Found func(name, address string)
	Log   *slog.Logger

	rejections follower.Rejections
}

// Run announces the node and lists the other nodes until ctx ends, and does so again when
// the store was restored, since it may have lost the node's entry. Each node lists after
// it has announced itself, so of two nodes that start together at least one finds the
// other and sends it heartbeats, from which the other learns its address.
func (a *Announcer) Run(ctx context.Context) {
	era := a.announceAndList(ctx)
	listedAt := time.Now()
	for repeater.Sleep(ctx, eraCheckInterval) {
		switch {
		case a.era() != era:
			if !repeater.Sleep(ctx, rand.N(renewSpread)) {
				return
			}
			era = a.announceAndList(ctx)
			a.Log.Info("node announced again since the store was restored", "era", era)
		case time.Since(listedAt) < listInterval:
			continue
		default:
			if err := a.list(ctx, true); err != nil {
				a.Log.Debug("cannot list the nodes", "error", err)
			}
		}
		listedAt = time.Now()
	}
}

// announceAndList announces the node and lists the others until both have succeeded, and
// returns the era in which the node was announced.
func (a *Announcer) announceAndList(ctx context.Context) (era int64) {
	a.retryUntilDone(ctx, "announce this node", func(ctx context.Context) (err error) {
		era, err = a.announce(ctx)
		return err
	})
	a.retryUntilDone(ctx, "list the nodes", func(ctx context.Context) error { return a.list(ctx, false) })
	return era
}

func (a *Announcer) era() int64 {
	if a.Era == nil {
		return 0
	}
	return a.Era()
}

// retryUntilDone runs a task until it succeeds or ctx ends. The task's name is used
// in the log.
func (a *Announcer) retryUntilDone(ctx context.Context, task string, run func(context.Context) error) {
	for ctx.Err() == nil {
		err := run(ctx)
		if err == nil {
			return
		}
		a.Log.Warn("cannot "+task+" yet", "error", err)
		repeater.Sleep(ctx, retryPause)
	}
}

// announce creates the node's entry, or replaces the one of an earlier run, and returns
// the store's era.
func (a *Announcer) announce(ctx context.Context) (era int64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := json.Marshal(a.Self)
	if err != nil {
		return 0, fmt.Errorf("encode the node's entry: %w", err)
	}
	o := follower.Object{Kind: Kind, Name: a.Self.Name, Spec: b}
	at, err := a.Store.Create(callCtx, o)
	if errors.Is(err, follower.ErrConflict) {
		at, err = a.Store.Replace(callCtx, o)
	}
	if err != nil {
		return 0, fmt.Errorf("write the node's entry: %w", err)
	}
	return at.Era, nil
}

// list reports all listed nodes to Found. A stale list is cheaper and may lack the
// newest entries.
func (a *Announcer) list(ctx context.Context, stale bool) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := a.Store.List(callCtx, Kind, stale)
	if err != nil {
		return fmt.Errorf("list nodes: %w", err)
	}
	for _, o := range objects {
		n, err := decodeNode(o)
		if err != nil {
			a.rejections.Reject(a.Log, o, err)
			continue
		}
		a.rejections.Accept(a.Log, o)
		a.Found(n.Name, n.Address)
	}
	return nil
}

// decodeNode returns an error for an entry that names no node to send to, or another node
// than the one that it belongs to.
func decodeNode(o follower.Object) (Node, error) {
	if o.Problem != nil {
		return Node{}, o.Problem
	}
	n := Node{}
	if err := json.Unmarshal(o.Spec, &n); err != nil {
		return Node{}, fmt.Errorf("decode node entry: %w", err)
	}
	if n.Name != o.Name {
		return Node{}, trace.BadParameter("name: %q is not the entry's own", n.Name)
	}
	if err := checker.Check(n.Address); err != nil {
		return Node{}, fmt.Errorf("node entry: %w", err)
	}
	return n, nil
}

// Withdraw deletes the node's entry at a planned stop.
func (a *Announcer) Withdraw(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := a.Store.Delete(callCtx, Kind, a.Self.Name); err != nil && !errors.Is(err, follower.ErrNotFound) {
		a.Log.Warn("cannot delete this node's entry", "error", err)
	}
}
