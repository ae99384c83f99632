package recordlog_test

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain fixes the seed of rapid, so that every run has the same result; -rapid.seed and
// -rapid.checks override it.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20261202")) }
