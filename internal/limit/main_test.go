package limit

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain sets a fixed seed for rapid, so that test results are reproducible;
// -rapid.seed and -rapid.checks override it.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20260101")) }
