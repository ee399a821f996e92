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
	"marjorammoor/internal/network/dialer"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
)

const (
	// callTimeout is longer than a node holds a watch request without changes.
	callTimeout = 40 * time.Second
	// statusPollInterval is the time between two status calls of apply --wait.
	statusPollInterval = 100 * time.Millisecond
)

// adminClient calls a node's administration interface. It is embedded in the commands
// that do so and adds their common flags.
type adminClient struct {
	Admin    string `short:"a" long:"admin" default:"127.0.0.1:9901" env:"MARJORAMMOOR_ADMIN" value-name:"IP:PORT" description:"administration address of a node"`
	Token    string `long:"token" env:"MARJORAMMOOR_TOKEN" default-mask:"none" value-name:"TOKEN" description:"the administration token"`
	Operator string `long:"operator" env:"MARJORAMMOOR_OPERATOR" value-name:"NAME" description:"name of the operator, which is stored with each change"`
}

// call sends a request to the node and decodes the response body into target. It sends
// version as If-Match, unless it is client.MustNotExist.
func (c *adminClient) call(method, path string, version int64, body []byte, target any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Admin+path, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("admin: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set(adminserver.HeaderOperator, c.Operator)
	if version != client.MustNotExist {
		req.Header.Set("If-Match", strconv.FormatInt(version, 10))
	}
	resp, err := (&dialer.Dialer{Timeout: callTimeout}).HTTPClient(-1).Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "cannot reach a node at %s", c.Admin)
	}
	defer resp.Body.Close() //nolint:errcheck
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "read response")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return failureError(resp.StatusCode, respBody)
	}
	if err := json.Unmarshal(respBody, target); err != nil {
		return trace.BadParameter("decode node's response: %v", err)
	}
	return nil
}

// failureError turns an error response into an error. exitCode derives the exit code
// from the error's type.
func failureError(status int, body []byte) error {
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
		return trace.CompareFailed("%s", conflictMessage(f))
	default:
		return trace.ConnectionProblem(nil, "%s (%s)", f.Error, f.Reason)
	}
}

// conflictMessage adds the stored object to the message of a conflict.
func conflictMessage(f adminserver.Failure) string {
	if f.Stored == nil {
		return f.Error
	}
	return fmt.Sprintf("%s: version %d by %q is stored:\n%s", f.Error, f.Stored.Version, f.Stored.ChangedBy, f.Stored.Body)
}

func objectPath(kind, name string) string { return "/v1/objects/" + kind + "/" + name }

type applyCommand struct {
	*output
	adminClient
	File    string        `short:"f" long:"file" required:"true" value-name:"FILE" description:"file with objects, in JSON with comments"`
	Wait    bool          `short:"w" long:"wait" description:"wait until the change is in force in every connected data centre"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"how long --wait waits"`
}

// Execute applies the objects of a file in their order and stops at the first one that
// is not accepted.
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

// waitInForce polls the status until the revision is in force in every connected data
// centre.
func (c *applyCommand) waitInForce(revision int64) error {
	deadline := time.Now().Add(c.Timeout)
	for {
		s := adminserver.Status{}
		if err := c.call(http.MethodGet, "/v1/status", 0, nil, &s); err != nil {
			return fmt.Errorf("apply: %w", err)
		}
		behind, disconnected := []string{}, []string{}
		for _, d := range s.DataCenters {
			switch {
			case !d.Connected:
				disconnected = append(disconnected, d.Name)
			case d.Revision < revision:
				behind = append(behind, d.Name)
			}
		}
		if len(behind) == 0 {
			_, _ = fmt.Fprintf(c.out, "in force at revision %d in every connected data centre\n", revision)
			if len(disconnected) > 0 {
				_, _ = fmt.Fprintf(c.out, "not connected: %s\n", strings.Join(disconnected, ", "))
			}
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", errNotInForce, strings.Join(behind, ", "))
		}
		time.Sleep(statusPollInterval)
	}
}

// objectRef holds the arguments that name an object.
type objectRef struct {
	Kind string `positional-arg-name:"kind" required:"true" description:"team, pool, deployment or assignment"`
	Name string `positional-arg-name:"name" description:"the object's name"`
}

type getCommand struct {
	*output
	adminClient
	Target objectRef `positional-args:"true"`
}

// Execute prints one object or all objects of a kind, in the format that apply reads.
func (c *getCommand) Execute([]string) error {
	if c.Target.Name != "" {
		o := parser.Object{}
		if err := c.call(http.MethodGet, objectPath(c.Target.Kind, c.Target.Name), 0, nil, &o); err != nil {
			return fmt.Errorf("get: %w", err)
		}
		return c.print(toManifest(o))
	}
	l := client.ObjectList{}
	if err := c.call(http.MethodGet, "/v1/objects/"+c.Target.Kind, 0, nil, &l); err != nil {
		return fmt.Errorf("get: %w", err)
	}
	list := []manifest{}
	for _, o := range l.Objects {
		list = append(list, toManifest(o))
	}
	return c.print(list)
}

func toManifest(o parser.Object) manifest {
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
	adminClient
}

// Execute prints changes until it is interrupted. A watch request without changes
// returns an empty list and is repeated.
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
	adminClient
	Version int64     `long:"version" required:"true" value-name:"N" description:"the object's current version, as printed by get"`
	Target  objectRef `positional-args:"true" required:"true"`
}

// Execute deletes an object if its stored version is the one given.
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
	adminClient
}

// Execute makes the node stop gracefully and returns without waiting for the stop.
func (c *drainCommand) Execute([]string) error {
	if err := c.call(http.MethodPost, "/v1/drain", 0, nil, &struct{}{}); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	_, err := fmt.Fprintln(c.out, "draining")
	return err
}

type statusCommand struct {
	*output
	adminClient
	JSON bool `long:"json" description:"print JSON"`
}

// Execute prints the node's view of the system as a table or as JSON.
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
