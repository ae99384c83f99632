package caller_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
)

// BenchmarkFirstToken is the time from sending a call to its first token over
// loopback, with a backend that answers at once: what the caller server, the
// connection and the client add.
func BenchmarkFirstToken(b *testing.B) {
	backend := &scriptedBackend{call: sendAll([]caller.AnswerPart{
		{Attempt: 1, Text: []byte("token")}, {Attempt: 1, Offset: 5, Complete: true},
	}, nil)}
	server := serve(b, backend, nil)
	c := client.New(server.URL, token, server.Client())
	var delays []time.Duration
	for b.Loop() {
		sent := time.Now()
		first := time.Duration(0)
		err := c.Call(context.Background(), programA, modelCall(1), false, caller.AnswerSinkFunc(func(caller.AnswerPart) error {
			if first == 0 {
				first = time.Since(sent)
			}
			return nil
		}))
		require.NoError(b, err)
		delays = append(delays, first)
	}
	slices.Sort(delays)
	b.ReportMetric(float64(delays[len(delays)/2].Microseconds()), "us-median")
	b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds()), "us-p99")
}

// BenchmarkStreamedToken is the cost of one token of a long answer, from the
// backend's sink to the client's.
func BenchmarkStreamedToken(b *testing.B) {
	const tokens = 1000
	parts := make([]caller.AnswerPart, 0, tokens+1)
	offset := uint64(0)
	for i := range tokens {
		text := fmt.Appendf(nil, "tok%d ", i%10)
		parts = append(parts, caller.AnswerPart{Attempt: 1, Offset: offset, Text: text})
		offset += uint64(len(text))
	}
	parts = append(parts, caller.AnswerPart{Attempt: 1, Offset: offset, Complete: true})
	server := serve(b, &scriptedBackend{call: sendAll(parts, nil)}, nil)
	c := client.New(server.URL, token, server.Client())
	for b.Loop() {
		require.NoError(b, c.Call(context.Background(), programA, modelCall(1), false, &collector{}))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
