//go:build soak

package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// untrustedCount is the number of clients that hold unfinished requests, with bodies of up to 1 MB.
	untrustedCount = 96
	// maxUntrustedHold bounds how long one holds a request.
	maxUntrustedHold = 4 * time.Second
	// frontMemoryMb is the memory of a front's machine in its settings.
	frontMemoryMb = 200
)

// runUntrusted sends unfinished requests to the fronts until the context ends.
func (d *deployment) runUntrusted(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	for ctx.Err() == nil {
		d.holdUnfinished(ctx, rnd)
	}
}

// holdUnfinished sends a part of a request to a random front and keeps the connection for a while.
// Errors don't matter: fronts are killed, and may close the connection.
func (d *deployment) holdUnfinished(ctx context.Context, rnd *rand.Rand) {
	hold := time.Duration(rnd.Int64N(int64(maxUntrustedHold)))
	size := 1 + rnd.IntN(1<<20)
	const head = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
	var text []byte
	switch rnd.IntN(5) {
	case 0:
		text = []byte(head)
	case 1:
		text = append([]byte(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)), bytes.Repeat([]byte("x"), size-1)...)
	case 2:
		text = append([]byte(head+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size)), bytes.Repeat([]byte("x"), size-1)...)
	case 3:
		text = append([]byte(head+"Transfer-Encoding: chunked\r\n\r\n"), bytes.Repeat([]byte("1\r\nx\r\n"), size/8)...)
	case 4:
		text = append([]byte(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<30)), bytes.Repeat([]byte("x"), size)...)
	}
	// From another address, as their ports would be taken from those that fronts are about to listen on.
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	conn, err := dialer.DialContext(ctx, "tcp", d.fronts[rnd.IntN(len(d.fronts))].callers)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(maxUntrustedHold))
	_, _ = conn.Write(text)
	select {
	case <-time.After(hold):
	case <-ctx.Done():
	}
}

// checkMemory fails the test if a front has ended, or has held more memory than its machine has since
// its latest start.
func (d *deployment) checkMemory(seed uint64) {
	for _, f := range d.fronts {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
		if err != nil {
			d.t.Errorf("seed %d: %s has ended: %v", seed, f.name, err)
			continue
		}
		for line := range strings.Lines(string(status)) {
			value, ok := strings.CutPrefix(line, "VmHWM:")
			if !ok {
				continue
			}
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil || kb >= frontMemoryMb<<10 {
				d.t.Errorf("seed %d: %s held %d KB of %d MB: %v", seed, f.name, kb, frontMemoryMb, err)
			}
			d.t.Logf("seed %d: %s held %d KB at the most", seed, f.name, kb)
		}
	}
}
