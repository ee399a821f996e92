package starter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/standin/engine"
	"marjorammoor/internal/standin/storer"
)

const (
	exitDone          = 0
	exitFailed        = 1
	exitUsage         = 2
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second
	recordFileMode    = 0o600
)

// output holds standard output and standard error of a command.
type output struct{ out, err io.Writer }

// Main runs the stand-in given in args and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := &output{out: stdout, err: stderr}
	p := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"platform", "serve the platform: objects and the list of VMs", &platformCommand{output: o}},
		{"runner", "serve as a runner VM: a model engine or a plain service", &runnerCommand{output: o}},
		{"load", "generate load and report what callers observed", &loadCommand{output: o}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			_, _ = fmt.Fprintln(stderr, "standin:", err)
			return exitFailed
		}
	}
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitDone
	}
	_, _ = fmt.Fprintln(stderr, "standin:", err)
	if usage != nil {
		return exitUsage
	}
	return exitFailed
}

type platformCommand struct {
	*output
	Address string  `long:"address" default:"127.0.0.1:7000" value-name:"IP:PORT" description:"address to listen on"`
	Reads   float64 `long:"reads" default:"2000" description:"allowed reads per second"`
	Writes  float64 `long:"writes" default:"400" description:"allowed writes per second"`
	VMs     string  `long:"vms" value-name:"FILE" description:"file with the list of VMs, in JSON"`
}

// Execute serves the platform until SIGINT or SIGTERM.
func (c *platformCommand) Execute([]string) error {
	s := &storer.Server{ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes}
	if c.VMs != "" {
		if err := readVMs(c.VMs, s); err != nil {
			return err
		}
	}
	return serve(c.Address, s.Handler(), nil)
}

// readVMs adds the VMs of a file to the platform's list.
func readVMs(path string, s *storer.Server) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read VMs: %w", err)
	}
	list := []client.VM{}
	if err := json.Unmarshal(b, &list); err != nil {
		return fmt.Errorf("parse VMs: %w", err)
	}
	for _, v := range list {
		s.SetVM(v)
	}
	return nil
}

type runnerCommand struct {
	*output
	VM            string        `long:"vm" required:"true" description:"name of the VM"`
	Address       string        `long:"address" required:"true" value-name:"IP:PORT" description:"address to listen on"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
	IgnoreMembers bool          `long:"ignore-members" description:"do not check whether the other VMs of the replica run"`
	LoadTime      time.Duration `long:"load-time" default:"500ms" description:"time to load a model"`
	TokenTime     time.Duration `long:"token-time" default:"5ms" description:"time to generate one token"`
	Slots         int           `long:"slots" default:"32" description:"number of requests that run at once"`
	MaxQueued     int           `long:"max-queued" default:"64" description:"number of requests that wait; further ones are refused"`
	ReportLag     time.Duration `long:"report-lag" default:"200ms" description:"age of the load report"`
	Record        string        `long:"record" value-name:"FILE" description:"file to which each executed request is appended as a JSON line"`
}

// Execute serves as a runner until SIGINT or SIGTERM.
func (c *runnerCommand) Execute([]string) error {
	e := &engine.Engine{
		VM: c.VM, Address: c.Address, ChecksFencing: c.ChecksFencing, IgnoresMembers: c.IgnoreMembers,
		LoadTime: c.LoadTime, TokenTime: c.TokenTime,
		Slots: c.Slots, MaxQueued: c.MaxQueued, ReportLag: c.ReportLag,
	}
	if c.Record != "" {
		f, err := os.OpenFile(c.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
		if err != nil {
			return fmt.Errorf("record executions: %w", err)
		}
		defer f.Close() //nolint:errcheck
		lines := json.NewEncoder(f)
		e.Record = func(x engine.Execution) { _ = lines.Encode(x) }
	}
	return serve(c.Address, e.Handler(), e.Run)
}

// serve runs an HTTP server, and concurrently run unless it is nil, until SIGINT or
// SIGTERM.
func serve(address string, h http.Handler, run func(context.Context)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	if run != nil {
		go run(ctx)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.ListenAndServe() }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve on %s: %w", address, err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.Shutdown(shutdownCtx)
	return nil
}
