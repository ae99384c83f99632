package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

func loadRole(t *testing.T, text string) (Role, error) {
	path := filepath.Join(t.TempDir(), "role.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return LoadRole(path)
}

const wholeRole = `
node: store-1
zone: wien-a
ingress: 10.1.0.1:80
readiness: 10.1.0.1:81
replica: 10.1.0.1:82
store: 10.1.0.9:83
seeds: ["10.1.0.2:82"]
dataFolder: /data
bootstrap: true
`

func TestAWholeRoleIsValidForBothRoles(t *testing.T) {
	loaded, err := loadRole(t, wholeRole)
	require.NoError(t, err)
	require.NoError(t, loaded.ValidateGateway())
	require.NoError(t, loaded.ValidateReplica())
	require.True(t, loaded.Bootstrap)
	require.Equal(t, int64(defaultGraceMilliseconds), loaded.Grace().Milliseconds())
}

func TestAllProblemsOfARoleAreToldAtOnce(t *testing.T) {
	loaded, err := loadRole(t, "node: Store_1\nstore: nowhere\nseeds: [x]\ngraceMilliseconds: 0\nmemoryMegabytes: -1\n")
	require.NoError(t, err)
	var invalid *strictyaml.Invalid
	require.ErrorAs(t, loaded.ValidateGateway(), &invalid)
	for _, field := range []string{"node", "zone", "store", "seeds", "ingress", "readiness", "graceMilliseconds", "memoryMegabytes"} {
		require.Contains(t, invalid.Error(), field)
	}
	require.ErrorAs(t, loaded.ValidateReplica(), &invalid)
	for _, field := range []string{"replica", "dataFolder"} {
		require.Contains(t, invalid.Error(), field)
	}
}

func TestAnUnknownKeyOfARoleIsRefusedWithItsLine(t *testing.T) {
	_, err := loadRole(t, wholeRole+"surprise: 1\n")
	require.ErrorContains(t, err, "surprise")
	require.ErrorContains(t, err, "11")
}

// TestTheExperimentsPageListsEveryMechanism compares docs/operations/experiments.md
// with the code.
func TestTheExperimentsPageListsEveryMechanism(t *testing.T) {
	text, err := os.ReadFile("../../docs/operations/experiments.md")
	require.NoError(t, err)
	var named []mechanism.Name
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.HasPrefix(line, "| `") {
			named = append(named, mechanism.Name(strings.Split(line, "`")[1]))
		}
	}
	require.Equal(t, mechanism.All, named)
}

func TestAMechanismThatDoesNotExistIsRefused(t *testing.T) {
	loaded, err := loadRole(t, wholeRole+"disabledMechanisms: [affinity, afinity]\n")
	require.NoError(t, err)
	require.ErrorContains(t, loaded.ValidateGateway(), "afinity")
	loaded.DisabledMechanisms = []string{"affinity"}
	require.NoError(t, loaded.ValidateGateway())
	require.True(t, loaded.Disabled().Has(mechanism.Affinity))
	require.False(t, loaded.Disabled().Has(mechanism.PaceBalancing))
}

func TestTheFactorOfColdWorkersBecomesThePartOnTop(t *testing.T) {
	for factor, onTop := range map[float64]float64{0: 0, 0.5: 0, 1: 0, 1.5: 0.5, 3: 2} {
		tolerance := Role{ColdLimitOvershoot: factor, ColdLimitSlack: 5}.ColdTolerance()
		require.Equal(t, quota.Tolerance{Window: time.Second, Overshoot: onTop, Slack: 5}, tolerance)
		// What a worker bears, times the factor, and the slack: 23 x 1.5 + 5 = 39.5.
		require.InDelta(t, 23*max(1, factor)+5, 23*(1+tolerance.Overshoot)+tolerance.Slack, 1e-9)
	}
}

// TestTheRolesPageListsEveryKey compares docs/operations/roles.md with the
// struct.
func TestTheRolesPageListsEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../docs/operations/roles.md")
	require.NoError(t, err)
	var keys []string
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.HasPrefix(line, "| `") {
			keys = append(keys, strings.Split(line, "`")[1])
		}
	}
	require.ElementsMatch(t, keysOf(reflect.TypeFor[Role](), ""), keys)
}

func TestAnOptionalMechanismIsLeftOutUnlessItIsNamed(t *testing.T) {
	loaded, err := loadRole(t, wholeRole)
	require.NoError(t, err)
	require.False(t, loaded.Enabled().Has(mechanism.BudgetLoans))
	loaded, err = loadRole(t, wholeRole+"enabledMechanisms: [lentBudgets]\n")
	require.NoError(t, err)
	require.True(t, loaded.Enabled().Has(mechanism.BudgetLoans))
	require.NoError(t, loaded.ValidateGateway())
	loaded, err = loadRole(t, wholeRole+"enabledMechanisms: [affinity]\n")
	require.NoError(t, err)
	require.ErrorContains(t, loaded.ValidateGateway(), "affinity")
}
