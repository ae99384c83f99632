package declaration

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// TestPageListsEveryKey compares docs/DECLARATIONS.md with the types, both ways.
func TestPageListsEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../docs/DECLARATIONS.md")
	require.NoError(t, err)
	for kind, value := range map[Kind]any{
		KindDeployment: structs.Deployment{}, KindZone: structs.Zone{}, KindTenant: structs.Tenant{},
		KindModel: structs.Model{}, KindTool: structs.Tool{}, KindAgentProgram: structs.AgentProgram{},
	} {
		_, section, found := strings.Cut(string(text), "\n## "+string(kind)+"\n")
		require.True(t, found, kind)
		section, _, _ = strings.Cut(section, "\n## ")
		var listed []string
		for line := range strings.SplitSeq(section, "\n") {
			if key, isRow := strings.CutPrefix(line, "| `"); isRow {
				key, _, _ = strings.Cut(key, "`")
				listed = append(listed, key)
			}
		}
		var declared []string
		for i := range reflect.TypeOf(value).NumField() {
			key, _, _ := strings.Cut(reflect.TypeOf(value).Field(i).Tag.Get("json"), ",")
			if key != nameKey {
				declared = append(declared, key)
			}
		}
		require.ElementsMatch(t, declared, listed, kind)
	}
}
