package emulator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const testModel = structs.ModelName("swap-agent")

// fastConfig runs a hundred times faster than the default timing.
func fastConfig() emulator.EngineConfig {
	timing := emulator.DefaultEngineTiming()
	timing.Scale = 0.01
	return emulator.EngineConfig{
		ID:     "engine-1",
		Zone:   "taichung-1",
		Loaded: []structs.LoadedModel{{Model: testModel, Version: "1", Adapters: []string{"rebalance"}}},
		Timing: timing,
	}
}

func startEngine(t *testing.T, config emulator.EngineConfig) (*emulator.Engine, *engine.Client) {
	t.Helper()
	e := emulator.NewEngine(config)
	require.NoError(t, e.Start())
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		e.Close()
	})
	return e, engine.NewClient(&http.Client{Transport: transport})
}

func request(holder, stream string, segments ...string) engine.GenerateRequest {
	r := engine.GenerateRequest{
		Holder:    structs.ProgramID(holder),
		StreamID:  stream,
		Model:     testModel,
		MaxTokens: 24,
	}
	for _, segment := range segments {
		r.Segments = append(r.Segments, []byte(segment))
	}
	return r
}

// readAll reads a stream to its end.
func readAll(t *testing.T, s *engine.Stream) ([]byte, engine.Usage) {
	t.Helper()
	defer s.Close()
	var answer []byte
	var usage engine.Usage
	for {
		part, err := s.Next()
		if err == io.EOF {
			return answer, usage
		}
		require.NoError(t, err)
		require.Equal(t, uint64(len(answer)), part.Offset)
		answer = append(answer, part.Text...)
		usage = part.Usage
	}
}

func generate(t *testing.T, c *engine.Client, address string, r engine.GenerateRequest) ([]byte, engine.Usage) {
	t.Helper()
	s, err := c.Generate(t.Context(), address, r)
	require.NoError(t, err)
	return readAll(t, s)
}

func expected(r engine.GenerateRequest) []byte {
	return emulator.ExpectedAnswer(r.Model, r.Adapter, r.Segments, r.MaxTokens)
}

func TestEngineAnswersWithDigestOfWholePrompt(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	r := request("program-1", "s-1", "first part, ", "second part")
	answer, usage := generate(t, c, e.Address(), r)
	require.Equal(t, expected(r), answer)
	require.Equal(t, emulator.PromptDigest(r.Segments), string(answer[:16]))
	require.Equal(t, engine.TokenCount(answer), usage.AnswerTokens)
	require.Equal(t, int64(6), usage.PromptTokens)
}

func TestEngineReusesPrefixWithAnswer(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	first := request("program-1", "s-1", "system text", "question one")
	answer, _ := generate(t, c, e.Address(), first)
	second := request("program-1", "s-2", "system text", "question one", string(answer), "question two")
	_, usage := generate(t, c, e.Address(), second)
	require.Equal(t, engine.TokenCount([]byte("system text"))+engine.TokenCount([]byte("question one"))+engine.TokenCount(answer), usage.ReusedTokens)
	records := e.Ledger().Streams
	require.Equal(t, engine.TokenCount([]byte("question two")), records[1].PrefilledTokens)
	require.Zero(t, records[1].WastedTokens)
}

func TestEngineSameStreamIDIsSameStream(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	r := request("program-1", "s-1", "a question")
	one, _ := generate(t, c, e.Address(), r)
	two, _ := generate(t, c, e.Address(), r)
	require.Equal(t, one, two)
	require.Len(t, e.Ledger().Streams, 1)
}

func TestEngineResumesBrokenStream(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	e.Faults.BreakStream.Set(1)
	r := request("program-1", "s-1", "a long question")
	r.MaxTokens = 200
	s, err := c.Generate(t.Context(), e.Address(), r)
	require.NoError(t, err)
	_, err = s.Next()
	require.IsType(t, &failure.StreamBroken{}, err)
	e.Faults.BreakStream.Set(0.3)
	var answer []byte
	breaks := 0
	for try := 0; try < 1000; try++ {
		if err != nil {
			require.IsType(t, &failure.StreamBroken{}, err)
			breaks++
			s, err = c.Resume(t.Context(), e.Address(), "s-1", uint64(len(answer)))
			continue
		}
		var part engine.Chunk
		part, err = s.Next()
		if err != nil {
			require.NoError(t, s.Close())
			continue
		}
		answer = append(answer, part.Text...)
		if part.Done {
			break
		}
	}
	require.Equal(t, expected(r), answer)
	require.Positive(t, breaks)
	require.Len(t, e.Ledger().Streams, 1)
}

func TestEngineCancelAndReleaseFreeMemory(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	r := request("program-1", "s-1", "a question")
	r.MaxTokens = 100_000
	s, err := c.Generate(t.Context(), e.Address(), r)
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Next()
	require.NoError(t, err)
	require.NoError(t, c.Cancel(t.Context(), e.Address(), "s-1"))
	for err == nil {
		_, err = s.Next()
	}
	require.IsType(t, &failure.CallCancelled{}, err)
	holds, err := c.Holds(t.Context(), e.Address())
	require.NoError(t, err)
	require.Equal(t, []structs.ProgramID{"program-1"}, holds.Holders)
	require.NoError(t, c.Release(t.Context(), e.Address(), holds.Incarnation, "program-1"))
	require.NoError(t, c.Release(t.Context(), e.Address(), holds.Incarnation, "program-1"))
	require.Empty(t, e.Ledger().Holds)
	require.IsType(t, &failure.EngineGone{}, c.Release(t.Context(), e.Address(), holds.Incarnation+1, "program-1"))
}

