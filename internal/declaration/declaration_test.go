package declaration

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

var examples = map[string]string{"voltkai": "../../deploy/voltkai", "hofbauer": "../../deploy/hofbauer"}

func TestExamplesAreValid(t *testing.T) {
	for name, dir := range examples {
		loaded, err := Load(dir)
		require.NoError(t, err)
		require.Equal(t, name, loaded.Deployment.Name)
		engines := 0
		for _, zone := range loaded.Zones {
			engines += len(zone.Engines)
		}
		require.Equal(t, 10, engines)
		require.NoError(t, Check(loaded))
	}
}

func problemsOf(t *testing.T, err error) []strictyaml.Problem {
	var invalid *strictyaml.Invalid
	require.ErrorAs(t, err, &invalid)
	return invalid.Problems
}

// copyExample copies an example, passing each line of each file through edit.
func copyExample(t *testing.T, source string, edit func(file string, line int, text string) string) string {
	dir := t.TempDir()
	paths, err := yamlFiles(source)
	require.NoError(t, err)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		lines := strings.Split(string(data), "\n")
		for i := range lines {
			lines[i] = edit(filepath.Base(path), i+1, lines[i])
		}
		require.NoError(t, os.WriteFile(filepath.Join(dir, filepath.Base(path)), []byte(strings.Join(lines, "\n")), 0o600))
	}
	return dir
}

var keyLine = regexp.MustCompile(`^([ -]*)([a-zA-Z]+):`)

// TestMisspelledKeyIsFoundAtItsLine misspells every key of every example, one
// at a time: each time the report must name that file, that line and that key.
// The zones of replicasPerZone are values of the user: they give unknown zones.
func TestMisspelledKeyIsFoundAtItsLine(t *testing.T) {
	tried := 0
	for _, source := range examples {
		paths, err := yamlFiles(source)
		require.NoError(t, err)
		for _, path := range paths {
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			for number, text := range strings.Split(string(data), "\n") {
				match := keyLine.FindStringSubmatch(text)
				if match == nil {
					continue
				}
				requireMisspellingFound(t, source, filepath.Base(path), number+1, match[2])
				tried++
			}
		}
	}
	require.Greater(t, tried, 200)
}

func requireMisspellingFound(t *testing.T, source, file string, line int, key string) {
	dir := copyExample(t, source, func(current string, number int, text string) string {
		if current != file || number != line {
			return text
		}
		return strings.Replace(text, key+":", key+"x:", 1)
	})
	_, err := Load(dir)
	for _, problem := range problemsOf(t, err) {
		if filepath.Base(problem.File) == file && problem.Line == line && strings.HasSuffix(problem.Field, key+"x") {
			require.NotEmpty(t, problem.Allowed)
			return
		}
	}
	require.Fail(t, "misspelling not found", "%s:%d %s: %v", file, line, key, err)
}

