package schedule

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain sets a fixed seed for the property tests, so that test results are
// reproducible.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("1")) }
