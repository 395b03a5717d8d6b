//go:build soak

package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// proxy forwards loopback connections to a target and injects link faults.
type proxy struct {
	lis    net.Listener
	target string
	mu     sync.Mutex
	// openConns holds both ends of each forwarded connection.
	openConns map[net.Conn]bool
	// silent drops all bytes, refuseNew closes new connections, and delay is the
	// delay before each forwarded read.
	silent    bool
	refuseNew bool
	delay     time.Duration
	// silentToCaller drops only the bytes to the caller.
	silentToCaller bool
	// repeats sends a connection's last response once more, before the one to its next request.
	repeats bool
	group   conc.WaitGroup
}

// newProxy starts a proxy on a free loopback port.
func newProxy(target string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, openConns: map[net.Conn]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.lis.Addr().String() }

// accept accepts connections and forwards them until the listener closes.
func (p *proxy) accept() {
	for {
		in, err := p.lis.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuseNew, target := p.refuseNew, p.target
		p.mu.Unlock()
		if refuseNew {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.openConns[in], p.openConns[out] = true, true
		p.mu.Unlock()
		last := &lastResponse{}
		p.group.Go(func() { p.copy(out, in, last, false) })
		p.group.Go(func() { p.copy(in, out, last, true) })
	}
}

// lastResponse holds the bytes that went to the caller of a connection since its last request.
type lastResponse struct {
	mu    sync.Mutex
	bytes []byte
}

// maxRepeatedBytes bounds a response that is sent once more.
const maxRepeatedBytes = 4 << 10

func (l *lastResponse) add(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bytes)+len(data) <= maxRepeatedBytes {
		l.bytes = append(l.bytes, data...)
	}
}

func (l *lastResponse) take() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.bytes
	l.bytes = nil
	return out
}

// copy forwards the bytes of one direction until an end closes.
func (p *proxy) copy(dst, src net.Conn, last *lastResponse, toCaller bool) {
	defer p.closeConns(dst, src)
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		drop, delay, repeats := p.silent || p.silentToCaller && toCaller, p.delay, p.repeats
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && toCaller {
			last.add(buf[:n])
		}
		if n > 0 && !toCaller {
			if response := last.take(); repeats && len(response) > 0 {
				// The caller may have closed the connection.
				_, _ = src.Write(response)
			}
		}
		if n > 0 && !drop {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// While bytes are dropped, the close is not forwarded either, as in a network partition.
			for err == io.EOF && p.drops(toCaller) {
				time.Sleep(50 * time.Millisecond)
			}
			return
		}
	}
}

// drops reports whether the proxy drops bytes of a direction.
func (p *proxy) drops(toCaller bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent || p.silentToCaller && toCaller
}

// closeConns closes connections and forgets them.
func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.openConns, c)
	}
}

// reset closes all forwarded connections, with a TCP RST.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.openConns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.openConns)
}

// update changes the faults of the proxy under its lock.
func (p *proxy) update(change func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// clearFaults ends all faults of the proxy.
func (p *proxy) clearFaults() {
	p.update(func(p *proxy) {
		p.silent, p.refuseNew, p.silentToCaller, p.repeats, p.delay = false, false, false, false, 0
	})
}

func (p *proxy) close() {
	_ = p.lis.Close()
	p.clearFaults()
	p.reset()
	p.group.Wait()
}
