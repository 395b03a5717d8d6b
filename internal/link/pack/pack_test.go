package pack

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// document returns lines with random parts, n of them.
func document(n int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	for range n {
		fmt.Fprintf(&b, `{"name":"%x","host":"%x.example","kind":"unsafe","timeoutMs":5000,"responseGoalMs":800},`, r.Uint32(), r.Uint32())
	}
	return []byte(b.String())
}

func TestEncodedValuesAreDecoded(t *testing.T) {
	long := document(9000)
	for _, c := range []struct {
		name        string
		value, base []byte
		// most is the largest share of the value that its encoding may have.
		most float64
	}{
		{"alone", long, nil, 0.4},
		{"one line more at the start", append([]byte("{}"), long...), long, 0.01},
		{"lines more at the end", long, long[:len(long)*3/4], 0.15},
		{"shorter", long[:len(long)/2], long, 0.01},
		{"a base of other bytes", long, []byte(strings.Repeat("x", 1000)), 0.4},
		{"empty", nil, long, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			data, err := Encode(c.value, c.base)
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%d bytes in %d", len(c.value), len(data))
			g.Expect(float64(len(data))).To(BeNumerically("<=", max(32, c.most*float64(len(c.value)))))
			out, err := Decode(data, c.base, len(c.value))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(out) == string(c.value)).To(BeTrue())
		})
	}
}

func TestDecodeRefusesWhatWasNotEncoded(t *testing.T) {
	g := NewWithT(t)
	value := document(2000)
	data, err := Encode(value, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(data, nil, len(value)/2)
	g.Expect(err).To(HaveOccurred(), "a value over the bound")
	data[len(data)/2] ^= 1
	_, err = Decode(data, nil, len(value))
	g.Expect(err).To(HaveOccurred(), "a changed byte")
}
