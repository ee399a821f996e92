package assembler

import (
	"context"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/timing/repeater"
)

// startControllers starts everything that reads and writes the board.
func (n *Node) startControllers(ctx context.Context) error {
	for _, run := range []func(context.Context){
		n.keepAnnouncing, n.syncer.Run, n.prober.Run, n.director.Run, n.allocator.Run, n.fleet.Run, n.exchanger.Run, n.executor.Run,
	} {
		go run(ctx)
	}
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return fmt.Errorf("message router: %w", err)
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
			n.Log.Error("message router stopped", "error", err)
		}
	}()
	select {
	case <-router.Running():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// subscribe has a controller run after each change of a table.
func (n *Node) subscribe(router *message.Router, topic recorder.Topic, run func()) {
	router.AddConsumerHandler("on_"+string(topic), string(topic), n.board.Subscriber(), func(*message.Message) error {
		run()
		return nil
	})
}

func (n *Node) keepAnnouncing(ctx context.Context) {
	repeater.Now(ctx, presenceBeat, n.announce)
}
