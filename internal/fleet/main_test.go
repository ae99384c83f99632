package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed and enough steps, unless flags
// say otherwise.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20261202", "rapid.steps": "150", "rapid.checks": "150"}
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
