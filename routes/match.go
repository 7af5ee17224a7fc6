package routes

import (
	"net"
	"strings"
)

// matchKey is what routes and requests are matched by. A table has at most one
// route for each.
type matchKey struct {
	host   string // as returned by canonicalHost
	prefix string
}

func (r *Route) matchKey() matchKey {
	return matchKey{host: canonicalHost(r.Host), prefix: r.Prefix}
}

// canonicalHost returns the form in which hosts are compared, those of routes as
// well as those of requests: in lower case (RFC 9110, section 4.2.3), without a
// port and without the brackets of an IPv6 address.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
	return strings.ToLower(host)
}
