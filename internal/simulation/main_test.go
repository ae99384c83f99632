package simulation

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain fixes the seed of the property tests: the same verdict on every run.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("1")) }
