package conns

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval and probeCount set how soon a silent connection is found dead.
	probeInterval = time.Second
	probeCount    = 2
	// unacknowledged bounds how long sent bytes may stay unacknowledged.
	unacknowledged = 2500 * time.Millisecond
)

// KeepAlive probes idle connections, so that a silent one is noticed.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// TCP dials over TCP with probes and a bound on unacknowledged bytes.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: Control}
	return d.DialContext(ctx, "tcp4", address)
}

// Control sets the bound on unacknowledged bytes on a socket.
func Control(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
