package story

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const log = `  30.0000 front-a-1 I0812 21:45:43.010000   13531 decisions.go:58] "route chosen" event=2810 request="r1" program="p" after_us=40 route="x"
  30.0000 front-a-1 I0812 21:45:43.010010   13531 decisions.go:58] "worker chosen" event=2811 request="r1" program="p" after_us=3000 worker="i-1"
  30.0000 front-a-1 I0812 21:45:43.010020   13531 decisions.go:58] "request refused" event=2804 request="r1" program="p" after_us=9000 status=503
a line of something else
  30.0000 front-b-1 I0812 21:45:43.004000   13531 decisions.go:58] "request answered" event=2817 request="r0" program="p" after_us=1000 status=200
  30.0000 front-b-1 I0812 21:45:43.014000   13531 decisions.go:58] "request answered" event=2817 request="other" program="q" after_us=1000 status=200
`

func TestAStoryIsInOrderOfItsDecisions(t *testing.T) {
	lines, err := Read(strings.NewReader(log), "file")
	require.NoError(t, err)
	require.Len(t, lines, 5)
	story := Of(lines, "r1", false)
	require.Len(t, story, 3)
	require.Equal(t, []int{2810, 2811, 2804}, []int{story[0].Event, story[1].Event, story[2].Event})
	require.Equal(t, "front-a-1", story[0].Source)
	require.Equal(t, 8960*time.Microsecond, story[2].At-story[0].At, "lines written at the end go back to their times")
}

func TestAWholeProgramIsFoundOverMachines(t *testing.T) {
	lines, err := Read(strings.NewReader(log), "file")
	require.NoError(t, err)
	story := Of(lines, "r1", true)
	require.Len(t, story, 4)
	var out strings.Builder
	require.NoError(t, Write(&out, story))
	require.Contains(t, out.String(), "front-b-1")
	require.NotContains(t, out.String(), "other")
}

func TestAPlainLogTakesTheFilesName(t *testing.T) {
	plain := `I0812 21:45:43.010000       1 decisions.go:58] "request refused" event=2804 request="r1" after_us=9000` + "\n"
	lines, err := Read(strings.NewReader(plain), "gateway.log")
	require.NoError(t, err)
	require.Equal(t, "gateway.log", lines[0].Source)
}

func TestAnUnknownRequestHasNoStory(t *testing.T) {
	lines, err := Read(strings.NewReader(log), "file")
	require.NoError(t, err)
	require.Empty(t, Of(lines, "nothing", true))
	require.NoError(t, Write(&strings.Builder{}, nil))
}
