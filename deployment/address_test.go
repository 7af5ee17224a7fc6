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

// TestFreeAddressReserved draws so many ports that some would repeat by chance.
// Two processes that were given the same port could both find it free before the
// first listened on it; the file lock holds between processes as it does within
// one.
func TestFreeAddressReserved(t *testing.T) {
	const draws = 800 // 20 repetitions are expected without reservations
	seen := map[string]bool{}
	for range draws {
		address := FreeAddress("udp")
		if seen[address] {
			t.Errorf("got %s twice, want each port once", address)
		}
		seen[address] = true
	}
}
