package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAChangeOfSettingsDuringTheStartEndsNoRole begins roles whose settings cannot even be
// read, and tells this process that they have changed: without a handler that ends it. The
// handler stays: a signal may be delivered after the test.
func TestAChangeOfSettingsDuringTheStartEndsNoRole(t *testing.T) {
	for _, role := range []string{gatewayName, replicaName} {
		var shown strings.Builder
		code := run(t.Context(), []string{role, "--settings", filepath.Join(t.TempDir(), "none.yaml")}, &shown, &shown)
		require.NotEqual(t, exitDone, code)
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
}
