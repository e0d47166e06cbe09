package accept

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Pending accepts a connection that waits in the listener's queue, and returns nil if there is none. It does not block.
// A close of the listener would reset what waits there.
func Pending(listener *net.TCPListener) *net.TCPConn {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil
	}
	accepted := -1
	err = raw.Control(func(listening uintptr) {
		descriptor, _, acceptErr := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if acceptErr == nil {
			accepted = descriptor
		}
	})
	if err != nil || accepted < 0 {
		return nil
	}
	file := os.NewFile(uintptr(accepted), "pending")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn.(*net.TCPConn)
}