func TestEngineRestartIsNewIncarnationWithoutMemory(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	generate(t, c, e.Address(), request("program-1", "s-1", "a question"))
	before, err := c.Status(t.Context(), e.Address())
	require.NoError(t, err)
	e.Crash()
	// A client without open connections: on one that the crash closed, a request
	// may have been written, and then its outcome is not known.
	fresh := engine.NewClient(&http.Client{Transport: &http.Transport{}})
	_, err = fresh.Generate(t.Context(), e.Address(), request("program-1", "s-2", "a question"))
	require.IsType(t, &failure.EngineUnavailable{}, err)
	require.NoError(t, e.Restart())
	after, err := c.Status(t.Context(), e.Address())
	require.NoError(t, err)
	require.Equal(t, before.Incarnation+1, after.Incarnation)
	_, err = c.Resume(t.Context(), e.Address(), "s-1", 0)
	require.IsType(t, &failure.EngineGone{}, err)
	_, usage := generate(t, c, e.Address(), request("program-1", "s-3", "a question"))
	require.Zero(t, usage.ReusedTokens)
	require.Equal(t, int64(3), e.Ledger().Streams[1].WastedTokens)
}

func TestEngineFirstTokenIsNotHeldBack(t *testing.T) {
	config := fastConfig()
	config.Timing.Scale = 1
	e, c := startEngine(t, config)
	r := request("program-1", "s-1", "a question")
	r.MaxTokens = 100_000
	s, err := c.Generate(t.Context(), e.Address(), r)
	require.NoError(t, err)
	defer s.Close()
	part, err := s.Next()
	require.NoError(t, err)
	// The stream is still running, so nothing waited for its end.
	require.Equal(t, emulator.StreamRunning, e.Ledger().Streams[0].Outcome)
	require.NotEmpty(t, part.Text)
}

func TestEngineRefusesLowerFence(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	order := engine.Order{Fence: 7, Kind: engine.OrderRole, Role: structs.RoleDecode}
	require.NoError(t, c.Order(t.Context(), e.Address(), order))
	order.Fence = 6
	order.Role = structs.RolePrefill
	require.Equal(t, &failure.FenceRejected{Token: 6, Seen: 7}, c.Order(t.Context(), e.Address(), order))
	status, err := c.Status(t.Context(), e.Address())
	require.NoError(t, err)
	require.Equal(t, structs.RoleDecode, status.Role)
	require.Equal(t, uint64(7), status.Fence)
}

func TestEngineMovesCacheToAnother(t *testing.T) {
	source, c := startEngine(t, fastConfig())
	target, _ := startEngine(t, fastConfig())
	r := request("program-1", "s-1", "system text", "question one")
	answer, _ := generate(t, c, source.Address(), r)
	moved, err := c.ImportKV(t.Context(), target.Address(), engine.ImportRequest{Holder: "program-1", Source: source.Address()})
	require.NoError(t, err)
	kv, err := c.ExportKV(t.Context(), source.Address(), "program-1")
	require.NoError(t, err)
	require.Equal(t, kv.Tokens(), moved)
	_, usage := generate(t, c, target.Address(), request("program-1", "s-2", "system text", "question one", string(answer), "next"))
	require.Equal(t, moved, usage.ReusedTokens)
}

func TestEngineServesHundredsOfStreams(t *testing.T) {
	config := fastConfig()
	config.MaxBatch = 64
	e, c := startEngine(t, config)
	const streams = 300
	results := make(chan error, streams)
	for i := range streams {
		go func() {
			r := request(fmt.Sprintf("program-%d", i), fmt.Sprintf("s-%d", i), fmt.Sprintf("question %d", i))
			results <- checkStream(t.Context(), c, e.Address(), r)
		}()
	}
	for range streams {
		require.NoError(t, <-results)
	}
	require.Len(t, e.Ledger().Streams, streams)
}

// checkStream reads a stream and reports an error when the answer is not the
// expected one.
func checkStream(ctx context.Context, c *engine.Client, address string, r engine.GenerateRequest) error {
	s, err := c.Generate(ctx, address, r)
	if err != nil {
		return err
	}
	defer s.Close()
	var answer []byte
	for {
		part, err := s.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		answer = append(answer, part.Text...)
	}
	if string(answer) != string(expected(r)) {
		return &failure.Malformed{Field: "answer", Reason: string(answer)}
	}
	return nil
}

func BenchmarkEngineFirstToken(b *testing.B) {
	config := fastConfig()
	config.Timing.Scale = 0.0001
	e := emulator.NewEngine(config)
	require.NoError(b, e.Start())
	defer e.Close()
	c := engine.NewClient(http.DefaultClient)
	var total time.Duration
	for i := 0; b.Loop(); i++ {
		started := time.Now()
		s, err := c.Generate(b.Context(), e.Address(), request("program", fmt.Sprintf("s-%d", i), fmt.Sprintf("question %d", i)))
		require.NoError(b, err)
		_, err = s.Next()
		require.NoError(b, err)
		total += time.Since(started)
		require.NoError(b, s.Close())
	}
	b.ReportMetric(float64(total.Microseconds())/float64(b.N), "us/first-token")
}
