package estimate

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain sets a fixed rapid seed so that results are reproducible; -rapid.seed and
// -rapid.checks override it.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20261204")) }
