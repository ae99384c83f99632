package flowcontrol

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain fixes the seed of rapid, so that the verdict is the same on every
// run; -rapid.seed and -rapid.checks take over.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20261203")) }
