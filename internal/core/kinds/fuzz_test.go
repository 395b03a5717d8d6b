package kinds

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/fault"
)

// testDigest is the digest of the key "test-key".
const testDigest = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef"

// FuzzResource checks that every document is either rejected or encodes to the same JSON after a round trip.
func FuzzResource(f *testing.F) {
	for _, doc := range []string{
		`{"Kind":"Model","Name":"m","Spec":{"Version":"1","MemoryBytes":1,"MaxReplicas":1,"ColdStart":"5s"}}`,
		`{"Kind":"Adapter","Name":"a","Spec":{"Model":"m","Version":"1","MemoryBytes":1}}`,
		`{"Kind":"Service","Name":"s","Spec":{"IdempotentMethods":["GET"],"ClaimRetention":"1h"}}`,
		`{"Kind":"Policy","Name":"p","Spec":{"ColdStartPrice":1e3}}`,
		`{"Kind":"Account","Name":"c","Spec":{"Keys":["` + testDigest + `"],"RatePerSecond":2.5,"Burst":10,"Class":"urgent"}}`,
		`{"Kind":"Modell"}`, `{"Kind":"Model","Spec":{"Versio":1}}`, `{"Kind":"Model","Spec":{"ColdStart":7}}`, `[]`, `{"Kind":"Model","Spec":null}`, ``,
	} {
		f.Add([]byte(doc))
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		var r Resource
		if err := json.Unmarshal(doc, &r); err != nil {
			return
		}
		if Validate(r) != nil {
			return
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Resource
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			t.Fatalf("decoding the encoded resource %s failed: %v", encoded, err)
		}
		reencoded, err := json.Marshal(decoded)
		if err != nil || string(reencoded) != string(encoded) {
			t.Fatalf("a round trip changed %s to %s (%v)", encoded, reencoded, err)
		}
	})
}

func TestErrorNamesInvalidField(t *testing.T) {
	cases := []struct {
		doc, path string
	}{
		{`{"Kind":"Model","Name":"m","Spec":{"Versio":"1"}}`, "Spec.Versio"},
		{`{"Kind":"Model","Name":"m","Spec":{"Version":"1","MemoryBytes":-1,"MaxReplicas":1}}`, "Spec.MemoryBytes"},
		{`{"Kind":"Model","Name":"m","Spec":{"Version":"1","MemoryBytes":1,"MinReplicas":3,"MaxReplicas":1}}`, "Spec.MinReplicas"},
		{`{"Kind":"Model","Name":"M M","Spec":{"Version":"1","MemoryBytes":1,"MaxReplicas":1}}`, "Name"},
		{`{"Kind":"Model","Name":"m","Spec":{"Version":"1","MemoryBytes":"x","MaxReplicas":1}}`, "Spec.MemoryBytes"},
		{`{"Kind":"Thing","Name":"m"}`, "Kind"},
		{`{"Kind":"Service","Name":"s","Spec":{"IdempotentMethods":["FETCH"]}}`, "Spec.IdempotentMethods[0]"},
		{`{"Kind":"Policy","Name":"p","Spec":{"ColdStartPrice":0}}`, "Spec.ColdStartPrice"},
		{`{"Kind":"Account","Name":"c","Spec":{}}`, "Spec.Keys"},
		{`{"Kind":"Account","Name":"c","Spec":{"Keys":["` + testDigest + `","` + strings.ToUpper(testDigest) + `"]}}`, "Spec.Keys[1]"},
		{`{"Kind":"Account","Name":"c","Spec":{"Keys":["` + testDigest + `","` + testDigest + `"]}}`, "Spec.Keys[1]"},
		{`{"Kind":"Account","Name":"c","Spec":{"Keys":["` + testDigest + `"],"RatePerSecond":-1}}`, "Spec.RatePerSecond"},
		{`{"Kind":"Account","Name":"c","Spec":{"Keys":["` + testDigest + `"],"Burst":-1}}`, "Spec.Burst"},
		{`{"Kind":"Account","Name":"c","Spec":{"Keys":["` + testDigest + `"],"Class":"idle"}}`, "Spec.Class"},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			g := NewWithT(t)
			var r Resource
			err := json.Unmarshal([]byte(c.doc), &r)
			if err == nil {
				err = Validate(r)
			}
			var fieldErr *fault.InvalidField
			var fieldErrs *fault.InvalidFields
			if fault.As(err, &fieldErrs) {
				fieldErr = &fieldErrs.List[0]
			} else {
				g.Expect(fault.As(err, &fieldErr)).To(BeTrue(), "%v", err)
			}
			g.Expect(fieldErr.Path).To(Equal(c.path))
		})
	}
}

// TestKeyIsNotRepeatedInErrors guards against an operator's key, given in place of its digest, that ends up in
// the terminal or in a log.
func TestKeyIsNotRepeatedInErrors(t *testing.T) {
	for _, key := range []string{"secret-key", strings.Repeat("0", 63) + "g", ""} {
		g := NewWithT(t)
		err := Validate(Resource{Kind: Account, Name: "c", Account: &AccountSpec{Keys: []string{testDigest, key}}})
		g.Expect(err).To(MatchError(ContainSubstring("Spec.Keys[1]")))
		g.Expect(key == "" || !strings.Contains(err.Error(), key)).To(BeTrue(), "%v", err)
		err = Validate(Resource{Kind: Account, Name: "c", Account: &AccountSpec{Keys: []string{key, key}}})
		g.Expect(key == "" || !strings.Contains(err.Error(), key[:8])).To(BeTrue(), "%v", err)
	}
}

// TestClassAtMost guards against requests that are served in a higher class than their account's.
func TestClassAtMost(t *testing.T) {
	for _, c := range []struct{ asked, highest, want Class }{
		{Urgent, Interactive, Interactive},
		{Urgent, Patient, Patient},
		{Urgent, Urgent, Urgent},
		{Patient, Urgent, Patient},
		{Interactive, Interactive, Interactive},
	} {
		NewWithT(t).Expect(c.asked.AtMost(c.highest)).To(Equal(c.want))
	}
}
