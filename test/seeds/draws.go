package seeds

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// variable is the environment variable that names another seed.
const variable = "FOXTAILCROFT_SEED"

const defaultSeed = 20261204

// FromEnvironment returns the seed of this run.
func FromEnvironment() uint64 {
	n, err := strconv.ParseUint(os.Getenv(variable), 10, 64)
	if err != nil {
		return defaultSeed
	}
	return n
}

// RunTests runs a package's tests with rapid's draws fixed by the seed and its
// number of checks, unless flags say otherwise.
func RunTests(m *testing.M, checks int) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": fmt.Sprint(FromEnvironment()), "rapid.checks": fmt.Sprint(checks), "rapid.nofailfile": "true"} {
		if flag.Lookup(name) == nil || set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Printf("%s=%d\n", variable, FromEnvironment())
	os.Exit(m.Run())
}
