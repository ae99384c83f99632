package limit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// The size that the shares are designed for.
const (
	scaleDaemons  = 1_500
	scaleTenants  = 7_700
	scaleRequests = 21_000 // a second
)

// scaleRun is a whole deployment's shares, and what they sent.
type scaleRun struct {
	now     time.Time
	daemons []*RateLimiter
	index   map[structs.NodeID]int
	random  *rand.Rand
	tenants []structs.TenantID
	// spread is the number of daemons that one tenant's callers use.
	spread   int
	bytes    []int
	messages []int
	admitted int
	offered  int
}

func newScaleRun(spread int) *scaleRun {
	r := &scaleRun{
		now:    time.Unix(1_800_000_000, 0),
		index:  map[structs.NodeID]int{},
		random: rand.New(rand.NewPCG(1, 1)), spread: spread,
		bytes: make([]int, scaleDaemons), messages: make([]int, scaleDaemons),
	}
	view := View{KnownNodes: scaleDaemons}
	for i := range scaleDaemons {
		view.Nodes = append(view.Nodes, structs.NodeID(fmt.Sprintf("daemon-%04d", i)))
		r.index[view.Nodes[i]] = i
	}
	rates := Rates{}
	for i := range scaleTenants {
		r.tenants = append(r.tenants, structs.TenantID(fmt.Sprintf("tenant-%04d", i)))
		// A third more than the tenant's mean demand.
		rates[r.tenants[i]] = Rate(scaleRequests) / scaleTenants * 4 / 3
	}
	for i := range scaleDaemons {
		daemon := NewRateLimiter(Holder{Node: view.Nodes[i], Incarnation: 1}, r.now, uint64(i))
		daemon.SetView(r.now, view)
		daemon.SetRates(r.now, rates)
		r.daemons = append(r.daemons, daemon)
	}
	return r
}

// second runs one second of requests and messages.
func (r *scaleRun) second(b *testing.B) {
	const ticks = int(time.Second / TickInterval)
	for range ticks {
		for range scaleRequests / ticks {
			tenant := r.random.IntN(scaleTenants)
			daemon := (tenant*7919 + r.random.IntN(r.spread)) % scaleDaemons
			r.offered++
			if r.daemons[daemon].Admit(r.now, r.tenants[tenant]) == nil {
				r.admitted++
			}
		}
		r.now = r.now.Add(TickInterval)
		var pending []Outgoing
		for _, daemon := range r.daemons {
			pending = append(pending, daemon.Tick(r.now)...)
		}
		for len(pending) > 0 {
			next := pending[0]
			pending = append(pending[1:], r.deliver(b, next)...)
		}
	}
}

func (r *scaleRun) deliver(b *testing.B, out Outgoing) []Outgoing {
	data, err := out.Message.MarshalBinary()
	require.NoError(b, err)
	from := r.index[out.Message.From.Node]
	r.bytes[from] += len(data)
	r.messages[from]++
	received := Message{}
	require.NoError(b, received.UnmarshalBinary(data))
	return r.daemons[r.index[out.To]].Receive(r.now, received)
}

// BenchmarkRateLimiterAtScale runs 1,500 daemons with 7,700 tenants and 21,000
// requests a second. It reports what one daemon sends, before the transport's
// own framing, the part of the requests admitted, and a daemon's heap without the
// table of rates, which the daemons share here; tenants ask for three quarters
// of their rate.
func BenchmarkRateLimiterAtScale(b *testing.B) {
	for _, spread := range []int{1, 3, 10, 100} {
		b.Run(fmt.Sprintf("daemonsPerTenant=%d", spread), func(b *testing.B) {
			before := heapBytes()
			run := newScaleRun(spread)
			const warmUp = 30
			for range warmUp {
				run.second(b)
			}
			clear(run.bytes)
			clear(run.messages)
			run.admitted, run.offered = 0, 0
			seconds := 0
			for b.Loop() {
				run.second(b)
				seconds++
			}
			slices.Sort(run.bytes)
			slices.Sort(run.messages)
			perSecond := func(values []int, at int) float64 { return float64(values[at]) / float64(seconds) }
			b.ReportMetric(perSecond(run.bytes, scaleDaemons/2), "bytes/s-median")
			b.ReportMetric(perSecond(run.bytes, scaleDaemons-1), "bytes/s-max")
			b.ReportMetric(perSecond(run.messages, scaleDaemons/2), "messages/s-median")
			b.ReportMetric(float64(heapBytes()-before)/scaleDaemons, "heap-bytes")
			b.ReportMetric(float64(run.admitted)/float64(run.offered), "admitted-fraction")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds)/scaleDaemons/1e7, "core-percent")
		})
	}
}

// heapBytes returns what is in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkRateLimiterAdmit is the cost on the path of a request.
func BenchmarkRateLimiterAdmit(b *testing.B) {
	f := newFleet(1, 1e9)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = f.daemons[0].Admit(f.now, tenantA)
		}
	})
}
