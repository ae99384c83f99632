package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const batchModel = structs.ModelName("swap-agent")

// TestMain gives property tests a fixed seed, unless a flag says otherwise.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20261202")) }

func testBatch(cacheTokens int64, maxBatch int) *batch {
	config := EngineConfig{
		Loaded:      []structs.LoadedModel{{Model: batchModel, Version: "1"}},
		CacheTokens: cacheTokens,
		HoldTokens:  4,
		MaxBatch:    maxBatch,
	}
	return newBatch(config.withDefaults(), 1)
}

func promptOf(holder, id string, maxTokens int64, segments ...string) generateRequest {
	r := generateRequest{Holder: structs.ProgramID(holder), StreamID: id, Model: batchModel, MaxTokens: maxTokens}
	for _, segment := range segments {
		r.segments = append(r.segments, []byte(segment))
	}
	return r
}

// drive runs steps until the batch is idle, for a bounded number of them.
func drive(b *batch, now time.Time) time.Time {
	for range 10_000 {
		next, busy := b.plan(now)
		if !busy {
			return now
		}
		now = now.Add(next.span)
		b.apply(next, now)
	}
	return now
}

// memory returns what the blocks, holds and running streams take.
func memory(b *batch) int64 {
	total := b.cache.holdTokens * int64(len(b.cache.holds))
	for _, kept := range b.cache.blocks {
		total += kept.tokens
	}
	for _, s := range b.running {
		total += s.private
	}
	return total
}

func TestMemoryAddsUpAndIsFreedByReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := testBatch(400, 3)
		now := time.Unix(1000, 0)
		number := 0
		holder := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder") }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				number++
				var segments []string
				for range rapid.IntRange(1, 3).Draw(t, "segments") {
					segments = append(segments, rapid.SampledFrom([]string{"system prompt", "question that is long", "answer"}).Draw(t, "segment"))
				}
				r := promptOf(holder(t), fmt.Sprintf("s-%d", number), rapid.Int64Range(0, 60).Draw(t, "tokens"), segments...)
				r.RetainMilliseconds = rapid.Int64Range(0, 500).Draw(t, "retain")
				b.accept(r, "1", now)
			},
			"step": func(*rapid.T) {
				if next, busy := b.plan(now); busy {
					now = now.Add(next.span)
					b.apply(next, now)
				}
			},
			"cancel": func(t *rapid.T) {
				if s := b.streams[fmt.Sprintf("s-%d", rapid.IntRange(1, 40).Draw(t, "stream"))]; s != nil {
					b.end(s, StreamCancelled, now)
				}
			},
			"release": func(t *rapid.T) { b.release(structs.ProgramID(holder(t)), now) },
			"sweep":   func(*rapid.T) { now = now.Add(time.Second); b.sweep(now) },
			"":        func(t *rapid.T) { require.Equal(t, memory(b), b.cache.used) },
		})
		for _, name := range []structs.ProgramID{"a", "b", "c"} {
			b.release(name, now)
		}
		require.Zero(t, b.cache.used)
		require.Empty(t, b.cache.blocks)
		require.Empty(t, b.running)
		require.Empty(t, b.waiting)
	})
}

func TestWaitingStreamsRunByPriorityThenByArrival(t *testing.T) {
	b := testBatch(10_000, 1)
	now := time.Unix(1000, 0)
	for i, priority := range []int{5, 9, 1, 5} {
		r := promptOf("a", fmt.Sprintf("s-%d", i), 8, "question")
		r.Priority = priority
		b.accept(r, "1", now)
	}
	drive(b, now)
	started := func(i int) time.Time { return b.streams[fmt.Sprintf("s-%d", i)].record.Started }
	for _, pair := range [][2]int{{2, 0}, {0, 3}, {3, 1}} {
		require.True(t, started(pair[0]).Before(started(pair[1])), "%v", pair)
	}
}

