package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

// update writes the golden files from the present output instead of comparing them.
var update = flag.Bool("update", false, "write the golden files")

// runCommand runs a command line in the directory of the test documents and returns its output and exit status.
func runCommand(args ...string) (output string, status int, err error) {
	var out strings.Builder
	cmd := rootCommand()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(io.Discard)
	if err = cmd.Execute(); err != nil {
		status = exitCode(err)
	}
	return out.String(), status, err
}

// TestConfigDiff compares whole reports with golden files. It guards against findings that are lost, that name
// a wrong place, or that show a key.
func TestConfigDiff(t *testing.T) {
	t.Chdir("testdata/diff")
	cases := []struct {
		name   string
		args   []string
		status int
	}{
		{"clean.txt", []string{"in-force.json"}, 0},
		{"clean-output.json", []string{"in-force.json", "--in-force", "in-force.json", "--output", "json"}, 0},
		{"changed.txt", []string{"changed.json", "--in-force", "in-force.json"}, 1},
		{"changed-output.json", []string{"changed.json", "--in-force", "in-force.json", "--output", "json"}, 1},
		{"reverted.txt", []string{"in-force.json", "--in-force", "changed.json"}, 1},
		{"rules.txt", []string{"rules.json"}, 1},
		{"types.txt", []string{"types.json", "--in-force", "in-force.json"}, 1},
		{"limits.txt", []string{"limits.json"}, 1},
		{"no-accounts.txt", []string{"no-accounts.json"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got, status, _ := runCommand(append([]string{"config", "diff"}, c.args...)...)
			g.Expect(status).To(Equal(c.status))
			g.Expect(got).NotTo(ContainSubstring("secret"))
			golden := filepath.Join("golden", c.name)
			if *update {
				g.Expect(os.WriteFile(golden, []byte(got), 0o600)).To(Succeed())
			}
			want, err := os.ReadFile(golden)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(string(want)))
		})
	}
}

// TestConfigDiffOfUnreadableInput guards against input that cannot be read and is taken for one with or
// without findings.
func TestConfigDiffOfUnreadableInput(t *testing.T) {
	t.Chdir("testdata/diff")
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"syntax.json"}, "syntax.json: line 3, column 14: invalid character '}' looking for beginning of value"},
		{[]string{"no-such.json"}, "no-such.json: no such file"},
		{[]string{"changed.json", "--in-force", "no-such.json"}, "no-such.json: no such file"},
		{[]string{"changed.json", "--in-force", "types.json"}, "types.json:2:3: version must be a whole number"},
		{[]string{"changed.json", "--in-force", "in-force.json", "--store", "127.0.0.1:1"}, "exclude each other"},
		{[]string{"changed.json", "--store", "127.0.0.1:1"}, "store at 127.0.0.1:1"},
		{[]string{"changed.json", "--output", "yaml"}, "neither text nor json"},
		{[]string{"changed.json", "--outptu", "json"}, "unknown flag"},
		{[]string{}, "needs one file"},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			g := NewWithT(t)
			out, status, err := runCommand(append([]string{"config", "diff"}, c.args...)...)
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			g.Expect(status).To(Equal(2))
			g.Expect(out).To(BeEmpty())
		})
	}
}

// TestConfigDiffReadsTheStore guards against a comparison with another version than the one in force.
func TestConfigDiffReadsTheStore(t *testing.T) {
	t.Chdir("testdata/diff")
	g := NewWithT(t)
	memory := kvsim.NewMemoryStore(1)
	server := httptest.NewServer(fake.NewStore(memory))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	_, status, err := runCommand("config", "diff", "changed.json", "--store", address)
	g.Expect(status).To(Equal(2))
	g.Expect(err).To(MatchError(ContainSubstring("has no document")))

	data, err := os.ReadFile("in-force.json")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = memory.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: platform.DocumentKey, Value: data}}})
	g.Expect(err).NotTo(HaveOccurred())
	out, status, _ := runCommand("config", "diff", "in-force.json", "--store", address)
	g.Expect(status).To(BeZero(), out)
	out, status, _ = runCommand("config", "diff", "changed.json", "--store", address, "--output", "json")
	g.Expect(status).To(Equal(1))
	want, err := os.ReadFile("golden/changed-output.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(strings.ReplaceAll(string(want), `"File": "in-force.json"`, `"File": "op/config"`)))
	g.Expect(json.Valid([]byte(out))).To(BeTrue())
}
