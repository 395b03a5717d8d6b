package conf

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	sample "foxtailcroft/examples"
)

func TestExamplesAreValid(t *testing.T) {
	targets := map[string]any{
		"entry": &Entry{}, "agent": &Agent{}, "service-agent": &Agent{},
		"standin-platform": &StandinPlatform{}, "standin-engine": &StandinEngine{}, "standin-service": &StandinService{},
	}
	for _, role := range ExampleRoles() {
		t.Run(role, func(t *testing.T) {
			g := NewWithT(t)
			text, err := Example(role)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(Decode(role, []byte(text), targets[role])).To(Succeed())
		})
	}
}

func TestErrorNamesFileLineFieldAndValue(t *testing.T) {
	cases := []struct {
		name, text string
		want       InvalidSetting
	}{
		{"unknown field", "Node:\n  Nam: x\n", InvalidSetting{Line: 2, Field: "Nam"}},
		{"bad duration", "GoneAfter: soon\n", InvalidSetting{Line: 1, Field: "GoneAfter", Value: "soon"}},
		{"bad duration in braces", "Node: {Name: a, Region: r, Domain: d}\nDrain: {Notice: 1s, Limit: 5}\n", InvalidSetting{Line: 2, Field: "Limit", Value: "5"}},
		{"wrong type", "Requests:\n  MaxInFlight: many\n", InvalidSetting{Line: 2, Field: "MaxInFlight", Value: "many"}},
		{"missing address", "Node: {Name: a, Region: r, Domain: d}\nListen:\n  Peers: 127.0.0.1:1\n", InvalidSetting{Line: 3, Field: "Listen.Callers"}},
		{"bad address", "Node: {Name: a, Region: r, Domain: d}\nListen:\n  Callers: here\n", InvalidSetting{Line: 3, Field: "Listen.Callers", Value: "here"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			entry := DefaultEntry()
			err := Decode("f.yaml", []byte(c.text), &entry)
			var w *InvalidSetting
			g.Expect(errors.As(err, &w)).To(BeTrue(), "%v", err)
			g.Expect(w.File).To(Equal("f.yaml"))
			g.Expect(w.Field).To(Equal(c.want.Field), "%v", err)
			g.Expect(w.Value).To(Equal(c.want.Value), "%v", err)
			g.Expect(w.Line).To(Equal(c.want.Line), "%v", err)
		})
	}
}

// TestAccountsOfOneFile guards against accounts of one file that share a key, and against an example that
// cannot be applied.
func TestAccountsOfOneFile(t *testing.T) {
	example, err := sample.Files.ReadFile("accounts/accounts.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	last := string(example[bytes.LastIndex(example, []byte("- "))+2:][:64])
	shared := "\n---\nKind: Account\nName: third\nSpec:\n  RatePerSecond: 1\n  Keys:\n    - " + last + "\n"
	cases := []struct {
		name, text, want string
	}{
		{"example", string(example), ""},
		{"key of another account", string(example) + shared, "f.yaml:37: field Spec.Keys[0]: value \"" + last[:8] + "...\" is also a key of Account \"nightly-reports\""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := DecodeResources("f.yaml", []byte(c.text))
			if c.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(c.want))
		})
	}
}

// FuzzSettings checks that no document makes the decoders panic.
func FuzzSettings(f *testing.F) {
	for _, role := range ExampleRoles() {
		text, err := Example(role)
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(text))
	}
	f.Add([]byte("Kind: Model\nName: m\nSpec: {Version: '1', MemoryBytes: 1, MaxReplicas: 1}\n---\nKind: Policy\n"))
	f.Add([]byte("Listen: [1, 2]\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(_ *testing.T, doc []byte) {
		entry, agent := DefaultEntry(), DefaultAgent()
		// Most documents are invalid, so errors are expected.
		_ = Decode("fuzz", doc, &entry)
		_ = Decode("fuzz", doc, &agent)
		_, _ = DecodeResources("fuzz", doc)
	})
}
