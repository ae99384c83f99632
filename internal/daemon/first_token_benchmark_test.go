package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// BenchmarkFirstToken measures the time to the first token of the same prompt,
// from the stand-in engine directly and through a daemon that records the
// call's start on a majority first. Both are taken in turn, in the same run, and
// every answer is read to its end.
// The metric "added-ms" is the difference of the medians. With two daemons in
// each zone one has a disk, as in the demo; with one, every commit waits for
// two disks.
func BenchmarkFirstToken(b *testing.B) {
	b.Run("two daemons a zone, one with a disk", func(b *testing.B) { benchmarkFirstToken(b, 2) })
	b.Run("one daemon a zone, with a disk", func(b *testing.B) { benchmarkFirstToken(b, 1) })
}

func benchmarkFirstToken(b *testing.B, perZone int) {
	running := startDaemons(b, perZone)
	opened := running.open(b, 0, "benchmark")
	_, err := running.call(b, 0, opened.ID, 1)
	require.NoError(b, err)
	engines := engine.NewClient(http.DefaultClient)
	address := running.outside.Engines[0].Address()
	var direct, through []time.Duration
	b.ResetTimer()
	for iteration := range b.N {
		direct = append(direct, firstTokenDirect(b, engines, address, iteration))
		through = append(through, firstTokenThrough(b, running, iteration))
	}
	b.StopTimer()
	slices.Sort(direct)
	slices.Sort(through)
	b.ReportMetric(milliseconds(median(direct)), "direct-ms")
	b.ReportMetric(milliseconds(median(through)), "through-ms")
	b.ReportMetric(milliseconds(median(through)-median(direct)), "added-ms")
}

func median(sorted []time.Duration) time.Duration { return sorted[len(sorted)/2] }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func firstTokenDirect(b *testing.B, engines *engine.Client, address string, iteration int) time.Duration {
	id := structs.ProgramID(fmt.Sprintf("00000000-%032x", iteration))
	began := time.Now()
	took := time.Duration(0)
	stream, err := engines.Generate(b.Context(), address, engine.GenerateRequest{
		Holder: id, StreamID: string(id), Model: testModel, MaxTokens: 16,
		Segments: [][]byte{modelCall(1, fmt.Sprint("direct", iteration)).Input},
	})
	require.NoError(b, err)
	for done := false; !done; {
		chunk, err := stream.Next()
		require.NoError(b, err)
		if took == 0 {
			took = time.Since(began)
		}
		done = chunk.Done
	}
	require.NoError(b, stream.Close())
	require.NoError(b, engines.Release(b.Context(), address, 0, id))
	return took
}

// firstTokenThrough uses a program of its own each time, so that the prompt is
// as long as the direct one, and asks each daemon in turn.
func firstTokenThrough(b *testing.B, running *deployment, iteration int) time.Duration {
	member := iteration % len(running.cluster.Members)
	opened := running.open(b, member, fmt.Sprint("benchmark-", iteration))
	took := time.Duration(0)
	began := time.Now()
	err := running.client(member).Call(b.Context(), opened.ID, modelCall(1, fmt.Sprint("thru", iteration)), true,
		caller.AnswerSinkFunc(func(caller.AnswerPart) error {
			if took == 0 {
				took = time.Since(began)
			}
			return nil
		}))
	require.NoError(b, err)
	_, err = running.client(member).End(b.Context(), opened.ID)
	require.NoError(b, err)
	return took
}
