package seeds

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// seedVariable is the environment variable that overrides defaultSeed.
const seedVariable = "FOXTAILCROFT_SEED"

// defaultSeed is used unless seedVariable is set.
const defaultSeed = 20261204

// FromEnvironment returns the seed from FOXTAILCROFT_SEED, or the default seed if the
// variable is unset or not a number.
func FromEnvironment() uint64 {
	n, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
	if err != nil {
		return defaultSeed
	}
	return n
}

// RunTests runs a package's tests and exits. It sets the seed and the number of
// checks of rapid, unless the command line sets these flags, and prints the seed.
func RunTests(m *testing.M, checks int) {
	flag.Parse()
	givenFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { givenFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": fmt.Sprint(FromEnvironment()), "rapid.checks": fmt.Sprint(checks), "rapid.nofailfile": "true"} {
		if flag.Lookup(name) == nil || givenFlags[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Printf("%s=%d\n", seedVariable, FromEnvironment())
	os.Exit(m.Run())
}
