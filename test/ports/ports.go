package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// The ports are below those that Linux assigns to outgoing connections by default, 32768 and up, one
// of which could be taken between a call and the moment at which the process listens.
const (
	first = 10_000
	last  = 32_000
	// maxAttempts bounds the ports that are tried.
	maxAttempts = 1000
)

var (
	mu    sync.Mutex
	taken = map[int]bool{}
)

// Free returns a loopback port that is free and that no earlier call of this process returned.
func Free() (int, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		port := first + rand.IntN(last-first)
		if taken[port] {
			continue
		}
		lis, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		if err := lis.Close(); err != nil {
			return 0, err
		}
		taken[port] = true
		return port, nil
	}
	return 0, fmt.Errorf("no free loopback port in %d attempts", maxAttempts)
}
