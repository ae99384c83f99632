package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/operator"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// daemonView is what a daemon would tell; the test sets it.
type daemonView struct {
	versions map[structs.NodeID]uint64
	counts   []plan.ProgramCount
	drained  []structs.NodeID
	// answersAfter is how long it takes to tell the versions.
	answersAfter time.Duration
}

func (v *daemonView) InForceVersions(context.Context) map[structs.NodeID]uint64 {
	time.Sleep(v.answersAfter)
	return v.versions
}
func (v *daemonView) Use(context.Context) plan.Usage {
	return plan.Usage{Complete: true, Counts: v.counts}
}
func (v *daemonView) Nodes() []structs.Node {
	return []structs.Node{
		{ID: "daemon-1", Zone: "nantou", State: structs.NodeAlive}, {ID: "daemon-2", Zone: "changhua", State: structs.NodeAlive},
		{ID: "daemon-3", Zone: "changhua", State: structs.NodeDead},
	}
}
func (v *daemonView) Engines() ([]structs.EngineStatus, bool) {
	return []structs.EngineStatus{{ID: "e1", Zone: "nantou", Loaded: []structs.LoadedModel{{Model: "swap-agent", Version: "3"}}}}, false
}
func (v *daemonView) Shards(context.Context) []operator.ShardStatus {
	return []operator.ShardStatus{{Shard: 0, Domain: "nantou", Members: []structs.NodeID{"daemon-1"}}}
}
func (v *daemonView) DrainNode(_ context.Context, id structs.NodeID) error {
	v.drained = append(v.drained, id)
	return nil
}

// bench is a platform stand-in and an operators' API over real HTTP.
type bench struct {
	t        *testing.T
	platform *emulator.Platform
	view     *daemonView
	address  string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, platform: emulator.NewPlatform(emulator.PlatformConfig{}), view: &daemonView{}}
	require.NoError(t, b.platform.Start())
	t.Cleanup(b.platform.Close)
	sum := sha256.Sum256([]byte("token-of-lin"))
	handler, err := operator.NewHandler(operator.HandlerOptions{
		Service:      operator.NewService(operator.Options{Platform: platform.NewClient(b.platform.Address(), http.DefaultClient), Backend: b.view}),
		TokensSHA256: map[string]string{"lin": hex.EncodeToString(sum[:])},
	})
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b.address = server.URL
	t.Setenv("BARLEYSHELF_OPERATOR_TOKEN", "token-of-lin")
	return b
}

// command runs one command line with JSON output and returns the code.
func (b *bench) command(into any, arguments ...string) int {
	var stdout, stderr bytes.Buffer
	arguments = append(arguments, "--address", b.address, "--output", "json")
	code := run(context.Background(), arguments, &stdout, &stderr)
	if into != nil {
		require.NoError(b.t, json.Unmarshal(stdout.Bytes(), into), stdout.String()+stderr.String())
	}
	return code
}

type planAnswer struct {
	ID          string
	Differences []structs.Difference
	Harms       []plan.Harm
}

// plan copies an example, lets edit change its text and plans it.
func (b *bench) plan(edit func(text string) string) planAnswer {
	dir := b.t.TempDir()
	paths, err := filepath.Glob("../../deploy/voltkai/*.yaml")
	require.NoError(b.t, err)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(b.t, err)
		require.NoError(b.t, os.WriteFile(filepath.Join(dir, filepath.Base(path)), []byte(edit(string(text))), 0o600))
	}
	var made planAnswer
	require.Equal(b.t, exitDone, b.command(&made, "plan", "-f", dir))
	return made
}

func unchanged(text string) string { return text }

func replaced(old, new string) func(string) string {
	return func(text string) string { return strings.Replace(text, old, new, 1) }
}

// TestAWaitThatRunsOutNamesTheDaemonsThatAreBehind has each look at the daemons take longer than
// the whole wait.
//
// An operator whose wait ran out was told "last look failed: context deadline exceeded" alone: the
// look was cut off with the wait. It came in 2 of 77 runs of the package beside load, where the first
// look took over 10 ms.
func TestAWaitThatRunsOutNamesTheDaemonsThatAreBehind(t *testing.T) {
	b := newBench(t)
	var applied applyReport
	planned := b.plan(unchanged)
	require.Equal(t, exitDone, b.command(&applied, "apply", planned.ID))
	b.view.versions = map[structs.NodeID]uint64{"daemon-1": uint64(applied.Version)}
	b.view.answersAfter = 200 * time.Millisecond
	var failed failureReport
	require.Equal(t, exitFailed, b.command(&failed, "apply", planned.ID, "--wait", "--wait-timeout", "10ms"))
	require.EqualValues(t, "not_in_force_everywhere", failed.Type)
	require.Contains(t, failed.Detail, "daemon-2 in changhua: no answer")
	require.NotContains(t, failed.Detail, "daemon-1")
	b.view.versions["daemon-2"] = uint64(applied.Version)
	require.Equal(t, exitDone, b.command(&applied, "apply", planned.ID, "--wait", "--wait-timeout", "10ms"), "the last look counts")
}

