package commander

import (
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

// Version is printed by the command version.
const Version = "0.1.0"

// The exit codes; see the package comment.
const (
	ExitDone       = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitConflict   = 3
	ExitNotFound   = 4
	ExitNotInForce = 5
)

// errNotInForce is returned by apply --wait when a change was accepted but was not in
// force in every connected data centre before the timeout.
var errNotInForce = errors.New("not yet in force everywhere")

// output holds standard output and standard error of a command.
type output struct{ out, err io.Writer }

// Main runs the command given in args and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := &output{out: stdout, err: stderr}
	p := flags.NewNamedParser("marjorammoor", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"serve", "run a node", "Runs a node until SIGINT or SIGTERM, and then stops it gracefully.", &serveCommand{output: o}},
		{"check", "check settings and objects offline", "Checks settings files and object files without calling a node.", &checkCommand{output: o}},
		{"apply", "create or change objects", "Creates or changes the objects in a file. To change an object, its entry must have the version that is stored now.", &applyCommand{output: o}},
		{"get", "print objects", "Prints one object, or all objects of a kind.", &getCommand{output: o}},
		{"watch", "print changed objects", "Prints changed objects as the node receives them, until it is interrupted.", &watchCommand{output: o}},
		{"delete", "delete an object", "Deletes an object if its stored version is the one given.", &deleteCommand{output: o}},
		{"drain", "stop a node gracefully", "Makes the node finish its requests and stop.", &drainCommand{output: o}},
		{"status", "show configuration revisions and replicas", "Shows the configuration revision in force in each data centre, and the state of the replicas.", &statusCommand{output: o}},
		{"explain", "print the log lines of a request", "Prints, in order of time, the lines in the nodes' JSON logs about one request and the runners to which it was sent.", &explainCommand{output: o}},
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

// exitCode prints an error, or the help text that was asked for, and returns the exit
// code.
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
