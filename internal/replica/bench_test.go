package replica

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

// benchTurnBytes is the approximate size of one stored turn of the users' programs.
const benchTurnBytes = 6 << 10

func benchService(b *testing.B) *service {
	opened, err := openState(recordlog.Directory(b.TempDir()))
	require.NoError(b, err)
	b.Cleanup(opened.log.Close)
	group := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Node: "a", Claim: 1}}}
	require.NoError(b, opened.write(groupRecord(group), identityRecord(0, &replicav1.Identity{Claim: 1, Incarnation: 3, Recovered: true})))
	return &service{state: opened, directory: directory.NewState(time.Now, nil), peers: newFailureDetector(time.Now)}
}

func turnRecord(n int) *replicav1.Record {
	turn := &replicav1.Turn{Id: fmt.Sprintf("t%d", n), Input: make([]byte, benchTurnBytes)}
	return &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: turn}, RetentionMs: 60_000}
}

// BenchmarkCommit stores one turn with its own fsync.
func BenchmarkCommit(b *testing.B) {
	replica := benchService(b)
	n := 0
	for b.Loop() {
		n++
		request := &replicav1.AppendRequest{Epoch: 1, Records: []*replicav1.Record{turnRecord(n)}}
		if _, err := replica.Append(context.Background(), connect.NewRequest(request)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRecovery copies a minute of turns, at 65 a second, from one replica to an empty one,
// without the network.
func BenchmarkRecovery(b *testing.B) {
	const turns = 60 * 65
	from := benchService(b)
	for n := range turns {
		require.NoError(b, from.state.write(turnRecord(n)))
	}
	for b.Loop() {
		to := benchService(b)
		request := &replicav1.PullRequest{Epoch: 1, Seat: 1, Incarnation: 5}
		for more := true; more; {
			response, err := from.Pull(context.Background(), connect.NewRequest(request))
			require.NoError(b, err)
			require.NoError(b, to.state.write(response.Msg.Records...))
			request.After, more = response.Msg.Next, response.Msg.More
		}
	}
}

// BenchmarkMemoryOfATurn reports the heap memory used by one stored turn.
func BenchmarkMemoryOfATurn(b *testing.B) {
	const turns = 10_000
	for b.Loop() {
		replica := benchService(b)
		before := heapBytes()
		for n := 0; n < turns; n += 100 {
			var records []*replicav1.Record
			for i := range 100 {
				records = append(records, turnRecord(n+i))
			}
			require.NoError(b, replica.state.write(records...))
		}
		b.ReportMetric(float64(heapBytes()-before)/turns, "heap-B/turn")
		runtime.KeepAlive(replica)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
