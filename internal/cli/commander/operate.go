package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	adminserver "marjorammoor/internal/admin/server"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
)

const (
	callTimeout = 40 * time.Second
	statusPoll  = 100 * time.Millisecond
)

// remote is what every command needs that speaks to a node.
type remote struct {
	Admin    string `short:"a" long:"admin" default:"127.0.0.1:9901" env:"MARJORAMMOOR_ADMIN" value-name:"IP:PORT" description:"a node's administration address"`
	Token    string `long:"token" env:"MARJORAMMOOR_TOKEN" default-mask:"none" value-name:"TOKEN" description:"the administration token"`
	Operator string `long:"operator" env:"MARJORAMMOOR_OPERATOR" value-name:"NAME" description:"who makes a change, for others to see"`
}

// call sends a request to the node and decodes the answer into target.
func (r *remote) call(method, path string, version int64, body []byte, target any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+r.Admin+path, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("admin: %v", err)
	}
	q.Header.Set("Authorization", "Bearer "+r.Token)
	q.Header.Set(adminserver.HeaderOperator, r.Operator)
	if version != client.MustNotExist {
		q.Header.Set("If-Match", strconv.FormatInt(version, 10))
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return trace.ConnectionProblem(err, "no node at %s", r.Admin)
	}
	defer a.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "read answer")
	}
	if a.StatusCode >= http.StatusBadRequest {
		return explainFailure(a.StatusCode, b)
	}
	if err := json.Unmarshal(b, target); err != nil {
		return trace.BadParameter("node's answer: %v", err)
	}
	return nil
}

func explainFailure(status int, body []byte) error {
	f := adminserver.Failure{}
	if err := json.Unmarshal(body, &f); err != nil {
		return trace.ConnectionProblem(nil, "status %d: %s", status, body)
	}
	switch f.Reason {
	case "invalid":
		return trace.BadParameter("%s", f.Error)
	case "not_found":
		return trace.NotFound("%s", f.Error)
	case "conflict":
		return trace.CompareFailed("%s", explainConflict(f))
	default:
		return trace.ConnectionProblem(nil, "%s (%s)", f.Error, f.Reason)
	}
}

func explainConflict(f adminserver.Failure) string {
	if f.Stored == nil {
		return f.Error
	}
	return fmt.Sprintf("%s: version %d by %q is stored:\n%s", f.Error, f.Stored.Version, f.Stored.ChangedBy, f.Stored.Body)
}

func objectPath(kind, name string) string { return "/v1/objects/" + kind + "/" + name }

type applyCommand struct {
	*output
	remote
	File    string        `short:"f" long:"file" required:"true" value-name:"FILE" description:"objects in JSON with comments"`
	Wait    bool          `short:"w" long:"wait" description:"return when the change is in force in every connected data centre"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"how long to wait"`
}

// Execute applies the objects of a file in their order and stops at the first
// that is not accepted.
func (c *applyCommand) Execute([]string) error {
	list, err := readManifests(c.File)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	last := int64(0)
	for _, m := range list {
		o := parser.Object{}
		if err := c.call(http.MethodPut, objectPath(string(m.Kind), m.Name), m.Version, m.Body, &o); err != nil {
			return fmt.Errorf("apply %s/%s: %w", m.Kind, m.Name, err)
		}
		_, _ = fmt.Fprintf(c.out, "%s accepted at version %d\n", o.Key(), o.Version)
		last = o.Version
	}
	if !c.Wait {
		return nil
	}
	return c.waitInForce(last)
}

// waitInForce polls until every connected data centre has the revision.
func (c *applyCommand) waitInForce(revision int64) error {
	deadline := time.Now().Add(c.Timeout)
	for {
		s := adminserver.Status{}
		if err := c.call(http.MethodGet, "/v1/status", 0, nil, &s); err != nil {
			return fmt.Errorf("apply: %w", err)
		}
		behind, cutOff := []string{}, []string{}
		for _, d := range s.DataCenters {
			switch {
			case !d.Connected:
				cutOff = append(cutOff, d.Name)
			case d.Revision < revision:
				behind = append(behind, d.Name)
			}
		}
		if len(behind) == 0 {
			_, _ = fmt.Fprintf(c.out, "in force at revision %d in every connected data centre\n", revision)
			if len(cutOff) > 0 {
				_, _ = fmt.Fprintf(c.out, "not connected: %s\n", strings.Join(cutOff, ", "))
			}
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", errNotInForce, strings.Join(behind, ", "))
		}
		time.Sleep(statusPoll)
	}
}