// TestContradictionsAreAllReportedAtTheirLines replaces values, each on one
// line of the Voltkai example, all in one copy.
func TestContradictionsAreAllReportedAtTheirLines(t *testing.T) {
	edits := []struct{ file, after, old, new, field, reason string }{
		{"deployment.yaml", "kind: Deployment", "replicas: 3", "replicas: 2", "spec.replicas", "can't be 2"},
		{"deployment.yaml", "kind: Deployment", "shardsPerDomain: 16", "shardsPerDomain: 0", "spec.shardsPerDomain", "out of range"},
		{"zones.yaml", "name: nantou", "id: nantou-engine-2", "id: nantou-engine-1", "spec.engines[1].id", "stands in zone"},
		{"zones.yaml", "name: changhua", "http://127.0.0.1:9007", "127.0.0.1:9007", "spec.engines[0].address", "malformed URL"},
		{"tenants.yaml", "name: riders", "weight: 4", "weight: -4", "spec.weight", "can't be -4"},
		{"models.yaml", "name: swap-agent", "  nantou: 2", "  nantou: 3", "spec.replicasPerZone.nantou", "3 replicas in a zone of 2 engines"},
		{"models.yaml", "name: swap-agent", "  changhua: 2", "  puli: 2", "spec.replicasPerZone.puli", "unknown zone"},
		{"models.yaml", "name: swap-agent", "role: mixed", "role: both", "spec.role", "unknown role"},
		{"tools.yaml", "name: cabinet-release", "repeatable: false", "repeatable: false\n  retries: 3", "spec.retries", "can't be retried"},
		{"tools.yaml", "name: route-plan", "zone: taichung-1", "zone: taichung-9", "spec.zone", `unknown zone "taichung-9"`},
		{"tools.yaml", "name: refund", "name: refund", "name: cabinet-release", "metadata.name", "is taken by"},
		{"programs.yaml", "name: door-session", "tokens: 120000", "tokens: 512", "spec.budget.tokens", "below one call of model"},
		{"programs.yaml", "name: door-session", "milliseconds: 180000", "milliseconds: 4000", "spec.budget.milliseconds", "below the deadline of tool"},
		{"programs.yaml", "name: fault-check", "historyZones: [taichung-1, taichung-2, changhua]", "historyZones: []", "spec.historyZones", "no zone may hold"},
		{"programs.yaml", "name: fault-check", "tenants: [riders]", "tenants: [drivers]", "spec.tenants[0]", "unknown tenant"},
		{"programs.yaml", "name: overnight-rebalance", "cacheZones: [taichung-1, taichung-2, changhua, nantou]", "cacheZones: [changhua]", "spec.models[0]", "no engine in the program's cache zones"},
		{"programs.yaml", "name: overnight-rebalance", "costMicros: 30000000", "costMicros: 1", "spec.budget.costMicros", "below one call of model"},
		{"programs.yaml", "name: refund", "maxAnswerTokens: 256", "maxAnswerTokens: 131072", "spec.maxAnswerTokens", "does not fit the context"},
		{"programs.yaml", "name: refund", "tools: [refund]", "tools: [payback]", "spec.tools[0]", "unknown tool"},
		{"tools.yaml", "name: cabinet-status", "zone: taichung-2", "zone: puli", "spec.zone", `unknown zone "puli"`},
		{"programs.yaml", "name: fault-check", "tools: [battery-telemetry, cabinet-status]", "tools: [cabinet-status]", "spec.tools[0]", "where the program's data may not go"},
		{"programs.yaml", "name: refund", "turns: 8", "turns: 0", "spec.budget.turns", "can't be 0"},
	}
	applied := map[int]string{}
	section := map[string]string{}
	dir := copyExample(t, examples["voltkai"], func(file string, line int, text string) string {
		for i, edit := range edits {
			if strings.Contains(text, edit.after) {
				section[file] = edit.after
			}
			if applied[i] == "" && file == edit.file && section[file] == edit.after && strings.Contains(text, edit.old) {
				applied[i] = fmt.Sprintf("%s %s", file, edit.field)
				return strings.Replace(text, edit.old, edit.new, 1)
			}
		}
		return text
	})
	require.Len(t, applied, len(edits))
	_, err := Load(dir)
	problems := problemsOf(t, err)
	for _, edit := range edits {
		requireProblem(t, problems, dir, edit.file, edit.field, edit.reason, lastLine(edit.new))
	}
}

func lastLine(text string) string {
	return strings.TrimSpace(text[strings.LastIndex(text, "\n")+1:])
}

// requireProblem finds the problem and reads the file back: the line that the
// problem names must hold the faulty text.
func requireProblem(t *testing.T, problems []strictyaml.Problem, dir, file, field, reason, faulty string) {
	data, err := os.ReadFile(filepath.Join(dir, file))
	require.NoError(t, err)
	lines := strings.Split(string(data), "\n")
	for _, problem := range problems {
		named := problem.File == filepath.Join(dir, file) && problem.Field == field && strings.Contains(problem.Reason, reason)
		if !named {
			continue
		}
		near := lines[problem.Line-1]
		owner := strings.Contains(near, faulty) || strings.HasPrefix(field, "spec.models[")
		require.True(t, owner, "%s: line holds %q, not %q", problem, near, faulty)
		require.NotEmpty(t, problem.Allowed)
		return
	}
	require.Fail(t, "problem not reported", "%s %s %s in %v", file, field, reason, problems)
}

func TestCheckWithoutFilesNamesTheObject(t *testing.T) {
	loaded, err := Load(examples["hofbauer"])
	require.NoError(t, err)
	loaded.Programs = append(loaded.Programs, loaded.Programs[0])
	loaded.Tools[0].Retries = -1
	var fields []string
	for _, problem := range problemsOf(t, Check(loaded)) {
		fields = append(fields, problem.Field)
	}
	require.Equal(t, []string{"AgentProgram/delivery-point-check: metadata.name", "Tool/balance-position: spec.retries"}, fields)
}
