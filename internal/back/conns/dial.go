package conns

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval and probeCount bound how long a dead connection goes undetected.
	probeInterval = time.Second
	probeCount    = 2
	// maxUnacknowledgedTime bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	maxUnacknowledgedTime = 2500 * time.Millisecond
)

// KeepAlive configures TCP keep-alive probes, which detect dead idle connections.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// DialTCP dials over IPv4 with keep-alive probes and TCP_USER_TIMEOUT.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	return d.DialContext(ctx, "tcp4", address)
}

// SetUserTimeout sets TCP_USER_TIMEOUT on a socket; it fits net.Dialer.Control.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledgedTime.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
