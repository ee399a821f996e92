package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"marjorammoor/internal/config/loader"
	"marjorammoor/internal/node/assembler"
	"marjorammoor/internal/objects/parser"
)

type serveCommand struct {
	*output
	Settings   string `short:"s" long:"settings" value-name:"FILE" description:"the node's settings, JSON with comments"`
	OnPlatform bool   `long:"platform" description:"run on the users' platform, with the settings file that it names in MARJORAMMOOR_SETTINGS"`
}

// Execute runs a node until it has stopped.
func (c *serveCommand) Execute([]string) error {
	switch {
	case c.OnPlatform && c.Settings != "":
		return trace.BadParameter("serve: --settings and --platform exclude each other")
	case c.OnPlatform:
		return serveOnPlatform(c.out)
	case c.Settings == "":
		return trace.BadParameter("serve: --settings or --platform is required")
	}
	s, err := loader.File(c.Settings)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	log := newLogger(s, c.err)
	n, err := assembler.New(s, log)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	go exitOnSecondSignal(ctx, stop, log)
	if err := n.Run(ctx); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// exitOnSecondSignal restores the signals' default action after the first one
// and says so.
func exitOnSecondSignal(ctx context.Context, stop context.CancelFunc, log *slog.Logger) {
	<-ctx.Done()
	stop()
	log.Info("stopping; a second signal ends the node at once")
}

func newLogger(s *loader.Settings, w io.Writer) *slog.Logger {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(s.LogLevel))
	options := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(w, options)
	if s.LogFormat == "json" {
		h = slog.NewJSONHandler(w, options)
	}
	return slog.New(h).With("node", s.Name)
}

type checkCommand struct {
	*output
	Settings []string `short:"s" long:"settings" value-name:"FILE" description:"settings to check"`
	Objects  []string `short:"f" long:"file" value-name:"FILE" description:"objects to check"`
}

// Execute checks files and prints what is wrong with the first bad one.
func (c *checkCommand) Execute([]string) error {
	for _, path := range c.Settings {
		if _, err := loader.File(path); err != nil {
			return fmt.Errorf("check: %w", err)
		}
	}
	for _, path := range c.Objects {
		if _, err := readManifests(path); err != nil {
			return fmt.Errorf("check: %w", err)
		}
	}
	_, err := fmt.Fprintf(c.out, "%d files are good\n", len(c.Settings)+len(c.Objects))
	return err
}

// manifest is one object in an operator's file.
type manifest struct {
	Kind parser.Kind `json:"kind"`
	Name string      `json:"name"`
	// Version is that which the change is based on; 0 to create.
	Version int64           `json:"version,omitempty"`
	Body    json.RawMessage `json:"body"`
}

// readManifests reads a file with one object or a list of objects, in JSON with
// comments.
func readManifests(path string) ([]manifest, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read objects: %w", trace.ConvertSystemError(err))
	}
	plain, err := hujson.Standardize(b)
	if err != nil {
		return nil, trace.BadParameter("%s: not JSON with comments: %v", path, err)
	}
	list := []manifest{}
	if err := json.Unmarshal(plain, &list); err != nil {
		one := manifest{}
		if err := json.Unmarshal(plain, &one); err != nil {
			return nil, trace.BadParameter("%s: %v", path, err)
		}
		list = []manifest{one}
	}
	for _, m := range list {
		if err := checkManifest(m); err != nil {
			return nil, fmt.Errorf("%s: %s/%s: %w", path, m.Kind, m.Name, err)
		}
	}
	return list, nil
}

func checkManifest(m manifest) error {
	if err := parser.Name(m.Name); err != nil {
		return err
	}
	return parser.Body(m.Kind, m.Body)
}
