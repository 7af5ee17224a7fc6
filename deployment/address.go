package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports that a system gives to sockets without an address of their own, as
// clients' are, begin above these. One of those would be free for a moment
// and then taken.
const (
	firstPort = 17_000
	lastPort  = 32_000
	portTries = 200
)

// FreeAddress returns a loopback address of network, tcp or udp, that was free
// a moment ago and isn't given to sockets that ask for any.
func FreeAddress(network string) string {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if free(network, address) {
			return address
		}
	}
	return "127.0.0.1:0"
}

func free(network, address string) bool {
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
