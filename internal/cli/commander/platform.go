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

// serveOnPlatform runs a node on the users' platform until SIGINT or SIGTERM.
// Log lines go to out as JSON.
func serveOnPlatform(out io.Writer) error {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	lines := &writer.Writer{Output: out}
	logging, stopLogging := context.WithCancel(context.Background())
	wg := sync.WaitGroup{}
	wg.Go(func() { lines.Run(logging) })
	defer wg.Wait()
	defer stopLogging()
	log := slog.New(slog.NewJSONHandler(lines, nil)).With("node", s.NodeName)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// The settings of a process are read at its start only.
	signal.Ignore(syscall.SIGHUP)
	if err := platform.NewNode(s, log).Run(ctx); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