func TestEvictionPrefersExpiredRetentionThenLeastRecentUse(t *testing.T) {
	b := testBatch(1000, 1)
	now := time.Unix(1000, 0)
	for i, name := range []string{"kept", "old", "recent"} {
		r := promptOf(name, name, 10, "eight tokens of a prompt, for "+string(rune('a'+i)))
		if name == "kept" {
			r.RetainMilliseconds = time.Hour.Milliseconds()
		}
		b.accept(r, "1", now)
		now = drive(b, now).Add(time.Second)
	}
	cached := func(name structs.ProgramID) int64 { return b.cache.holds[name].tokens }
	kept, old, recent := cached("kept"), cached("old"), cached("recent")
	// Room for the new hold alone: the stream's tokens need an eviction.
	b.cache.capacity = b.cache.used + b.cache.holdTokens
	b.accept(promptOf("new", "new", 6, "new"), "1", now)
	now = drive(b, now)
	require.Less(t, cached("old"), old)
	require.Equal(t, kept, cached("kept"))
	require.Equal(t, recent, cached("recent"))
	// When nothing expired is left, retained cache goes too.
	b.cache.capacity = 4*b.cache.holdTokens + 40
	b.accept(promptOf("new", "all", 35, "next"), "1", now)
	drive(b, now)
	require.Equal(t, StreamFinished, b.streams["all"].record.Outcome)
	require.Less(t, cached("kept"), kept)
}

func TestHoldsThatAreNeverReleasedStarveTheEngine(t *testing.T) {
	b := testBatch(100, 1)
	now := time.Unix(1000, 0)
	for i := range 20 {
		b.cache.hold(structs.ProgramID(fmt.Sprintf("leaked-%d", i)))
	}
	s := b.accept(promptOf("a", "s", 30, "question"), "1", now)
	drive(b, now)
	require.False(t, s.running)
	for i := range 20 {
		b.release(structs.ProgramID(fmt.Sprintf("leaked-%d", i)), now)
	}
	drive(b, now)
	require.Equal(t, StreamFinished, s.record.Outcome)
}

func TestStreamWithoutReaderGoesOnForTheGraceOnly(t *testing.T) {
	b := testBatch(10_000, 1)
	now := time.Unix(1000, 0)
	s := b.accept(promptOf("a", "s", 1000, "question"), "1", now)
	b.sweep(now.Add(defaultDisconnectGrace))
	require.False(t, s.ended())
	b.sweep(now.Add(defaultDisconnectGrace + time.Second))
	require.Equal(t, StreamAbandoned, s.record.Outcome)
	b.sweep(now.Add(defaultDisconnectGrace + defaultFinishedRetention + 3*time.Second))
	require.Empty(t, b.streams)
	require.Contains(t, b.cache.holds, structs.ProgramID("a"), "the hold lasts until it is released")
}

func TestPrefillSlowsDecodingDown(t *testing.T) {
	b := testBatch(100_000, 8)
	now := time.Unix(1000, 0)
	b.accept(promptOf("a", "decoding", 100, "question"), "1", now)
	for range 3 {
		next, _ := b.plan(now)
		b.apply(next, now)
	}
	alone, _ := b.plan(now)
	b.accept(promptOf("b", "long", 10, string(make([]byte, 40_000))), "1", now)
	together, _ := b.plan(now)
	chunk := time.Duration(float64(b.config.Timing.PrefillChunkTokens) / b.config.Timing.PrefillTokensPerSecond * float64(time.Second))
	require.Equal(t, chunk, together.span-alone.span)
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	var log eventLog
	now := time.Unix(1000, 0)
	for i := range 4 {
		log.add(cacheEvent{at: now.Add(time.Duration(i) * time.Second)}, i == 1)
	}
	found := log.after(0, now.Add(2*time.Second))
	require.Len(t, found, 2)
	require.Equal(t, uint64(1), found[0].sequence)
	require.Equal(t, uint64(3), found[1].sequence)
	require.Len(t, log.after(3, now.Add(time.Hour)), 1)
}

func TestReportLagsButLeavingDoesNot(t *testing.T) {
	e := NewEngine(EngineConfig{Loaded: []structs.LoadedModel{{Model: batchModel, Version: "1"}}})
	e.begin()
	defer e.end(StreamLost)
	e.reported()
	e.Faults.ReportLag.Set(time.Hour)
	e.observe(time.Now().Add(-2 * time.Hour))
	_, refused := e.accept(promptOf("a", "s", 10, "question"))
	require.Nil(t, refused)
	e.Faults.Leaving.Store(true)
	status := e.reported()
	require.Zero(t, status.Waiting)
	require.True(t, status.Leaving)
	e.Faults.ReportLag.Set(0)
	require.Equal(t, 1, e.reported().Waiting)
}
