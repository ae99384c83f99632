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

// The deployment size that the rate limiter is designed for.
const (
	scaleDaemons  = 1_500
	scaleTenants  = 7_700
	scaleRequests = 21_000 // per second
)

// scaleRun simulates the rate limiters of a whole deployment and counts what they send.
type scaleRun struct {
	now         time.Time
	daemons     []*RateLimiter
	indexByNode map[structs.NodeID]int
	random      *rand.Rand
	tenants     []structs.TenantID
	// daemonsPerTenant is the number of daemons that receive one tenant's requests.
	daemonsPerTenant int
	bytes            []int
	messages         []int
	admitted         int
	offered          int
}

func newScaleRun(daemonsPerTenant int) *scaleRun {
	r := &scaleRun{
		now:         time.Unix(1_800_000_000, 0),
		indexByNode: map[structs.NodeID]int{},
		random:      rand.New(rand.NewPCG(1, 1)), daemonsPerTenant: daemonsPerTenant,
		bytes: make([]int, scaleDaemons), messages: make([]int, scaleDaemons),
	}
	view := View{KnownNodes: scaleDaemons}
	for i := range scaleDaemons {
		view.Nodes = append(view.Nodes, structs.NodeID(fmt.Sprintf("daemon-%04d", i)))
		r.indexByNode[view.Nodes[i]] = i
	}
	rates := Rates{}
	for i := range scaleTenants {
		r.tenants = append(r.tenants, structs.TenantID(fmt.Sprintf("tenant-%04d", i)))
		// Each rate is a third higher than the tenant's mean demand.
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

// runSecond simulates one second of requests and messages.
func (r *scaleRun) runSecond(b *testing.B) {
	const ticks = int(time.Second / TickInterval)
	for range ticks {
		for range scaleRequests / ticks {
			tenant := r.random.IntN(scaleTenants)
			daemon := (tenant*7919 + r.random.IntN(r.daemonsPerTenant)) % scaleDaemons
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
	from := r.indexByNode[out.Message.From.Node]
	r.bytes[from] += len(data)
	r.messages[from]++
	received := Message{}
	require.NoError(b, received.UnmarshalBinary(data))
	return r.daemons[r.indexByNode[out.To]].Receive(r.now, received)
}

// BenchmarkRateLimiterAtScale runs 1,500 daemons with 7,700 tenants and 21,000 requests
// per second; tenants request three quarters of their rate. It reports what one daemon
// sends, without the transport's framing, the fraction of requests admitted, and a
// daemon's heap without the table of rates, which all daemons share here.
func BenchmarkRateLimiterAtScale(b *testing.B) {
	for _, daemonsPerTenant := range []int{1, 3, 10, 100} {
		b.Run(fmt.Sprintf("daemonsPerTenant=%d", daemonsPerTenant), func(b *testing.B) {
			before := heapBytes()
			run := newScaleRun(daemonsPerTenant)
			const warmUp = 30
			for range warmUp {
				run.runSecond(b)
			}
			clear(run.bytes)
			clear(run.messages)
			run.admitted, run.offered = 0, 0
			seconds := 0
			for b.Loop() {
				run.runSecond(b)
				seconds++
			}
			slices.Sort(run.bytes)
			slices.Sort(run.messages)
			perSecond := func(values []int, index int) float64 { return float64(values[index]) / float64(seconds) }
			b.ReportMetric(perSecond(run.bytes, scaleDaemons/2), "bytes/s-median")
			b.ReportMetric(perSecond(run.bytes, scaleDaemons-1), "bytes/s-max")
			b.ReportMetric(perSecond(run.messages, scaleDaemons/2), "messages/s-median")
			b.ReportMetric(float64(heapBytes()-before)/scaleDaemons, "heap-bytes")
			b.ReportMetric(float64(run.admitted)/float64(run.offered), "admitted-fraction")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds)/scaleDaemons/1e7, "core-percent")
		})
	}
}

// heapBytes returns the heap size after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkRateLimiterAdmit measures the cost of the rate limit on the request path.
func BenchmarkRateLimiterAdmit(b *testing.B) {
	f := newFleet(1, 1e9)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = f.daemons[0].Admit(f.now, tenantA)
		}
	})
}