type target struct {
	Kind string `positional-arg-name:"kind" required:"true" description:"team, pool, deployment or assignment"`
	Name string `positional-arg-name:"name" description:"the object's name"`
}

type getCommand struct {
	*output
	remote
	Target target `positional-args:"true"`
}

// Execute prints objects in the form that apply takes.
func (c *getCommand) Execute([]string) error {
	if c.Target.Name != "" {
		o := parser.Object{}
		if err := c.call(http.MethodGet, objectPath(c.Target.Kind, c.Target.Name), 0, nil, &o); err != nil {
			return fmt.Errorf("get: %w", err)
		}
		return c.print(asManifest(o))
	}
	l := client.ObjectList{}
	if err := c.call(http.MethodGet, "/v1/objects/"+c.Target.Kind, 0, nil, &l); err != nil {
		return fmt.Errorf("get: %w", err)
	}
	list := []manifest{}
	for _, o := range l.Objects {
		list = append(list, asManifest(o))
	}
	return c.print(list)
}

func asManifest(o parser.Object) manifest {
	return manifest{Kind: o.Kind, Name: o.Name, Version: o.Version, Body: o.Body}
}

func (o *output) print(value any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

type watchCommand struct {
	*output
	remote
}

// Execute prints changes until it is interrupted.
func (c *watchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	after := int64(0)
	for ctx.Err() == nil {
		l := client.ObjectList{}
		if err := c.call(http.MethodGet, "/v1/watch?after="+strconv.FormatInt(after, 10), 0, nil, &l); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		for _, o := range l.Objects {
			_, _ = fmt.Fprintf(c.out, "%d %s deleted=%t by %q\n", o.Version, o.Key(), o.Deleted, o.ChangedBy)
		}
		after = max(after, l.Revision)
	}
	return nil
}

type deleteCommand struct {
	*output
	remote
	Version int64  `long:"version" required:"true" value-name:"N" description:"the version to delete, as get prints it"`
	Target  target `positional-args:"true" required:"true"`
}

// Execute deletes an object if its version is still the one given.
func (c *deleteCommand) Execute([]string) error {
	o := parser.Object{}
	if err := c.call(http.MethodDelete, objectPath(c.Target.Kind, c.Target.Name), c.Version, nil, &o); err != nil {
		return fmt.Errorf("delete: %w", err)
	}
	_, err := fmt.Fprintf(c.out, "%s deleted\n", o.Key())
	return err
}

type drainCommand struct {
	*output
	remote
}

// Execute has the node stop gracefully.
func (c *drainCommand) Execute([]string) error {
	if err := c.call(http.MethodPost, "/v1/drain", 0, nil, &struct{}{}); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	_, err := fmt.Fprintln(c.out, "draining")
	return err
}

type statusCommand struct {
	*output
	remote
	JSON bool `long:"json" description:"print JSON"`
}

// Execute prints the status of the system as the node sees it.
func (c *statusCommand) Execute([]string) error {
	s := adminserver.Status{}
	if err := c.call(http.MethodGet, "/v1/status", 0, nil, &s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if c.JSON {
		return c.print(s)
	}
	t := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "node %s in %s\tready=%t\twatching=%t\trevision=%d\n", s.Node, s.DataCenter, s.Ready, s.Watching, s.Revision)
	for _, d := range s.DataCenters {
		_, _ = fmt.Fprintf(t, "data centre %s\tconnected=%t\tnodes=%d\trevision=%d\n", d.Name, d.Connected, d.Nodes, d.Revision)
	}
	for _, d := range s.Deployments {
		_, _ = fmt.Fprintf(t, "deployment %s\twanted=%d\tserving=%d\tstranded=%d\t%s\n", d.Name, d.Wanted, d.Serving, d.StrandedVMs, d.HeldUpBy)
		for _, r := range d.Replicas {
			_, _ = fmt.Fprintf(t, "  replica %s\t%s\tepoch=%d\tserving=%t\tin_flight=%d\n", r.ID, r.State, r.Epoch, r.Serving, r.InFlight)
		}
	}
	return t.Flush()
}
