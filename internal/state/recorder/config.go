package recorder

import (
	"fmt"
	"maps"
	"sync"

	"github.com/gravitational/trace"

	"marjorammoor/internal/objects/parser"
)

// ConfigUpdate brings a board from one revision to another.
type ConfigUpdate struct {
	// From is the revision that the update continues; a board that is behind it
	// cannot take the update.
	From int64
	To   int64
	// Full says that Objects are all objects that exist at To.
	Full    bool
	Objects []parser.Object
}

// keptDeletions bounds how many deletions an update can continue from.
const keptDeletions = 4096

// configTable holds the configuration objects, parsed, at a revision.
type configTable struct {
	mu        sync.RWMutex
	revision  int64
	objects   map[parser.Key]parser.Object
	deletions []parser.Object
	// horizon is the oldest revision from which deletions are complete.
	horizon int64

	teams       map[string]*parser.TeamSpec
	pools       map[string]*parser.PoolSpec
	deployments map[string]*parser.DeploymentSpec
	assignments map[string]*Assignment
	credentials map[string]string
}

// Assignment is a parsed assignment with the version at which it is stored.
type Assignment struct {
	parser.AssignmentSpec
	Name    string
	Version int64
}

// apply takes an update and reports which kinds changed.
func (c *configTable) apply(u ConfigUpdate) (map[parser.Kind]bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()
	if u.To <= c.revision {
		return nil, nil
	}
	if !u.Full && u.From > c.revision {
		return nil, trace.CompareFailed("update continues revision %d, but %d is in force", u.From, c.revision)
	}
	changed := map[parser.Kind]bool{}
	for _, o := range u.Objects {
		if c.take(o) {
			changed[o.Kind] = true
		}
	}
	if u.Full {
		c.dropMissing(u, changed)
	}
	c.revision = u.To
	if changed[parser.KindTeam] {
		c.indexCredentials()
	}
	return changed, nil
}

func (c *configTable) start() {
	if c.objects != nil {
		return
	}
	c.objects = map[parser.Key]parser.Object{}
	c.teams = map[string]*parser.TeamSpec{}
	c.pools = map[string]*parser.PoolSpec{}
	c.deployments = map[string]*parser.DeploymentSpec{}
	c.assignments = map[string]*Assignment{}
	c.credentials = map[string]string{}
}

// take stores an object if it is newer than the stored one.
func (c *configTable) take(o parser.Object) bool {
	if o.Version <= c.objects[o.Key()].Version {
		return false
	}
	if o.Deleted {
		c.remove(o)
		return true
	}
	c.objects[o.Key()] = o
	c.parse(o)
	return true
}

func (c *configTable) remove(o parser.Object) {
	delete(c.objects, o.Key())
	switch o.Kind {
	case parser.KindTeam:
		delete(c.teams, o.Name)
	case parser.KindPool:
		delete(c.pools, o.Name)
	case parser.KindDeployment:
		delete(c.deployments, o.Name)
	case parser.KindAssignment:
		delete(c.assignments, o.Name)
	}
	o.Deleted, o.Body = true, nil
	c.deletions = append(c.deletions, o)
	if n := len(c.deletions) - keptDeletions; n > 0 {
		c.horizon = c.deletions[n-1].Version
		c.deletions = append([]parser.Object{}, c.deletions[n:]...)
	}
}

// parse keeps the parsed form. An object that does not parse was written by a
// newer version of the system; the last good form stays in force.
func (c *configTable) parse(o parser.Object) {
	switch o.Kind {
	case parser.KindTeam:
		keep(c.teams, o, parser.Team)
	case parser.KindPool:
		keep(c.pools, o, parser.Pool)
	case parser.KindDeployment:
		keep(c.deployments, o, parser.Deployment)
	case parser.KindAssignment:
		if a, err := parser.Assignment(o.Body); err == nil {
			c.assignments[o.Name] = &Assignment{AssignmentSpec: *a, Name: o.Name, Version: o.Version}
		}
	}
}

func keep[T any](table map[string]*T, o parser.Object, parse func([]byte) (*T, error)) {
	if v, err := parse(o.Body); err == nil {
		table[o.Name] = v
	}
}

// dropMissing removes what a full update does not hold.
func (c *configTable) dropMissing(u ConfigUpdate, changed map[parser.Kind]bool) {
	present := map[parser.Key]bool{}
	for _, o := range u.Objects {
		present[o.Key()] = true
	}
	for k, o := range c.objects {
		if !present[k] && o.Version <= u.To {
			o.Version = u.To
			c.remove(o)
			changed[k.Kind] = true
		}
	}
}

