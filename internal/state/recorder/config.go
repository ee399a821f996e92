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
	// From is the revision that the update continues. Unless the update is full, a
	// board at an earlier revision cannot apply it.
	From int64
	// To is the revision of the board after the update.
	To int64
	// Full means that Objects are all objects that exist at To, so that the board
	// removes all others.
	Full    bool
	Objects []parser.Object
}

// maxDeletions is the number of deletions that are kept for updates. An update from a
// revision before the oldest one is full.
const maxDeletions = 4096

// configTable holds the configuration objects at a revision, as stored and parsed.
type configTable struct {
	mu       sync.RWMutex
	revision int64
	objects  map[parser.Key]parser.Object
	// deletions are the last maxDeletions deleted objects, oldest first. From the
	// revision deletionsFrom on, they are complete.
	deletions     []parser.Object
	deletionsFrom int64

	// The parsed objects by name.
	teams       map[string]*parser.TeamSpec
	pools       map[string]*parser.PoolSpec
	deployments map[string]*parser.DeploymentSpec
	assignments map[string]*Assignment
	// credentials holds team names by the hash of a credential.
	credentials map[string]string
}

// Assignment is a parsed assignment with the version at which it is stored.
type Assignment struct {
	parser.AssignmentSpec
	Name    string
	Version int64
}

// apply applies an update and returns the kinds of which an object changed.
func (c *configTable) apply(u ConfigUpdate) (map[parser.Kind]bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initMaps()
	if u.To <= c.revision {
		return nil, nil
	}
	if !u.Full && u.From > c.revision {
		return nil, trace.CompareFailed("update starts at revision %d, but the board is at revision %d", u.From, c.revision)
	}
	changed := map[parser.Kind]bool{}
	for _, o := range u.Objects {
		if c.storeIfNewer(o) {
			changed[o.Kind] = true
		}
	}
	if u.Full {
		c.removeMissing(u, changed)
	}
	c.revision = u.To
	if changed[parser.KindTeam] {
		c.indexCredentials()
	}
	return changed, nil
}

func (c *configTable) initMaps() {
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

// storeIfNewer stores or deletes an object if its version is higher than the stored
// one, and reports whether it did.
func (c *configTable) storeIfNewer(o parser.Object) bool {
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

// remove deletes an object and keeps the deletion for updates.
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
	if n := len(c.deletions) - maxDeletions; n > 0 {
		c.deletionsFrom = c.deletions[n-1].Version
		c.deletions = append([]parser.Object{}, c.deletions[n:]...)
	}
}

// parse stores the parsed form of an object. An object that cannot be parsed was
// written by a newer version of the system; its last parsed form stays in use.
func (c *configTable) parse(o parser.Object) {
	switch o.Kind {
	case parser.KindTeam:
		storeParsed(c.teams, o, parser.Team)
	case parser.KindPool:
		storeParsed(c.pools, o, parser.Pool)
	case parser.KindDeployment:
		storeParsed(c.deployments, o, parser.Deployment)
	case parser.KindAssignment:
		if a, err := parser.Assignment(o.Body); err == nil {
			c.assignments[o.Name] = &Assignment{AssignmentSpec: *a, Name: o.Name, Version: o.Version}
		}
	}
}

func storeParsed[T any](table map[string]*T, o parser.Object, parse func([]byte) (*T, error)) {
	if v, err := parse(o.Body); err == nil {
		table[o.Name] = v
	}
}

// removeMissing removes the objects that a full update does not have, except those
// with a version after the update.
func (c *configTable) removeMissing(u ConfigUpdate, changed map[parser.Kind]bool) {
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

// updateSince returns an update from a revision to the current one. It is full if the
// revision is 0 or the deletions since then are no longer complete.
func (c *configTable) updateSince(from int64) ConfigUpdate {
	c.mu.RLock()
	defer c.mu.RUnlock()
	u := ConfigUpdate{From: from, To: c.revision, Full: from < c.deletionsFrom || from == 0}
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

// ApplyConfig applies an update and publishes the tables that changed. It returns
// trace.CompareFailed if the update starts at a revision that the board has not
// reached. An update to a revision that the board has reached changes no table.
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

// ApplyObject stores one object that the platform returned if it is newer than the
// stored one. It does not change the revision, because earlier changes may be
// missing.
func (b *Board) ApplyObject(o parser.Object) {
	b.config.mu.Lock()
	b.config.initMaps()
	stored := b.config.storeIfNewer(o)
	if stored && o.Kind == parser.KindTeam {
		b.config.indexCredentials()
	}
	b.config.mu.Unlock()
	switch {
	case !stored:
	case o.Kind == parser.KindAssignment:
		b.Notify(TopicAssignments)
	default:
		b.Notify(TopicConfig)
	}
}

// ConfigSince returns an update from a revision to the current one.
func (b *Board) ConfigSince(from int64) ConfigUpdate { return b.config.updateSince(from) }

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
