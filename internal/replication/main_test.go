package replication

import (
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// TestMain keeps the log out of the results.
func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
