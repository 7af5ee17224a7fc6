package routes

import (
	"strings"

	"endivedeck.example/rank"
)

// View is the table in force in one process. Its version never decreases.
// Create it with NewView.
type View struct {
	mu           rank.Mutex
	version      uint64
	byMatchKey   map[matchKey]*Route // nil while no table is in force
	services     map[string]*Service
	limits       Limits
	keysRequired bool
	teams        teamIndex
	changed      chan struct{} // closed when another table is put in force
}

// NewView returns a view with no table in force.
func NewView() *View { return &View{mu: rank.New(rank.Contract), changed: make(chan struct{})} }

// Install puts t in force if it is newer than the current table, and reports
// whether it was. shadowed is the number of its routes that are never matched,
// since a later one has the same host and prefix. Validate refuses such tables,
// but one that was stored before it did may still come from a disk or a peer.
func (v *View) Install(t Table) (installed bool, shadowed int) {
	byMatchKey := make(map[matchKey]*Route, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		byMatchKey[r.matchKey()] = r
	}
	services := make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		services[t.Services[i].Name] = &t.Services[i]
	}
	teams := newTeamIndex(t.Teams)
	v.mu.Lock()
	defer v.mu.Unlock()
	if t.Version <= v.version && v.byMatchKey != nil {
		return false, 0
	}
	v.version = t.Version
	v.byMatchKey = byMatchKey
	v.services = services
	v.limits = t.Limits
	v.keysRequired = t.KeysRequired
	v.teams = teams
	close(v.changed)
	v.changed = make(chan struct{})
	return true, len(t.Routes) - len(byMatchKey)
}

// Version returns the version of the table in force, or false if there is none.
func (v *View) Version() (uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version, v.byMatchKey != nil
}

// Limits returns the limits of requests.
func (v *View) Limits() Limits {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.limits
}

// Changed returns a channel that is closed when another table is put in force.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Team returns the team that holds a key, or nil, and whether requests need a key.
// The team is shared and must not be modified.
func (v *View) Team(key string) (team *Team, required bool) {
	v.mu.Lock()
	teams, required := v.teams, v.keysRequired
	v.mu.Unlock()
	return teams.find(key), required
}

// Service returns the service with the given name, or nil.
func (v *View) Service(name string) *Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.services[name]
}

// Engines returns the description of the model engines of each service, by
// name.
func (v *View) Engines() map[string]Engine {
	v.mu.Lock()
	defer v.mu.Unlock()
	engines := make(map[string]Engine, len(v.services))
	for name, s := range v.services {
		engines[name] = s.Engine
	}
	return engines
}

// RouteNames returns the set of the routes' names.
func (v *View) RouteNames() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := make(map[string]bool, len(v.byMatchKey))
	for _, r := range v.byMatchKey {
		names[r.Name] = true
	}
	return names
}

// Match returns the route of host that has the longest matching prefix of path,
// or nil, and the version of the table. The case of host and a port in it are
// ignored. The route is shared and must not be modified.
func (v *View) Match(host, path string) (*Route, uint64) {
	host = canonicalHost(host)
	v.mu.Lock()
	defer v.mu.Unlock()
	for end := len(path); ; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil, v.version
		}
		if r := v.byMatchKey[matchKey{host, path[:end+1]}]; r != nil {
			return r, v.version
		}
	}
}
