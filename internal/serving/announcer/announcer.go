// Package announcer makes nodes known to each other through the platform's
// store: one write at the start, one delete at a planned stop, and a cheap list
// now and then.
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
	"time"

	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/timing/repeater"
)

// Kind is the kind of the nodes' objects in the store.
const Kind = "marjorammoor-nodes"

const (
	callTimeout  = 1500 * time.Millisecond
	retryPause   = 300 * time.Millisecond
	listInterval = 10 * time.Second
	// secondLook is when the list is read again after the start, because nodes
	// that start together do not see each other's entries at first.
	secondLook = 1500 * time.Millisecond
)

// Node is a node's entry.
type Node struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
}

// Announcer announces this node. Set all fields before use.
type Announcer struct {
	Self  Node
	Store *follower.Store
	// Found is told of each other node.
	Found func(name, address string)
	Log   *slog.Logger
}

// Run announces the node and looks for others until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	a.untilDone(ctx, "announce this node", a.announce)
	look := func(ctx context.Context) error { return a.list(ctx, false) }
	a.untilDone(ctx, "list the nodes", look)
	if !repeater.Pause(ctx, secondLook) {
		return
	}
	a.untilDone(ctx, "list the nodes", look)
	repeater.Every(ctx, listInterval, func() {
		if err := a.list(ctx, true); err != nil {
			a.Log.Debug("cannot list the nodes", "error", err)
		}
	})
}

// untilDone repeats work until it succeeds.
func (a *Announcer) untilDone(ctx context.Context, what string, work func(context.Context) error) {
	for ctx.Err() == nil {
		err := work(ctx)
		if err == nil {
			return
		}
		a.Log.Warn("cannot "+what+" yet", "error", err)
		repeater.Pause(ctx, retryPause)
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	call, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	b, err := json.Marshal(a.Self)
	if err != nil {
		return fmt.Errorf("encode the node's entry: %w", err)
	}
	o := follower.Object{Kind: Kind, Name: a.Self.Name, Spec: b}
	_, err = a.Store.Create(call, o)
	if errors.Is(err, follower.ErrConflict) {
		_, err = a.Store.Replace(call, o)
	}
	if err != nil {
		return fmt.Errorf("write the node's entry: %w", err)
	}
	return nil
}

// list looks for other nodes. A stale list costs less and may lack the newest.
func (a *Announcer) list(ctx context.Context, stale bool) error {
	call, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	objects, _, err := a.Store.List(call, Kind, stale)
	if err != nil {
		return fmt.Errorf("list nodes: %w", err)
	}
	for _, o := range objects {
		n := Node{}
		if err := json.Unmarshal(o.Spec, &n); err != nil {
			a.Log.Warn("a node's entry cannot be read", "name", o.Name, "error", err)
			continue
		}
		a.Found(n.Name, n.Address)
	}
	return nil
}

// Withdraw removes the node's entry at a planned stop.
func (a *Announcer) Withdraw(ctx context.Context) {
	call, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if err := a.Store.Delete(call, Kind, a.Self.Name); err != nil && !errors.Is(err, follower.ErrNotFound) {
		a.Log.Warn("cannot withdraw the node's entry", "error", err)
	}
}