func TestPlanAndApplyToInForceEverywhere(t *testing.T) {
	b := newBench(t)
	first := b.plan(unchanged)
	var applied applyReport
	require.Equal(t, exitDone, b.command(&applied, "apply", first.ID))
	require.False(t, applied.Repeated)
	var again applyReport
	require.Equal(t, exitDone, b.command(&again, "apply", first.ID))
	require.Equal(t, applyReport{PlanID: first.ID, Version: applied.Version, Repeated: true}, again)

	b.view.versions = map[structs.NodeID]uint64{"daemon-1": uint64(applied.Version)}
	var failed failureReport
	require.Equal(t, exitFailed, b.command(&failed, "apply", first.ID, "--wait", "--wait-timeout", "10ms"))
	require.EqualValues(t, "not_in_force_everywhere", failed.Type)
	require.Contains(t, failed.Detail, "daemon-2 in changhua: no answer")
	require.NotContains(t, failed.Detail, "daemon-3")
	b.view.versions["daemon-2"] = uint64(applied.Version) + 1
	require.Equal(t, exitDone, b.command(&applied, "apply", first.ID, "--wait"))
	require.True(t, applied.Everywhere)
	require.Empty(t, b.plan(unchanged).Differences)
}

func TestSecondOfTwoPlansIsAConflictThatShowsBothChanges(t *testing.T) {
	b := newBench(t)
	require.Equal(t, exitDone, b.command(nil, "apply", b.plan(unchanged).ID))
	mine := b.plan(replaced("weight: 4", "weight: 5"))
	theirs := b.plan(replaced("turns: 40", "turns: 44"))
	require.Equal(t, exitDone, b.command(nil, "apply", theirs.ID))
	var failed failureReport
	require.Equal(t, exitConflict, b.command(&failed, "apply", mine.ID))
	require.EqualValues(t, "plan_conflict", failed.Type)
	require.Equal(t, "weight", failed.Conflict.Mine[0].Field.Value)
	require.Equal(t, theirs.ID, failed.Conflict.Theirs[0].PlanID)
	require.Equal(t, "budget.turns", failed.Conflict.Theirs[0].Differences[0].Field.Value)
	require.Contains(t, failed.Detail, "Tenant/riders weight: 4 -> 5")
	require.Contains(t, failed.Detail, "AgentProgram/door-session budget.turns: 40 -> 44")
	var state struct{ State string }
	require.Equal(t, exitDone, b.command(&state, "get", "plan", mine.ID))
	require.Equal(t, "superseded", state.State)
	var audit struct{ Records []structs.AuditRecord }
	require.Equal(t, exitDone, b.command(&audit, "get", "audit"))
	require.Len(t, audit.Records, 2)
	require.Equal(t, []string{"lin", theirs.ID}, []string{audit.Records[0].Operator, audit.Records[0].PlanID})
	require.Equal(t, audit.Records[1].Version, audit.Records[0].Base)
}

func TestHarmMustBeNamed(t *testing.T) {
	b := newBench(t)
	require.Equal(t, exitDone, b.command(nil, "apply", b.plan(unchanged).ID))
	harmless := b.plan(replaced("tools: [refund]", "tools: [cabinet-status]"))
	require.Empty(t, harmless.Harms)
	// Programs that were opened after the plan was made count as well.
	b.view.counts = []plan.ProgramCount{{Program: "refund", Tenant: "riders", Running: 3}}
	var failed failureReport
	require.Equal(t, exitRefused, b.command(&failed, "apply", harmless.ID, "--accept", "something-else"))
	require.EqualValues(t, "harm_not_accepted", failed.Type)
	require.Equal(t, "cut-off-program-refund", failed.Harms[0].Name)
	require.Equal(t, exitDone, b.command(nil, "apply", harmless.ID, "--accept", "cut-off-program-refund"))
}

