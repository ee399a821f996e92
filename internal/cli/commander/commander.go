package commander

import (
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

// Version is the version of the program.
const Version = "0.1.0"

// The exit codes.
const (
	ExitDone       = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitConflict   = 3
	ExitNotFound   = 4
	ExitNotInForce = 5
)

// errNotInForce says that a change was accepted but not seen in force in time.
var errNotInForce = errors.New("not yet in force everywhere")

// output is where a command writes.
type output struct{ out, err io.Writer }

// Main runs a command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := &output{out: stdout, err: stderr}
	p := flags.NewNamedParser("marjorammoor", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"serve", "run a node", "Runs a node until SIGINT or SIGTERM, then stops gracefully.", &serveCommand{output: o}},
		{"check", "check settings and objects offline", "Checks settings and object files without a node.", &checkCommand{output: o}},
		{"apply", "create or change objects", "Creates or changes the objects of a file. An object that exists needs the version that the change is based on.", &applyCommand{output: o}},
		{"get", "print objects", "Prints one object, or all of a kind.", &getCommand{output: o}},
		{"watch", "print changes as they come", "Prints changed objects as they come into force on the node.", &watchCommand{output: o}},
		{"delete", "delete an object", "Deletes an object at a version.", &deleteCommand{output: o}},
		{"drain", "stop a node gracefully", "Has the node finish its requests and stop.", &drainCommand{output: o}},
		{"status", "show what is in force and serving", "Shows what is in force in each data centre and what serves.", &statusCommand{output: o}},
		{"explain", "tell a request's story from logs", "Prints in time order what the nodes' logs say about one request and the runners it was sent to.", &explainCommand{output: o}},
		{"version", "print the version", "Prints the version.", &versionCommand{output: o}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			_, _ = fmt.Fprintln(stderr, "marjorammoor:", err)
			return ExitFailed
		}
	}
	_, err := p.ParseArgs(args)
	return o.exitCode(err)
}

// exitCode reports an error and returns the exit code for it.
func (o *output) exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(o.out, usage.Message)
		return ExitDone
	}
	_, _ = fmt.Fprintln(o.err, "marjorammoor:", err)
	switch {
	case usage != nil, trace.IsBadParameter(err):
		return ExitUsage
	case trace.IsCompareFailed(err):
		return ExitConflict
	case trace.IsNotFound(err):
		return ExitNotFound
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	default:
		return ExitFailed
	}
}

type versionCommand struct{ *output }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.out, "marjorammoor", Version)
	return err
}
