// Package peer provides typed calls, notifications and stream messages between processes over
// pooled connections that detect dead peers by heartbeat.
package peer
