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
	exitDone      = 0
	exitFailed    = 1
	exitUsage     = 2
	headerTimeout = 5 * time.Second
	stopTimeout   = time.Second
	recordMode    = 0o600
)

type output struct{ out, err io.Writer }

// Main runs a stand-in and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := &output{out: stdout, err: stderr}
	p := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"platform", "the platform: objects and the list of VMs", &platformCommand{output: o}},
		{"runner", "a runner VM: a model engine or a plain service", &runnerCommand{output: o}},
		{"load", "offers load and reports what callers saw", &loadCommand{output: o}},
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
	Address string  `long:"address" default:"127.0.0.1:7000" value-name:"IP:PORT" description:"where to serve"`
	Reads   float64 `long:"reads" default:"2000" description:"reads a second that are allowed"`
	Writes  float64 `long:"writes" default:"400" description:"writes a second that are allowed"`
	VMs     string  `long:"vms" value-name:"FILE" description:"the list of VMs, as JSON"`
}

// Execute serves the platform until it is interrupted.
func (c *platformCommand) Execute([]string) error {
	s := &storer.Server{ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes}
	if c.VMs != "" {
		if err := readVMs(c.VMs, s); err != nil {
			return err
		}
	}
	return serve(c.Address, s.Handler(), nil)
}

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
	VM            string        `long:"vm" required:"true" description:"the VM's name"`
	Address       string        `long:"address" required:"true" value-name:"IP:PORT" description:"where to serve"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
	IgnoreMembers bool          `long:"ignore-members" description:"do not notice when another VM of the replica has gone"`
	LoadTime      time.Duration `long:"load-time" default:"500ms" description:"how long loading a model takes"`
	TokenTime     time.Duration `long:"token-time" default:"5ms" description:"time of one token"`
	Slots         int           `long:"slots" default:"32" description:"requests that run at once"`
	MaxQueued     int           `long:"max-queued" default:"64" description:"requests that wait; more are refused"`
	ReportLag     time.Duration `long:"report-lag" default:"200ms" description:"age of the load report"`
	Record        string        `long:"record" value-name:"FILE" description:"append each execution to a file, as JSON lines"`
}

// Execute serves as a runner until it is interrupted.
func (c *runnerCommand) Execute([]string) error {
	e := &engine.Engine{
		VM: c.VM, Address: c.Address, ChecksFencing: c.ChecksFencing, IgnoresMembers: c.IgnoreMembers,
		LoadTime: c.LoadTime, TokenTime: c.TokenTime,
		Slots: c.Slots, MaxQueued: c.MaxQueued, ReportLag: c.ReportLag,
	}
	if c.Record != "" {
		f, err := os.OpenFile(c.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordMode)
		if err != nil {
			return fmt.Errorf("record executions: %w", err)
		}
		defer f.Close() //nolint:errcheck
		lines := json.NewEncoder(f)
		e.Record = func(x engine.Execution) { _ = lines.Encode(x) }
	}
	return serve(c.Address, e.Handler(), e.Run)
}

// serve runs an HTTP server, and beside it run, until it is interrupted.
func serve(address string, h http.Handler, run func(context.Context)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	if run != nil {
		go run(ctx)
	}
	failed := make(chan error, 1)
	go func() { failed <- s.ListenAndServe() }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve on %s: %w", address, err)
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.Shutdown(stopping)
	return nil
}
