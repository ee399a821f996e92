package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/serving/relayer"
)

const (
	// balancerDelay is how long the platform's load balancer may still send new
	// connections to a node that reports that it is not ready.
	balancerDelay = 2500 * time.Millisecond
	// answerMargin is how long before the end of the grace period the requests that are
	// still running get their final answer. Streams that have begun are broken off
	// streamMargin before it, and what is open then is closed stopMargin before it.
	answerMargin = 700 * time.Millisecond
	streamMargin = 500 * time.Millisecond
	stopMargin   = 400 * time.Millisecond
	// lastBeats is the number of heartbeats in which a node that stops tells others of requests that
	// runners may still end under, if exitMargin is left before the end of the grace period.
	lastBeats  = 4
	exitMargin = 250 * time.Millisecond
)

// stopTimes are the times of a graceful stop.
type stopTimes struct {
	// balancerLeft is when the load balancer surely sends no new connections.
	balancerLeft time.Time
	// answers is when requests get their final answer, streams when streams that have begun
	// are broken off, and connections when all connections are closed.
	answers, streams, connections time.Time
}

func newStopTimes(started time.Time, grace time.Duration) *stopTimes {
	return &stopTimes{
		balancerLeft: started.Add(min(balancerDelay, grace/2)),
		answers:      started.Add(grace - answerMargin),
		streams:      started.Add(grace - streamMargin),
		connections:  started.Add(grace - stopMargin),
	}
}

// stopSignals end the requests that are still running when a node stops.
type stopSignals struct {
	// answers ends with the time for final answers, and streams with that for streams.
	answers, streams       context.Context
	endAnswers, endStreams context.CancelCauseFunc
}

func newStopSignals() stopSignals {
	s := stopSignals{}
	s.answers, s.endAnswers = context.WithCancelCause(context.Background())
	s.streams, s.endStreams = context.WithCancelCause(context.Background())
	return s
}

// schedule ends the signals at their times, until the returned function is called.
func (s *stopSignals) schedule(t *stopTimes) (cancel func()) {
	answers := time.AfterFunc(time.Until(t.answers), func() { s.endAnswers(relayer.ErrStopping) })
	streams := time.AfterFunc(time.Until(t.streams), func() { s.endStreams(relayer.ErrStopping) })
	return func() {
		answers.Stop()
		streams.Stop()
	}
}

// baseContext is the parent of the contexts of all requests.
func (n *Node) baseContext(net.Listener) context.Context { return n.signals.streams }

// withAnswerTime returns a context that ends when the request has to get its final answer,
// unless its response has begun by then.
func (n *Node) withAnswerTime(ctx context.Context, hasBegun *atomic.Bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(n.signals.answers, func() {
		if !hasBegun.Load() {
			cancel(context.Cause(n.signals.answers))
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isStopping reports whether the node stops.
func (n *Node) isStopping() bool { return n.stopTimes.Load() != nil }

// stopsAt returns when requests get their final answer because the node stops, or the zero
// time.
func (n *Node) stopsAt() time.Time {
	if times := n.stopTimes.Load(); times != nil {
		return times.answers
	}
	return time.Time{}
}

// closeIfStopping makes a response of a stopping node the last one of its connection.
func (n *Node) closeIfStopping(h http.Header) {
	if n.isStopping() {
		h.Set("Connection", "close")
	}
}

// stopRefusal returns the failure for a call that a stopping node does not take, or nil. Once
// the load balancer has moved on, the node takes only calls that surely end in time.
func (n *Node) stopRefusal(c *relayer.Call) *responder.Failure {
	times := n.stopTimes.Load()
	if times == nil || time.Now().Before(times.balancerLeft) || !c.Deadline.After(times.answers) {
		return nil
	}
	return relayer.StopFailure(c, responder.NotRun)
}

// port is a server with the listener of its connections.
type port struct {
	server   *http.Server
	listener net.Listener
}

func (p *port) serve(failed chan<- error) { serve(p.server, p.listener, failed) }

// stop stops the node gracefully. The node reports that it is not ready, removes its
// entry from the store, accepts connections until the load balancer no longer sends new
// ones, and finishes the requests in progress. Each request that it has read gets its
// final answer before the grace period ends.
func (n *Node) stop(ports ...*port) {
	started := time.Now()
	times := newStopTimes(started, n.bounds().GracePeriod)
	n.stopTimes.Store(times)
	n.Log.Info("node stopping", "requests", n.activeRequests.Load())
	defer n.signals.schedule(times)()
	ctx, cancel := context.WithDeadline(context.Background(), times.connections)
	defer cancel()
	go n.announcer.Withdraw(ctx)
	time.Sleep(time.Until(times.balancerLeft))
	for _, p := range ports {
		_ = p.listener.Close()
	}
	n.connections.awaitEnd(ctx)
	if open := n.connections.endIdle(); open > 0 {
		n.Log.Warn("grace period is ending, aborting requests in progress", "requests", n.activeRequests.Load(), "connections", open)
	}
	for _, p := range ports {
		_ = p.server.Close()
	}
	n.leaveUnanswered(started.Add(n.bounds().GracePeriod - exitMargin))
	n.Log.Info("node stopped", "after_ms", time.Since(started).Milliseconds())
}

// leaveUnanswered goes on with the heartbeats for a while, at most until a time, if there are requests
// that runners may still end under. Another node then looks after them.
func (n *Node) leaveUnanswered(until time.Time) {
	requests := len(n.breaker.ReportUnanswered())
	if requests == 0 {
		return
	}
	n.Log.Info("unanswered requests are left to another node", "requests", requests)
	time.Sleep(min(lastBeats*beater.DefaultInterval, time.Until(until)))
}
