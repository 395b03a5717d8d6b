package front

import (
	"time"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/memory"
)

const (
	// fileDescriptors are the descriptors of the machine that are for files.
	fileDescriptors = 200
	// callerDescriptorTenths is the share of the other descriptors for callers' connections, in tenths.
	// The rest is for instances, other fronts, the store and the auxiliary servers.
	callerDescriptorTenths = 6
	// otherDescriptorTenths is the share for other fronts, the store and the auxiliary servers, in tenths.
	otherDescriptorTenths = 1
	// minCallerConnections is the least number of callers' connections, whatever the settings are.
	minCallerConnections = 16
	// maxUnknownPeers bounds the connections whose other end has not named itself. Two thousand fronts
	// that find a new planner at the same moment need a few milliseconds each.
	maxUnknownPeers = 512
	// unknownPeerDivisor is the share of the descriptors that such connections may have at most.
	unknownPeerDivisor = 16
	// unfinishedDivisor is the share of the memory that unfinished messages of other fronts may take, and
	// minUnfinishedBytes the least that they may.
	unfinishedDivisor  = 16
	minUnfinishedBytes = 2 << 20
	// auxiliaryConnections bounds the connections to the readiness page and to the metrics each.
	auxiliaryConnections = 16
	// auxiliaryTimeout bounds reading a header and writing an answer there, auxiliaryIdleTimeout the
	// time between two requests of a connection.
	auxiliaryTimeout     = 2 * time.Second
	auxiliaryIdleTimeout = 30 * time.Second
	// maxAuxiliaryHeaderBytes bounds the headers of the readiness check and of scrapes.
	maxAuxiliaryHeaderBytes = 8 << 10
)

// callerConnections returns how many connections of callers may be open.
func callerConnections(settings conf.Front) int {
	n := memory.MaxConnections(settings.MemoryBytes)
	if settings.FileDescriptors > 0 {
		n = min(n, (settings.FileDescriptors-fileDescriptors)*callerDescriptorTenths/10)
	}
	return max(n, minCallerConnections)
}

// instanceConnections returns how many connections to instances may be open, idle ones included: what
// callers and others leave; 0 if the descriptors are not bounded.
func instanceConnections(settings conf.Front) int {
	if settings.FileDescriptors <= 0 {
		return 0
	}
	n := settings.FileDescriptors - fileDescriptors
	return max(n-callerConnections(settings)-n*otherDescriptorTenths/10, minCallerConnections)
}

// unknownPeers returns how many connections may be open whose other end has not named itself.
func unknownPeers(settings conf.Front) int {
	if settings.FileDescriptors > 0 {
		return min(maxUnknownPeers, max(minCallerConnections, settings.FileDescriptors/unknownPeerDivisor))
	}
	return maxUnknownPeers
}

// unfinishedBytes returns how much messages of other fronts may take that have arrived in part.
func unfinishedBytes(settings conf.Front) int {
	return max(minUnfinishedBytes, int(settings.MemoryBytes/unfinishedDivisor))
}