func (c *configTable) indexCredentials() {
	c.credentials = map[string]string{}
	for name, t := range c.teams {
		for _, h := range t.CredentialHashes {
			c.credentials[h] = name
		}
	}
}

// since returns an update that continues from a revision.
func (c *configTable) since(from int64) ConfigUpdate {
	c.mu.RLock()
	defer c.mu.RUnlock()
	u := ConfigUpdate{From: from, To: c.revision, Full: from < c.horizon || from == 0}
	if u.Full {
		u.From = 0
	}
	for _, o := range c.objects {
		if u.Full || o.Version > from {
			u.Objects = append(u.Objects, o)
		}
	}
	if u.Full {
		return u
	}
	for _, o := range c.deletions {
		if o.Version > from {
			u.Objects = append(u.Objects, o)
		}
	}
	return u
}

// ApplyConfig takes an update and publishes the tables that changed. Errors:
// trace.CompareFailed when the update continues a revision that the board has
// not reached.
func (b *Board) ApplyConfig(u ConfigUpdate) error {
	changed, err := b.config.apply(u)
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	for k := range changed {
		if k == parser.KindAssignment {
			b.Notify(TopicAssignments)
		} else {
			b.Notify(TopicConfig)
		}
	}
	if u.To > u.From {
		b.Notify(TopicRevision)
	}
	return nil
}

// Learn takes one object that the platform returned, if it is newer than the
// stored one. It does not move the revision.
func (b *Board) Learn(o parser.Object) {
	b.config.mu.Lock()
	b.config.start()
	took := b.config.take(o)
	if took && o.Kind == parser.KindTeam {
		b.config.indexCredentials()
	}
	b.config.mu.Unlock()
	switch {
	case !took:
	case o.Kind == parser.KindAssignment:
		b.Notify(TopicAssignments)
	default:
		b.Notify(TopicConfig)
	}
}

// ConfigSince returns an update that continues from a revision.
func (b *Board) ConfigSince(from int64) ConfigUpdate { return b.config.since(from) }

// Revision returns the revision up to which the board holds all configuration.
func (b *Board) Revision() int64 {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	return b.config.revision
}

// Object returns a configuration object as stored.
func (b *Board) Object(k parser.Key) (parser.Object, bool) {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	o, ok := b.config.objects[k]
	return o, ok
}

// Objects returns all configuration objects of a kind.
func (b *Board) Objects(kind parser.Kind) []parser.Object {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	list := []parser.Object{}
	for k, o := range b.config.objects {
		if k.Kind == kind {
			list = append(list, o)
		}
	}
	return list
}

// Team returns a team's policy, which must not be changed.
func (b *Board) Team(name string) (*parser.TeamSpec, bool) {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	t, ok := b.config.teams[name]
	return t, ok
}

// TeamByCredential returns the team that holds a credential, given the hex
// SHA-256 sum of the credential.
func (b *Board) TeamByCredential(hash string) (string, bool) {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	name, ok := b.config.credentials[hash]
	return name, ok
}

// Pool returns a pool, which must not be changed.
func (b *Board) Pool(name string) (*parser.PoolSpec, bool) {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	p, ok := b.config.pools[name]
	return p, ok
}

// Deployment returns a deployment, which must not be changed.
func (b *Board) Deployment(name string) (*parser.DeploymentSpec, bool) {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	d, ok := b.config.deployments[name]
	return d, ok
}

// Deployments returns a copy of the table of deployments.
func (b *Board) Deployments() map[string]*parser.DeploymentSpec {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	return maps.Clone(b.config.deployments)
}

// Teams returns a copy of the table of teams.
func (b *Board) Teams() map[string]*parser.TeamSpec {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	return maps.Clone(b.config.teams)
}

// Assignment returns a domain's assignment, which must not be changed.
func (b *Board) Assignment(name string) (*Assignment, bool) {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	a, ok := b.config.assignments[name]
	return a, ok
}

// Assignments returns the assignments of a data centre, or all if dataCenter is
// empty. They must not be changed.
func (b *Board) Assignments(dataCenter string) []*Assignment {
	b.config.mu.RLock()
	defer b.config.mu.RUnlock()
	list := []*Assignment{}
	for _, a := range b.config.assignments {
		if dataCenter == "" || a.DataCenter == dataCenter {
			list = append(list, a)
		}
	}
	return list
}
