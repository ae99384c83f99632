package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"
)

// TestPageListsEveryKeyAndFlag compares docs/SETTINGS.md with the struct and
// with the flags that the command line makes of it, both ways.
func TestPageListsEveryKeyAndFlag(t *testing.T) {
	text, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	var keys, named []string
	for line := range strings.SplitSeq(string(text), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(line, "`")
		keys = append(keys, cells[1])
		named = append(named, strings.TrimPrefix(cells[3], "--"))
	}
	require.ElementsMatch(t, keysOf(reflect.TypeFor[Settings](), ""), keys)
	var defined []string
	parser := flags.NewParser(&Settings{}, flags.None)
	for _, group := range parser.Groups()[0].Groups() {
		for _, option := range group.Options() {
			defined = append(defined, option.LongNameWithNamespace())
		}
	}
	for _, option := range parser.Groups()[0].Options() {
		defined = append(defined, option.LongNameWithNamespace())
	}
	require.ElementsMatch(t, defined, named)
}

func keysOf(of reflect.Type, prefix string) []string {
	var keys []string
	for i := range of.NumField() {
		field := of.Field(i)
		key := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(field.Type, key+".")...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
