package routes

import (
	"strings"

	"endivedeck.example/fault"
)

// Validate returns a fault.Malformed error that describes the first problem in
// the table, or nil if the table is valid.
func (t *Table) Validate() error {
	services := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" {
			return malformed("a service has no name")
		}
		if b := s.Scaling; b != nil && (b.Min < 0 || b.Max < max(b.Min, 1) || b.Boot < 0) {
			return malformed("service %q: the bounds of the number of servers are %d to %d, and %v until one has started", s.Name, b.Min, b.Max, b.Boot)
		}
		services[s.Name] = true
	}
	byMatchKey := map[matchKey]string{} // route names
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := r.matchKey()
		if other, taken := byMatchKey[key]; taken {
			return malformed("routes %q and %q share the host %q and the prefix %q", other, r.Name, key.host, key.prefix)
		}
		byMatchKey[key] = r.Name
	}
	return validateTeams(t.Teams)
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return malformed("route %q: the prefix %q doesn't begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return malformed("route %q: the timeout must be more than 0", r.Name)
	case len(r.Targets) == 0:
		return malformed("route %q: lists no service", r.Name)
	}
	total := 0.0
	for _, target := range r.Targets {
		if !services[target.Service] {
			return malformed("route %q: unknown service %q", r.Name, target.Service)
		}
		if target.Weight < 0 {
			return malformed("route %q: the weight of service %q is negative: %v", r.Name, target.Service, target.Weight)
		}
		total += target.Weight
	}
	if total <= 0 {
		return malformed("route %q: the weights of its services add up to 0", r.Name)
	}
	return nil
}

func malformed(format string, args ...any) error {
	return fault.New(fault.Malformed, fault.NotRun, format, args...)
}
