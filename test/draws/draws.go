package draws

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

// Seed returns the seed of this run.
func Seed() uint64 {
	n, err := strconv.ParseUint(os.Getenv(variable), 10, 64)
	if err != nil {
		return defaultSeed
	}
	return n
}

// Main runs a package's tests with rapid's draws fixed by the seed and its
// number of checks, unless flags say otherwise.
func Main(m *testing.M, checks int) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": fmt.Sprint(Seed()), "rapid.checks": fmt.Sprint(checks), "rapid.nofailfile": "true"} {
		if flag.Lookup(name) == nil || set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Printf("%s=%d\n", variable, Seed())
	os.Exit(m.Run())
}
