//go:build soak

package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// proxy passes loopback connections on and harms them on demand.
type proxy struct {
	lis    net.Listener
	target string
	mu     sync.Mutex
	// open are the ends of the connections that pass through.
	open map[net.Conn]bool
	// silent swallows all bytes, refuse closes new connections, delay holds bytes back.
	silent bool
	refuse bool
	delay  time.Duration
	// oneWay swallows only the bytes towards the caller.
	oneWay bool
	group  conc.WaitGroup
}

func newProxy(target string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, open: map[net.Conn]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.lis.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.lis.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.open[in], p.open[out] = true, true
		p.mu.Unlock()
		p.group.Go(func() { p.copy(out, in, false) })
		p.group.Go(func() { p.copy(in, out, true) })
	}
}

func (p *proxy) copy(dst, src net.Conn, back bool) {
	defer p.end(dst, src)
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		swallow, delay := p.silent || p.oneWay && back, p.delay
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && !swallow {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A swallowed end of the connection stays unseen, as behind a partition.
			for err == io.EOF && p.swallows(back) {
				time.Sleep(50 * time.Millisecond)
			}
			return
		}
	}
}

func (p *proxy) swallows(back bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent || p.oneWay && back
}

func (p *proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.open, c)
	}
}

// reset cuts all connections that pass through.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.open)
}

// set changes what the proxy does to connections.
func (p *proxy) set(change func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *proxy) heal() {
	p.set(func(p *proxy) { p.silent, p.refuse, p.oneWay, p.delay = false, false, false, 0 })
}

func (p *proxy) close() {
	_ = p.lis.Close()
	p.heal()
	p.reset()
	p.group.Wait()
}
