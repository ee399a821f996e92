package commander

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"marjorammoor/internal/logging/writer"
	"marjorammoor/platform"
)

// serveOnPlatform runs a node with the platform that package platform connects to,
// until SIGINT or SIGTERM. Log lines go to out as JSON. The settings file is checked
// for changes while the node runs, and read again after SIGHUP.
func serveOnPlatform(out io.Writer) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.ReadSettings(path)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	logWriter := &writer.Writer{Output: out}
	logCtx, stopLogWriter := context.WithCancel(context.Background())
	wg := sync.WaitGroup{}
	wg.Go(func() { logWriter.Run(logCtx) })
	defer wg.Wait()
	defer stopLogWriter()
	log := slog.New(slog.NewJSONHandler(logWriter, nil)).With("node", s.NodeName)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	node := platform.NewNode(s, log)
	watcher := &platform.Watcher{Path: path, Initial: s, Log: log, OnChange: func(s *platform.Settings) { node.Reload(s.NodeSettings()) }}
	wg.Go(func() { watcher.Run(ctx, reloads) })
	if err := node.Run(ctx); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
