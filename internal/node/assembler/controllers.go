package assembler

import (
	"context"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/timing/repeater"
)

// startControllers starts the components that read and write the board, and
// subscribes them to its changes. It returns when the subscriptions are active.
func (n *Node) startControllers(ctx context.Context) error {
	for _, run := range []func(context.Context){
		n.announcePeriodically, n.syncer.Run, n.prober.Run, n.director.Run, n.allocator.Run, n.fleet.Run, n.exchanger.Run, n.executor.Run,
	} {
		go run(ctx)
	}
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return fmt.Errorf("create message router: %w", err)
	}
	n.subscribe(router, recorder.TopicConfig, n.director.Refresh)
	n.subscribe(router, recorder.TopicAssignments, func() {
		n.director.Refresh()
		n.prober.Replan(ctx)
	})
	n.subscribe(router, recorder.TopicSightings, func() {
		n.director.Refresh()
		n.exchanger.Wake()
	})
	n.subscribe(router, recorder.TopicRevision, n.exchanger.Wake)
	n.subscribe(router, recorder.TopicVMs, func() { n.prober.Replan(ctx) })
	go func() {
		if err := router.Run(ctx); err != nil {
			n.Log.Error("message router failed, controllers no longer react to board changes", "error", err)
		}
	}()
	select {
	case <-router.Running():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// subscribe calls run after each change of a table of the board.
func (n *Node) subscribe(router *message.Router, topic recorder.Topic, run func()) {
	router.AddConsumerHandler("on_"+string(topic), string(topic), n.board.Subscriber(), func(*message.Message) error {
		run()
		return nil
	})
}

// announcePeriodically refreshes this node's own entry on the board until ctx ends.
func (n *Node) announcePeriodically(ctx context.Context) {
	repeater.NowAndEvery(ctx, announceInterval, n.announce)
}
