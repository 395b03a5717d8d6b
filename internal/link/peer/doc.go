// Package peer carries typed messages between the system's processes: connections, heartbeats and replacement.
package peer
