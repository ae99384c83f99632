package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
)

func TestExitCodes(t *testing.T) {
	for _, each := range []struct {
		line string
		code int
		says string
	}{
		{"--help", exitDone, "demo"},
		{"demo --help", exitDone, "--faults"},
		{"demo --no-such-flag", exitUsage, "no-such-flag"},
		{"demo --faults earthquake", exitFailed, "unknown fault"},
		{"demo --deployment no/such/directory", exitFailed, "no/such/directory"},
		{"emulate", exitUsage, "engine"},
		{"load --daemon 127.0.0.1:1 --token nobody:secret --programs 1 --rate 1000", exitFailed, "no token is given"},
		{"load --daemon 127.0.0.1:1 --token riders:x --token dispatchers:x --programs 1 --rate 1000 --patience 50ms --output json", exitFailed, "no program was completed"},
	} {
		var stdout, stderr bytes.Buffer
		line := each.line
		if strings.HasPrefix(line, "demo --faults") {
			line += " --deployment ../../deploy/voltkai"
		}
		code := run(context.Background(), strings.Fields(line), &stdout, &stderr)
		require.Equal(t, each.code, code, "%s: %s", line, stderr.String())
		require.Contains(t, stdout.String()+stderr.String(), each.says, line)
	}
}

// A run in which a promise was broken, or never checked, must fail.
func TestDemoFailsUnlessEveryPromiseWasCheckedAndKept(t *testing.T) {
	verdicts := promise.Check(&promise.Evidence{})
	for i := range verdicts {
		verdicts[i].Checked = 1
	}
	finish := func() error {
		var stdout, stderr bytes.Buffer
		command := &demoCommand{lab: &laboratory{stdout: &stdout, stderr: &stderr}, Output: "json"}
		return command.finish(&report.Report{Promises: verdicts})
	}
	require.NoError(t, finish())
	verdicts[3].Broken = 1
	require.Error(t, finish())
	verdicts[3].Broken, verdicts[7].Checked = 0, 0
	require.Error(t, finish())
}
