package kinds

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/fault"
)

// FuzzResource checks that every document is either rejected or encodes to the same JSON after a round trip.
func FuzzResource(f *testing.F) {
	for _, doc := range []string{
		`{"Kind":"Model","Name":"m","Spec":{"Version":"1","MemoryBytes":1,"MaxReplicas":1,"ColdStart":"5s"}}`,
		`{"Kind":"Adapter","Name":"a","Spec":{"Model":"m","Version":"1","MemoryBytes":1}}`,
		`{"Kind":"Service","Name":"s","Spec":{"IdempotentMethods":["GET"],"ClaimRetention":"1h"}}`,
		`{"Kind":"Policy","Name":"p","Spec":{"ColdStartPrice":1e3}}`,
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
