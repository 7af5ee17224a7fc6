package deployment

import (
	"net"
	"strconv"
	"testing"
)

// TestFreeAddress checks that FreeAddress returns no ephemeral ports. The kernel
// sometimes assigned such a port to a client socket before the process for which
// it was chosen could listen on it.
func TestFreeAddress(t *testing.T) {
	for _, network := range []string{"udp", "tcp"} {
		for range 50 {
			_, text, err := net.SplitHostPort(FreeAddress(network))
			if err != nil {
				t.Fatal(err)
			}
			port, err := strconv.Atoi(text)
			if err != nil || port < minPort || port >= endPort {
				t.Errorf("%s: got port %s, want one of %d to %d", network, text, minPort, endPort)
			}
		}
	}
}
