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
	Settings   string `short:"s" long:"settings" value-name:"FILE" description:"settings file of the node, in JSON with comments"`
	OnPlatform bool   `long:"platform" description:"run on the users' platform, which gives the path of the settings file in MARJORAMMOOR_SETTINGS"`
}

// Execute runs a node and returns when it has stopped.
func (c *serveCommand) Execute([]string) error {
	switch {
	case c.OnPlatform && c.Settings != "":
		return trace.BadParameter("serve: --settings and --platform cannot be used together")
	case c.OnPlatform:
		return serveOnPlatform(c.out)
	case c.Settings == "":
		return trace.BadParameter("serve: --settings or --platform is required")
	}
	s, err := loader.ReadFile(c.Settings)
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

// exitOnSecondSignal restores the default action of SIGINT and SIGTERM after the first
// signal, so that a second one ends the process, and logs this.
func exitOnSecondSignal(ctx context.Context, stop context.CancelFunc, log *slog.Logger) {
	<-ctx.Done()
	stop()
	log.Info("stopping gracefully; a second signal ends the process at once")
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
	Settings []string `short:"s" long:"settings" value-name:"FILE" description:"settings file to check"`
	Objects  []string `short:"f" long:"file" value-name:"FILE" description:"object file to check"`
}

// Execute checks the files and returns the error of the first bad one.
func (c *checkCommand) Execute([]string) error {
	for _, path := range c.Settings {
		if _, err := loader.ReadFile(path); err != nil {
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

// manifest is one object in a file that apply and check read.
type manifest struct {
	Kind parser.Kind `json:"kind"`
	Name string      `json:"name"`
	// Version is the stored version that the change replaces; 0 to create the object.
	Version int64 `json:"version,omitempty"`
	// Body is the JSON of the resource, such as a parser.TeamSpec.
	Body json.RawMessage `json:"body"`
}

// readManifests reads and validates a file with one object or a list of objects, in
// JSON with comments.
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
		single := manifest{}
		if err := json.Unmarshal(plain, &single); err != nil {
			return nil, trace.BadParameter("%s: %v", path, err)
		}
		list = []manifest{single}
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
