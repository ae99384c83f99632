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

// historyMachine stores the records as the history of a program.
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

// startBenchmarkGroup starts three daemons with the network delay and makes the
// first one the leader. With disk, the leader stores its state in a data folder.
func startBenchmarkGroup(b *testing.B, delay time.Duration, disk bool) (*network, []*daemon) {
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

// compressibleText returns bytes with about the compression ratio of prose.
func compressibleText(random *rand.Rand, size int) []byte {
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
	// turnBytes is the size of the record of one turn of about 400 tokens.
	turnBytes         = 400 * bytesPerToken
	historyChunkBytes = 64 << 10
)

// BenchmarkCommit commits records of one turn sequentially to a shard whose
// state holds a history of the given number of tokens.
func BenchmarkCommit(b *testing.B) {
	for _, disk := range []bool{false, true} {
		for _, tokens := range []int{1_000, 30_000, 200_000, 840_000} {
			b.Run(fmt.Sprintf("disk=%v/history=%d", disk, tokens), func(b *testing.B) { benchmarkCommit(b, disk, tokens) })
		}
	}
}

func benchmarkCommit(b *testing.B, disk bool, tokens int) {
	n, group := startBenchmarkGroup(b, 0, disk)
	random := rand.New(rand.NewPCG(3, 4))
	for remaining := tokens * bytesPerToken; remaining > 0; remaining -= historyChunkBytes {
		require.NoError(b, group[0].Propose(context.Background(), testShard, compressibleText(random, min(remaining, historyChunkBytes))))
	}
	record := compressibleText(random, turnBytes)
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

// BenchmarkGroupCommit commits records of many concurrent callers.
func BenchmarkGroupCommit(b *testing.B) {
	for _, disk := range []bool{false, true} {
		b.Run(fmt.Sprintf("disk=%v", disk), func(b *testing.B) {
			n, group := startBenchmarkGroup(b, 0, disk)
			record := compressibleText(rand.New(rand.NewPCG(3, 4)), turnBytes)
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

// BenchmarkFailover measures the time from the suspicion of a stopped leader until
// another one has committed a record. Each iteration uses a new group.
func BenchmarkFailover(b *testing.B) {
	for _, delay := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		b.Run(fmt.Sprintf("delay=%s", delay), func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				b.StopTimer()
				times = append(times, measureFailover(b, delay))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "ms-p99")
		})
	}
}

func measureFailover(b *testing.B, delay time.Duration) time.Duration {
	n, group := startBenchmarkGroup(b, delay, false)
	require.NoError(b, group[0].Propose(context.Background(), testShard, []byte("before")))
	n.setIsolated(group[0], true)
	_ = group[0].Close()
	startTime := time.Now()
	// Both other members suspect the leader and call EnsureLeader at the same
	// moment. This is the worst case, because it can split the votes.
	var elections sync.WaitGroup
	for _, d := range group[1:] {
		d.SuspectNode("a")
		elections.Go(func() { _, _ = d.EnsureLeader(context.Background(), testShard) })
	}
	elections.Wait()
	for _, d := range group[1:] {
		if d.Propose(context.Background(), testShard, []byte("after")) == nil {
			return time.Since(startTime)
		}
	}
	b.Fatal("no remaining member committed a record after the failover")
	return 0
}

// BenchmarkIdleShards measures the memory of many idle shards of three members in
// one process and the number of batches that they send.
func BenchmarkIdleShards(b *testing.B) {
	const shards = 2000
	for range b.N {
		n, group := startBenchmarkGroup(b, 0, false)
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

// BenchmarkReplaceMember measures the time from a change of the desired members until
// the new member is a voter in place of another, with a state of 840,000 tokens.
func BenchmarkReplaceMember(b *testing.B) {
	for range b.N {
		b.StopTimer()
		n, group := startBenchmarkGroup(b, time.Millisecond, false)
		random := rand.New(rand.NewPCG(3, 4))
		for remaining := 840_000 * bytesPerToken; remaining > 0; remaining -= historyChunkBytes {
			require.NoError(b, group[0].Propose(context.Background(), testShard, compressibleText(random, min(remaining, historyChunkBytes))))
		}
		added := n.start(b, "d", 1, func(o *Options) {
			o.NewStateMachine = func(structs.ShardID) StateMachine { return &historyMachine{} }
		})
		b.Cleanup(func() { _ = added.Close() })
		n.mutex.Lock()
		before := n.bytes
		n.mutex.Unlock()
		b.StartTimer()
		group[0].ReconcileMembers(testShard, members(group[0], group[1], added))
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
