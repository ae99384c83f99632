// Package fuzzseed runs the tests of a package with fixed settings of the
// stateful fuzzer (pgregory.net/rapid), so that every run gives the same
// verdict. A setting on the command line goes before them, for long runs.
package fuzzseed

import (
	"flag"
	"os"
	"testing"
)

// Defaults are values of the fuzzer's flags by their names.
type Defaults map[string]string

// Seed returns defaults that fix the seed alone.
func Seed(seed string) Defaults { return Defaults{"rapid.seed": seed} }

// Main is the body of a package's TestMain. It does not return.
func Main(m *testing.M, defaults Defaults) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
