package replication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// historyMachine keeps the records as a program's history.
type historyMachine struct {
	mutex   sync.Mutex
	history [][]byte
	bytes   int
}

func (h *historyMachine) Apply(_ uint64, data []byte) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.history = append(h.history, data)
	h.bytes += len(data)
}

func (h *historyMachine) Snapshot() ([]byte, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Concat(h.history...), nil
}

func (h *historyMachine) Restore(data []byte) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.history, h.bytes = [][]byte{data}, len(data)
	return nil
}

// benchGroup starts three daemons over a wire and makes the first one lead.
func benchGroup(b *testing.B, delay time.Duration, disk bool) (*network, []*daemon) {
	b.Helper()
	n := newNetwork(delay)
	var group []*daemon
	for i, name := range []string{"a", "b", "c"} {
		d := n.start(b, name, 1, func(o *Options) {
			o.NewStateMachine = func(structs.ShardID) StateMachine { return &historyMachine{} }
			if disk && i == 0 {
				o.DataDir = b.TempDir()
			}
		})
		b.Cleanup(func() { _ = d.Close() })
		group = append(group, d)
	}
	for _, d := range group {
		require.NoError(b, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(group...)}))
	}
	_, err := group[0].EnsureLeader(context.Background(), testShard)
	require.NoError(b, err)
	return n, group
}

// text returns bytes that compress about as far as prose does.
func text(random *rand.Rand, size int) []byte {
	var data []byte
	for len(data) < size {
		data = fmt.Appendf(data, "%s ", vocabulary[random.IntN(len(vocabulary))])
	}
	return data[:size]
}

var vocabulary = func() []string {
	random := rand.New(rand.NewPCG(1, 2))
	words := make([]string, 2000)
	for i := range words {
		letters := make([]byte, 2+random.IntN(8))
		for j := range letters {
			letters[j] = byte('a' + random.IntN(26))
		}
		words[i] = string(letters)
	}
	return words
}()

const (
	bytesPerToken = 4
	// turnBytes is the record of one turn: about 400 tokens.
	turnBytes    = 400 * bytesPerToken
	historyChunk = 64 << 10
)

// BenchmarkCommit commits records of one turn to a shard whose programs hold
// ever longer histories, one record after another.
func BenchmarkCommit(b *testing.B) {
	for _, disk := range []bool{false, true} {
		for _, tokens := range []int{1_000, 30_000, 200_000, 840_000} {
			b.Run(fmt.Sprintf("disk=%v/history=%d", disk, tokens), func(b *testing.B) { benchCommit(b, disk, tokens) })
		}
	}
}

func benchCommit(b *testing.B, disk bool, tokens int) {
	n, group := benchGroup(b, 0, disk)
	random := rand.New(rand.NewPCG(3, 4))
	for left := tokens * bytesPerToken; left > 0; left -= historyChunk {
		require.NoError(b, group[0].Propose(context.Background(), testShard, text(random, min(left, historyChunk))))
	}
	record := text(random, turnBytes)
	n.mutex.Lock()
	before := n.bytes
	n.mutex.Unlock()
	b.ResetTimer()
	for range b.N {
		if err := group[0].Propose(context.Background(), testShard, record); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	n.mutex.Lock()
	b.ReportMetric(float64(n.bytes-before)/float64(b.N), "wire-B/record")
	n.mutex.Unlock()
}

// BenchmarkGroupCommit commits from many callers at once.
func BenchmarkGroupCommit(b *testing.B) {
	for _, disk := range []bool{false, true} {
		b.Run(fmt.Sprintf("disk=%v", disk), func(b *testing.B) {
			n, group := benchGroup(b, 0, disk)
			record := text(rand.New(rand.NewPCG(3, 4)), turnBytes)
			b.SetParallelism(32)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := group[0].Propose(context.Background(), testShard, record); err != nil {
						b.Error(err)
					}
				}
			})
			b.StopTimer()
			n.mutex.Lock()
			b.ReportMetric(float64(n.bytes)/float64(b.N), "wire-B/record")
			b.ReportMetric(float64(n.batches)/float64(b.N), "batches/record")
			n.mutex.Unlock()
		})
	}
}

// BenchmarkFailover measures from the suspicion of a leader that died to
// another one that serves and has committed a record, one shard an iteration.
func BenchmarkFailover(b *testing.B) {
	for _, delay := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		b.Run(fmt.Sprintf("delay=%s", delay), func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				b.StopTimer()
				times = append(times, failOver(b, delay))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "ms-p99")
		})
	}
}

func failOver(b *testing.B, delay time.Duration) time.Duration {
	n, group := benchGroup(b, delay, false)
	require.NoError(b, group[0].Propose(context.Background(), testShard, []byte("before")))
	n.isolate(group[0], true)
	_ = group[0].Close()
	began := time.Now()
	// Both survivors learn of it and look for a leader at the same moment, the
	// worst case: they may split the votes.
	var found sync.WaitGroup
	for _, d := range group[1:] {
		d.SuspectNode("a")
		found.Go(func() { _, _ = d.EnsureLeader(context.Background(), testShard) })
	}
	found.Wait()
	for _, d := range group[1:] {
		if d.Propose(context.Background(), testShard, []byte("after")) == nil {
			return time.Since(began)
		}
	}
	b.Fatal("no leader")
	return 0
}

// BenchmarkIdleShards holds many shards of three members in one process and
// measures their memory, and that nothing is sent.
func BenchmarkIdleShards(b *testing.B) {
	const shards = 2000
	for range b.N {
		n, group := benchGroup(b, 0, false)
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for id := range structs.ShardID(shards) {
			for _, d := range group {
				_ = d.CreateReplica(InitialGroup{Shard: 100 + id, Members: members(group...)})
			}
			_, _ = group[int(id)%len(group)].EnsureLeader(context.Background(), 100+id)
		}
		time.Sleep(time.Second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		n.mutex.Lock()
		sent := n.batches
		n.mutex.Unlock()
		time.Sleep(2 * time.Second)
		n.mutex.Lock()
		b.ReportMetric(float64(n.batches-sent), "batches-idle")
		n.mutex.Unlock()
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(shards*len(group)), "B/replica")
	}
}

// BenchmarkReplaceMember measures from the wish for a new member to the group
// in which it votes instead of another, with a state of 840,000 tokens.
func BenchmarkReplaceMember(b *testing.B) {
	for range b.N {
		b.StopTimer()
		n, group := benchGroup(b, time.Millisecond, false)
		random := rand.New(rand.NewPCG(3, 4))
		for left := 840_000 * bytesPerToken; left > 0; left -= historyChunk {
			require.NoError(b, group[0].Propose(context.Background(), testShard, text(random, min(left, historyChunk))))
		}
		fresh := n.start(b, "d", 1, func(o *Options) {
			o.NewStateMachine = func(structs.ShardID) StateMachine { return &historyMachine{} }
		})
		b.Cleanup(func() { _ = fresh.Close() })
		n.mutex.Lock()
		before := n.bytes
		n.mutex.Unlock()
		b.StartTimer()
		group[0].ReconcileMembers(testShard, members(group[0], group[1], fresh))
		for {
			status, _ := group[0].Status(testShard)
			if len(status.Members) == 3 && status.Members[2].Node == "d" {
				break
			}
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
		n.mutex.Lock()
		b.ReportMetric(float64(n.bytes-before), "wire-B")
		n.mutex.Unlock()
	}
}
