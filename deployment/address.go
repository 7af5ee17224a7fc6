package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddress selects ports from minPort to below endPort. They are lower than
// the ephemeral ports, which the kernel assigns to sockets that aren't bound to
// a port, such as those of clients: a free ephemeral port may be assigned to a
// client before the caller of FreeAddress listens on it.
const (
	minPort      = 17_000
	endPort      = 32_000
	portAttempts = 200
)

// FreeAddress returns a loopback address for network, tcp or udp, whose port was
// free when checked and isn't an ephemeral port. If it finds none, it returns
// port 0.
func FreeAddress(network string) string {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(endPort-minPort))
		if canListen(network, address) {
			return address
		}
	}
	return "127.0.0.1:0"
}

func canListen(network, address string) bool {
	if network == "udp" {
		conn, err := net.ListenPacket(network, address)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}
	listener, err := net.Listen(network, address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
