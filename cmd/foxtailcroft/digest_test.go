package main

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestDigest guards against digests that no key matches, and against errors that repeat the key.
func TestDigest(t *testing.T) {
	const digest = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef\n"
	cases := []struct {
		name, input string
		args        []string
		want        string
		err         error
	}{
		{"key", "test-key", nil, digest, nil},
		{"line break", "test-key\n", nil, digest, nil},
		{"other line break", "test-key\r\n", nil, digest, nil},
		{"empty", "\n", nil, "", errUnusableKey},
		{"two lines", "test-key\ntest-key\n", nil, "", errUnusableKey},
		{"space", "test key", nil, "", errUnusableKey},
		{"not ASCII", "test-këy", nil, "", errUnusableKey},
		{"too long", strings.Repeat("k", maxKeyBytes+1), nil, "", errUnusableKey},
		{"argument", "", []string{"test-key"}, "", errKeyArgument},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var out strings.Builder
			cmd := rootCommand()
			cmd.SetArgs(append([]string{"digest"}, c.args...))
			cmd.SetIn(strings.NewReader(c.input))
			cmd.SetOut(&out)
			cmd.SetErr(io.Discard)
			err := cmd.Execute()
			g.Expect(out.String()).To(Equal(c.want))
			if c.err == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(c.err))
		})
	}
}
