package config

import (
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// TestMain gives property tests a fixed seed.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20260101")) }
