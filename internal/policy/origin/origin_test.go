package origin

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestDecide guards against unknown versions that count as equal, and against versions that are guessed.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		version  string
		basis    Basis
	}{
		{"nothing known", Evidence{}, "", Unrecorded},
		{"named", Evidence{Named: []string{"a"}, InPlay: []string{"a", "b"}}, "a", Named},
		{"named, outdated", Evidence{Named: []string{"a"}, IsOutdated: true}, "a", Named},
		{"named twice", Evidence{Named: []string{"a", "a"}, InPlay: []string{"b"}}, "a", Named},
		{"named differently", Evidence{Named: []string{"a", "b"}, InPlay: []string{"a"}}, "", Unversioned},
		{"named as unknown", Evidence{Named: []string{""}, InPlay: []string{"a"}}, "", Unversioned},
		{"named once as unknown", Evidence{Named: []string{"a", ""}, InPlay: []string{"a"}}, "", Unversioned},
		{"one version", Evidence{InPlay: []string{"a"}}, "a", OnlyVersion},
		{"one version, outdated", Evidence{InPlay: []string{"a"}, IsOutdated: true}, "", Unrecorded},
		{"one version, outdated and read", Evidence{InPlay: []string{"a"}, IsOutdated: true, IsRead: true}, "a", OnlyVersion},
		{"one unknown version", Evidence{InPlay: []string{""}}, "", Unversioned},
		{"two versions", Evidence{InPlay: []string{"a", "b"}}, "", Unrecorded},
		{"two versions, read", Evidence{InPlay: []string{"a", "b"}, IsRead: true}, "", Unrecorded},
		{"one settling", Evidence{InPlay: []string{"a", "b"}, Settling: []string{"b"}, IsRead: true}, "a", Settled},
		{"one settling, not read", Evidence{InPlay: []string{"a", "b"}, Settling: []string{"b"}}, "", Unrecorded},
		{"one settling, named", Evidence{Named: []string{"b"}, InPlay: []string{"a", "b"}, Settling: []string{"b"}, IsRead: true}, "b", Named},
		{"one settling, the other unknown", Evidence{InPlay: []string{"", "b"}, Settling: []string{"b"}, IsRead: true}, "", Unversioned},
		{"all settling", Evidence{InPlay: []string{"a", "b"}, Settling: []string{"a", "b"}, IsRead: true}, "", Unrecorded},
		{"two settled", Evidence{InPlay: []string{"a", "b", "c"}, Settling: []string{"b"}, IsRead: true}, "", Unrecorded},
		{"a version and an unknown one", Evidence{InPlay: []string{"a", ""}}, "", Unrecorded},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			version, basis := Decide(c.evidence)
			g.Expect(version).To(Equal(c.version))
			g.Expect(basis).To(Equal(c.basis))
			g.Expect(basis.IsKnown()).To(Equal(version != ""))
		})
	}
}
