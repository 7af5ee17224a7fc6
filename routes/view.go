package routes

import (
	"net"
	"strings"

	"endivedeck.example/rank"
)

// View is the table that one process has in force. Its version only rises.
// Create it with NewView.
type View struct {
	mu       rank.Mutex
	version  uint64
	places   map[string]*Route // by host and prefix
	services map[string]*Service
	limits   Limits
}

// NewView returns a view with no table in force.
func NewView() *View { return &View{mu: rank.New(rank.Contract)} }

// Install puts t in force if it is newer, and reports whether it was.
func (v *View) Install(t Table) bool {
	places := make(map[string]*Route, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		places[strings.ToLower(r.Host)+r.Prefix] = r
	}
	services := make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		services[t.Services[i].Name] = &t.Services[i]
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if t.Version <= v.version && v.places != nil {
		return false
	}
	v.version = t.Version
	v.places = places
	v.services = services
	v.limits = t.Limits
	return true
}

// Version returns the version in force, and false while there is none.
func (v *View) Version() (uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version, v.places != nil
}

// Limits returns the bounds on what callers send.
func (v *View) Limits() Limits {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.limits
}

// Service returns the service of the given name, or nil.
func (v *View) Service(name string) *Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.services[name]
}

// Engines returns what is known of the engines of each service.
func (v *View) Engines() map[string]Engine {
	v.mu.Lock()
	defer v.mu.Unlock()
	engines := make(map[string]Engine, len(v.services))
	for name, s := range v.services {
		engines[name] = s.Engine
	}
	return engines
}

// RouteNames returns the names of the routes.
func (v *View) RouteNames() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := make(map[string]bool, len(v.places))
	for _, r := range v.places {
		names[r.Name] = true
	}
	return names
}

// Match returns the route with the longest prefix of path on a host, which may
// have a port, or nil, and the version that it is from. What it returns is
// shared and must not be changed.
func (v *View) Match(host, path string) (*Route, uint64) {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for end := len(path); ; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil, v.version
		}
		if r := v.places[host+path[:end+1]]; r != nil {
			return r, v.version
		}
	}
}
