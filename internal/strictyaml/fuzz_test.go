package strictyaml

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

type shape struct {
	Text    string         `yaml:"text"`
	Numbers map[string]int `yaml:"numbers"`
	List    []struct {
		Flag bool `json:"flag,omitempty"`
	} `yaml:"list"`
}

// FuzzParse: no input stops the program, and whatever is refused is refused
// with a file, a reason and a line within the input.
func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("../../deploy/*/*.yaml")
	require.NoError(f, err)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte("text: &a [*a, !!int x]\nnumbers: {a: 1e99, <<: {b: 2}}\n? [x]\n: y\n---\n- 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		documents, problems := Parse("file", data)
		for _, document := range documents {
			var into shape
			problems = append(problems, document.Decode(&into)...)
		}
		for _, problem := range problems {
			require.Equal(t, "file", problem.File)
			require.NotEmpty(t, problem.Reason)
			require.LessOrEqual(t, problem.Line, len(data)+1)
		}
	})
}
