package main

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 1500 * time.Millisecond
	keepAlive   = 10 * time.Second
	idleConns   = 64
)

// transport returns a transport that dials quickly and keeps a bounded number of idle connections.
func transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: time.Minute}
}

// freshTransport returns a transport that uses each connection once.
func freshTransport() *http.Transport {
	t := transport()
	t.DisableKeepAlives = true
	return t
}