func TestLostAnswersAndAPlatformThatIsDown(t *testing.T) {
	b := newBench(t)
	made := b.plan(unchanged)
	b.platform.Faults.LoseAnswer.Set(1)
	var applied applyReport
	require.Equal(t, exitDone, b.command(&applied, "apply", made.ID))
	require.Positive(t, applied.Version)
	b.platform.Faults.LoseAnswer.Set(0)
	b.platform.Faults.Down.Store(true)
	var failed failureReport
	require.Equal(t, exitFailed, b.command(&failed, "apply", made.ID))
	require.EqualValues(t, "platform_unavailable", failed.Type)
	require.EqualValues(t, "not_run", failed.Outcome)
	require.NotNil(t, failed.Retry)
}

func TestDrain(t *testing.T) {
	b := newBench(t)
	require.Equal(t, exitDone, b.command(nil, "apply", b.plan(unchanged).ID))
	var made planAnswer
	require.Equal(t, exitDone, b.command(&made, "drain", "zone", "changhua"))
	require.Equal(t, "draining", made.Differences[0].Field)
	require.Equal(t, exitDone, b.command(nil, "apply", made.ID))
	require.Equal(t, exitDone, b.command(&made, "drain", "zone", "changhua", "--undo"))
	require.Len(t, made.Differences, 1)
	require.Equal(t, exitRefused, b.command(nil, "drain", "zone", "atlantis"))
	require.Equal(t, exitDone, b.command(nil, "drain", "node", "daemon-2"))
	require.Equal(t, []structs.NodeID{"daemon-2"}, b.view.drained)
	require.Equal(t, exitRefused, b.command(nil, "drain", "node", "daemon-9"))
}

func TestEveryKindIsShownInBothForms(t *testing.T) {
	b := newBench(t)
	require.Equal(t, exitDone, b.command(nil, "apply", b.plan(unchanged).ID))
	for kind, shown := range map[string]string{
		"nodes": "daemon-3", "engines": "swap-agent 3", "shards": "daemon-1", "programs": "UNDER WAY", "configuration": "changhua+taichung-1",
		"in-force": "no answer", "audit": "confirmed by lin",
	} {
		var value map[string]any
		require.Equal(t, exitDone, b.command(&value, "get", kind))
		var stdout bytes.Buffer
		require.Equal(t, exitDone, run(context.Background(), []string{"get", kind, "--address", b.address}, &stdout, &stdout))
		require.Contains(t, stdout.String(), shown, kind)
	}
}

func TestExitCodesOfWrongUseAndRefusal(t *testing.T) {
	b := newBench(t)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(bad, []byte("kind: Zoo\n"), 0o600))
	cases := map[string]struct {
		code int
		kind string
	}{
		"apply":                            {exitUsage, "wrong_use"},
		"get fish":                         {exitUsage, "wrong_use"},
		"drain node a --undo":              {exitUsage, "wrong_use"},
		"apply plan-9-0123456789abcdef":    {exitRefused, "unknown_plan"},
		"get plan ../../config":            {exitRefused, "unknown_plan"},
		"plan -f " + filepath.Dir(bad):     {exitRefused, "invalid_declarations"},
		"validate --settings " + bad:       {exitRefused, "invalid_settings"},
		"validate --settings /does-not-be": {exitFailed, "settings_unreadable"},

		"validate --role gateway --settings " + bad:       {exitRefused, "invalid_settings"},
		"validate --role replica --settings /does-not-be": {exitFailed, "settings_unreadable"},
		"get nodes --token-file " + bad:                   {exitRefused, "unauthenticated"},
	}
	for line, wanted := range cases {
		var failed failureReport
		arguments := strings.Fields(line)
		if strings.HasPrefix(line, "validate") {
			arguments = append(arguments, "--output", "json")
			var stdout bytes.Buffer
			require.Equal(t, wanted.code, run(context.Background(), arguments, &stdout, &stdout), line)
			require.NoError(t, json.Unmarshal(stdout.Bytes(), &failed))
		} else {
			require.Equal(t, wanted.code, b.command(&failed, arguments...), line)
		}
		require.EqualValues(t, wanted.kind, failed.Type, line)
		require.Equal(t, wanted.code, failed.ExitCode)
	}
}

// TestDaemonStartsAndStopsAsPlanned runs the daemon command over a real
// platform stand-in until its context ends, as a signal ends it.
func TestDaemonStartsAndStopsAsPlanned(t *testing.T) {
	b := newBench(t)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	addresses := freeAddresses(t, 3)
	var stdout bytes.Buffer
	code := run(ctx, []string{
		"daemon", "--node", "daemon-1", "--region", "taiwan", "--zone", "nantou", "--platform-address", b.platform.Address(),
		"--listen.caller", addresses[0], "--listen.operator", addresses[1], "--listen.peer", addresses[2], "--tls.allow-plain",
	}, &stdout, &stdout)
	require.Equal(t, exitDone, code, stdout.String())
}
