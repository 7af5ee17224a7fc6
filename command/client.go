package command

import (
	"net/http"
	"time"

	"endivedeck.example/internal/responses/connection"
)

const (
	dialTimeout          = 30 * time.Second
	maxResponseHeadBytes = 64 << 10
)

// newClient returns a client for a call to a process of the system.
func newClient() *http.Client {
	transport := connection.NewTransport(dialTimeout, maxResponseHeadBytes)
	transport.Proxy = http.ProxyFromEnvironment
	return &http.Client{Transport: transport}
}
