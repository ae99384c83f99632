package emulator_test

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/engine"
)

// BenchmarkEngineLongPrompt starts streams with a history of 200,000 tokens in
// 100 segments, all cached but the last one.
func BenchmarkEngineLongPrompt(b *testing.B) {
	config := fastConfig()
	config.Timing.Scale = 0.0001
	config.CacheTokens = 1 << 30
	e := emulator.NewEngine(config)
	require.NoError(b, e.Start())
	defer e.Close()
	c := engine.NewClient(&http.Client{Transport: &http.Transport{}})
	r := request("program", "s", "")
	for i := range 100 {
		segment := bytes.Repeat([]byte(fmt.Sprintf("%07d ", i)), 1000)
		r.Segments = append(r.Segments, segment)
	}
	b.SetBytes(100 * 8000)
	for i := 0; b.Loop(); i++ {
		r.StreamID = fmt.Sprintf("s-%d", i)
		s, err := c.Generate(b.Context(), e.Address(), r)
		require.NoError(b, err)
		_, err = s.Next()
		require.NoError(b, err)
		require.NoError(b, s.Close())
	}
}

// BenchmarkEngineStreams runs 256 streams of 64 tokens at once and reports the
// processor time of engine and clients together for each token.
func BenchmarkEngineStreams(b *testing.B) {
	config := fastConfig()
	config.MaxBatch = 256
	e := emulator.NewEngine(config)
	require.NoError(b, e.Start())
	defer e.Close()
	c := engine.NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
	const streams, tokens = 256, 64
	round := 0
	started := time.Now()
	for b.Loop() {
		round++
		var group sync.WaitGroup
		for i := range streams {
			group.Go(func() {
				r := request(fmt.Sprintf("program-%d", i), fmt.Sprintf("s-%d-%d", round, i), fmt.Sprintf("question %d", i))
				r.MaxTokens = tokens
				if err := checkStream(b.Context(), c, e.Address(), r); err != nil {
					b.Error(err)
				}
			})
		}
		group.Wait()
	}
	var generated int64
	for _, record := range e.Ledger().Streams {
		generated += record.AnswerTokens
	}
	b.ReportMetric(float64(generated)/time.Since(started).Seconds(), "tokens/s")
}
