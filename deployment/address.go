package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// FreeAddress selects ports from minPort to below endPort. They are lower than
// the ephemeral ports, which the kernel assigns to sockets that aren't bound to
// a port, such as those of clients: a free ephemeral port may be assigned to a
// client before the caller of FreeAddress listens on it.
const (
	minPort      = 17_000
	endPort      = 32_000
	portAttempts = 200

	reservationFolder = "endivedeck-ports" // in the folder for temporary files
)

// FreeAddress returns a loopback address for network, tcp or udp, whose port was
// free when checked, isn't an ephemeral port, and is returned to no other caller
// on this machine until the process ends. If it finds none, it returns port 0.
func FreeAddress(network string) string {
	for range portAttempts {
		port := minPort + rand.IntN(endPort-minPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if reservePort(network, port) && canListen(network, address) {
			return address
		}
	}
	return "127.0.0.1:0"
}

// reservePort reserves a port for this process by a file lock, which the kernel
// releases when the process ends. It returns false if the port is reserved.
func reservePort(network string, port int) bool {
	folder := filepath.Join(os.TempDir(), reservationFolder)
	if err := os.MkdirAll(folder, 0o777); err != nil {
		return false
	}
	// The descriptor stays open to keep the lock, and a second one for the same
	// port can't get the lock, not even in this process.
	fd, err := syscall.Open(filepath.Join(folder, network+"-"+strconv.Itoa(port)), syscall.O_CREAT|syscall.O_RDWR|syscall.O_CLOEXEC, 0o666)
	if err != nil {
		return false
	}
	if err := syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = syscall.Close(fd)
		return false
	}
	return true
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
