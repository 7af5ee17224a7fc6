package deployment

import (
	"net"
	"strconv"
	"testing"
)

// TestFreeAddress checks that addresses for processes to come aren't among
// those that the system gives to clients' sockets: such a one is seen here to
// be taken by the next client now and then.
func TestFreeAddress(t *testing.T) {
	for _, network := range []string{"udp", "tcp"} {
		for range 50 {
			_, text, err := net.SplitHostPort(FreeAddress(network))
			if err != nil {
				t.Fatal(err)
			}
			port, err := strconv.Atoi(text)
			if err != nil || port < firstPort || port >= lastPort {
				t.Errorf("%s: got port %s, want one of %d to %d", network, text, firstPort, lastPort)
			}
		}
	}
}
