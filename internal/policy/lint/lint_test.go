package lint

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
)

// valid returns a document without findings.
func valid() *site.Draft {
	return &site.Draft{
		Version: 3,
		Routes: []site.Route{
			{Name: "safe", Host: "h", Prefix: "/a/", Kind: site.Safe, Timeout: 2 * time.Second, ResponseGoal: time.Second, MaxAttempts: 2, Split: []site.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "stream", Host: "h", Prefix: "/b/", Kind: site.Streaming, Resumable: true, MaxAttempts: 3, Split: []site.WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 0}}},
		},
		Services: []site.Service{{Name: "s", Engine: &site.Engine{MaxLoadedAdapters: 1, Models: []site.Model{{Name: "m", AdapterCount: 9}}}}, {Name: "t"}},
		Accounts: []site.Account{
			{Name: "a", Keys: []site.KeyDigest{site.DigestKey("1"), site.DigestKey("1")}, Quota: site.Quota{PerSecond: 1, Burst: 1}},
			{Name: "b", Keys: []site.KeyDigest{site.DigestKey("2")}, Quota: site.Quota{PerSecond: 1, Burst: 50, CountsTokens: true, PlainTokens: 50}},
		},
	}
}

// text returns a finding in one line.
func text(f Finding) string {
	return fmt.Sprintf("%s %s %q %s %s", f.Kind, f.Path, f.Value, f.Text, f.Other)
}

// TestCheck guards against faults that are not reported, and against reports on documents without faults.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *site.Draft)
		want   []string
	}{
		{"valid", func(*site.Draft) {}, nil},
		{"empty", func(d *site.Draft) { *d = site.Draft{} }, nil},
		{"empty list of accounts", func(d *site.Draft) { d.Accounts = []site.Account{} }, []string{
			`contradiction Accounts "" is an empty list, so that requests need no key, as without the list `,
		}},
		{"goal equal to the timeout", func(d *site.Draft) { d.Routes[0].ResponseGoal = d.Routes[0].Timeout }, nil},
		{"goal without a timeout", func(d *site.Draft) { d.Routes[0].Timeout = 0 }, nil},
		{"goal above the timeout", func(d *site.Draft) { d.Routes[0].ResponseGoal = time.Minute }, []string{
			`contradiction Routes[0].Timeout "2s" ends requests before the response goal of 1m0s in Routes[0].ResponseGoal`,
		}},
		{"attempts of a stream that can't be resumed", func(d *site.Draft) { d.Routes[1].Resumable = false }, []string{
			`contradiction Routes[1].MaxAttempts "3" has no effect, because requests are not sent again with the kind in Routes[1].Kind`,
		}},
		{"same prefix on another host", func(d *site.Draft) { d.Routes[1].Prefix, d.Routes[1].Host = "/a/", "i" }, nil},
		{"same host and prefix", func(d *site.Draft) { d.Routes[1].Prefix, d.Routes[1].Host = "/a/", "H" }, []string{
			`unused Routes[1] "stream" gets no requests, because its host and prefix are those of Routes[0]`,
		}},
		{"service without a route", func(d *site.Draft) { d.Routes[1].Split = d.Routes[1].Split[:1] }, []string{`unused Services[1] "t" has no route `}},
		{"undeclared service", func(d *site.Draft) { d.Routes[0].Split[0].Service = "u" }, []string{`error Routes[0].Split[0].Service "u" is not the name of a service `}},
		{"account without keys", func(d *site.Draft) { d.Accounts[0].Keys = nil }, []string{`unused Accounts[0] "a" has no keys, and each route needs one `}},
		{"account without keys beside a keyless route", func(d *site.Draft) { d.Accounts[0].Keys, d.Routes[0].Keyless = nil, true }, nil},
		{"shared key", func(d *site.Draft) { d.Accounts[1].Keys[0] = site.DigestKey("1") }, []string{`error Accounts[1].Keys[0] "" is also a key of account "a", Accounts[0]`}},
		{"burst below one plain request", func(d *site.Draft) { d.Accounts[1].Quota.PlainTokens = 51 }, []string{
			`contradiction Accounts[1].Burst "50" is below the cost of one plain request, 51 in Accounts[1].PlainTokens`,
		}},
		{"burst below one request", func(d *site.Draft) { d.Accounts[0].Quota.Burst = 0 }, []string{`contradiction Accounts[0].Burst "0" is below the cost of one plain request, 1 `}},
		{"no limit and no burst", func(d *site.Draft) { d.Accounts[0].Quota = site.Quota{} }, nil},
		{"all faults of one document", func(d *site.Draft) {
			d.Routes[0].Kind, d.Accounts[0].Quota.PerSecond, d.Accounts[1].Name = "", -1, "a"
		}, []string{
			`error Routes[0].Kind "" must be one of safe, unsafe, streaming `, `error Accounts[0].PerSecond "-1" must not be negative `, `error Accounts[1].Name "a" is also the name of Accounts[0]`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := valid()
			c.change(d)
			var got []string
			for _, f := range Check(d) {
				got = append(got, text(f))
			}
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

// TestCompare guards against differences that are not reported, and against entries that only moved.
func TestCompare(t *testing.T) {
	priority := 3
	cases := []struct {
		name   string
		change func(d *site.Draft)
		want   []string
	}{
		{"equal", func(*site.Draft) {}, nil},
		{"moved", func(d *site.Draft) {
			d.Routes[0], d.Routes[1] = d.Routes[1], d.Routes[0]
			d.Accounts[0], d.Accounts[1] = d.Accounts[1], d.Accounts[0]
		}, nil},
		{"older", func(d *site.Draft) { d.Version = 2 }, []string{
			`error Version "2" is below 3, the version in force, so fronts ignore the document `, `difference Version "2" was "3" in the version in force `,
		}},
		{"field", func(d *site.Draft) { d.Services[0].Engine.Models[0].AdapterCount = 8 }, []string{
			`difference Services[0].Engine.Models[0].AdapterCount "8" was "9" in the version in force `,
		}},
		{"optional part", func(d *site.Draft) { d.Services[0].Engine, d.Accounts[0].Priority = nil, &priority }, []string{
			`difference Accounts[0].Priority "3" was "none" in the version in force `, `difference Services[0].Engine "" is only in the version in force `,
		}},
		{"renamed", func(d *site.Draft) { d.Routes[0].Name = "other" }, []string{
			`difference Routes[0] "other" is not in the version in force `, `difference Routes[0] "safe" is only in the version in force `,
		}},
		{"key", func(d *site.Draft) { d.Accounts[1].Keys[0] = site.DigestKey("3") }, []string{
			`difference Accounts[1].Keys[0] "" is not in the version in force `, `difference Accounts[1].Keys[0] "" is only in the version in force `,
		}},
		{"weight", func(d *site.Draft) { d.Routes[1].Split[1].Weight = 2 }, []string{
			`difference Routes[1].Split[1].Weight "2" is the weight, which was "0" in the version in force `,
		}},
		{"unit", func(d *site.Draft) { d.Accounts[0].Quota.CountsTokens = true }, []string{`difference Accounts[0].CountsTokens "tokens" was "requests" in the version in force `}},
		{"second entry of a name", func(d *site.Draft) { d.Routes = append(d.Routes, d.Routes[0]) }, []string{`difference Routes[2] "safe" is not in the version in force `}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := valid()
			c.change(d)
			var got []string
			for _, f := range Compare(valid(), d) {
				got = append(got, text(f))
			}
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}
