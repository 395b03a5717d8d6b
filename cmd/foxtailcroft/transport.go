package main

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the time between two TCP keep-alive probes.
	keepAliveInterval   = 10 * time.Second
	maxIdleConnsPerHost = 64
	// maxResponseHeaderBytes bounds the head of a response, as a faulty back end may send one without end.
	maxResponseHeaderBytes = 64 << 10
)

// transport returns a transport with a short dial timeout and a bounded number of idle connections.
func transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxResponseHeaderBytes}
}
