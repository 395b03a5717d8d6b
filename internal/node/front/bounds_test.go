package front

import (
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/memory"
)

// TestConnectionsLeaveDescriptors guards against settings whose bounds leave no descriptors for instances.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	for _, c := range []struct{ descriptors, callers, peers, instances int }{
		{0, memory.MaxConnections(0), 512, 0}, {400, 120, 25, 60}, {1024, 494, 64, 248}, {100, 16, 16, 16}, {1 << 14, memory.MaxConnections(0), 512, 12928},
	} {
		g := NewWithT(t)
		settings := conf.Front{FileDescriptors: c.descriptors}
		g.Expect(callerConnections(settings)).To(Equal(c.callers), "%d", c.descriptors)
		g.Expect(unknownPeers(settings)).To(Equal(c.peers), "%d", c.descriptors)
		g.Expect(instanceConnections(settings)).To(Equal(c.instances), "%d", c.descriptors)
	}
}
