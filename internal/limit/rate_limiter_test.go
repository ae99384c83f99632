package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const tenantA = structs.TenantID("voltkai")

// fleet is a set of daemons with a network that loses, duplicates, delays and reorders
// messages.
type fleet struct {
	now       time.Time
	rate      Rate
	nodes     []structs.NodeID
	partition []int // the network partition that a daemon is in
	daemons   []*RateLimiter
	pending   []Outgoing
	// lastOwned holds the time at which each daemon incarnation last was the tenant's
	// owner.
	lastOwned map[Holder]time.Time
}

func newFleet(daemons int, rate Rate) *fleet {
	f := &fleet{
		now:       time.Unix(1_800_000_000, 0),
		rate:      rate,
		partition: make([]int, daemons),
		daemons:   make([]*RateLimiter, daemons),
		lastOwned: map[Holder]time.Time{},
	}
	for i := range daemons {
		f.nodes = append(f.nodes, structs.NodeID(fmt.Sprintf("daemon-%d", i)))
	}
	for i := range daemons {
		f.start(i, 1)
	}
	return f
}

func (f *fleet) start(i int, incarnation structs.Incarnation) {
	f.daemons[i] = NewRateLimiter(Holder{Node: f.nodes[i], Incarnation: incarnation}, f.now, uint64(i))
	f.updateView(i)
	f.daemons[i].SetRates(f.now, DeclaredRates([]structs.Tenant{{Name: tenantA, RequestsPerSecond: float64(f.rate)}}))
}

// updateView gives a daemon the membership view of its partition.
func (f *fleet) updateView(i int) {
	view := View{KnownNodes: len(f.nodes)}
	for j, node := range f.nodes {
		if f.partition[j] == f.partition[i] {
			view.Nodes = append(view.Nodes, node)
		}
	}
	f.daemons[i].SetView(f.now, view)
}

func (f *fleet) index(node structs.NodeID) int {
	for i := range f.nodes {
		if f.nodes[i] == node {
			return i
		}
	}
	return -1
}

// deliver passes a message to its receiver unless the two are in different partitions.
func (f *fleet) deliver(message Outgoing) {
	to, from := f.index(message.To), f.index(message.Message.From.Node)
	if f.partition[to] == f.partition[from] {
		f.pending = append(f.pending, f.daemons[to].Receive(f.now, message.Message)...)
	}
}

func (f *fleet) tick(elapsed time.Duration) {
	f.now = f.now.Add(elapsed)
	for _, daemon := range f.daemons {
		f.pending = append(f.pending, daemon.Tick(f.now)...)
	}
	f.recordOwners()
}

// deliverAll delivers all pending messages and their replies in order.
func (f *fleet) deliverAll() {
	for len(f.pending) > 0 {
		message := f.pending[0]
		f.pending = f.pending[1:]
		f.deliver(message)
	}
}

func (f *fleet) recordOwners() {
	for _, daemon := range f.daemons {
		if daemon.owner(tenantA) == daemon.self.Node {
			f.lastOwned[daemon.self] = f.now
		}
	}
}

// totalRate returns the sum of the rates that all daemons may admit now.
func (f *fleet) totalRate() Rate {
	sum := Rate(0)
	for _, daemon := range f.daemons {
		sum += daemon.Rate(f.now, tenantA)
	}
	return sum
}

// maxTotalRate is the oracle: the declared rate times the number of owners within the
// last share lifetime. An owner in a partition grants only its partition's fraction of
// the rate, so the two owners of one partitioned cluster together count once.
func (f *fleet) maxTotalRate() Rate {
	owners := 0
	for _, lastOwned := range f.lastOwned {
		if f.now.Sub(lastOwned) <= ShareLifetime {
			owners++
		}
	}
	return f.rate * Rate(max(owners, 1))
}

// The shares in use never exceed the declared rate times the number of recent owners,
// even if messages are lost, duplicated, delayed or reordered and daemons restart.
func TestSharesStayWithinDeclaredRatePerOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "daemons"), Rate(rapid.IntRange(1, 200).Draw(t, "rate")))
		incarnation := structs.Incarnation(1)
		anyDaemon := rapid.IntRange(0, len(f.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				daemon := f.daemons[anyDaemon.Draw(t, "daemon")]
				for range rapid.IntRange(1, 50).Draw(t, "count") {
					_ = daemon.Admit(f.now, tenantA)
				}
			},
			"tick": func(t *rapid.T) {
				f.tick(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"deliver": func(t *rapid.T) {
				for range min(len(f.pending), 3) {
					i := rapid.IntRange(0, len(f.pending)-1).Draw(t, "message")
					message := f.pending[i]
					if !rapid.Bool().Draw(t, "doubled") {
						f.pending = append(f.pending[:i], f.pending[i+1:]...)
					}
					f.deliver(message)
				}
			},
			"settle": func(*rapid.T) {
				for range min(len(f.pending), 100) {
					message := f.pending[0]
					f.pending = f.pending[1:]
					f.deliver(message)
				}
			},
			"lose": func(*rapid.T) { f.pending = nil },
			"restart": func(t *rapid.T) {
				incarnation++
				f.start(anyDaemon.Draw(t, "daemon"), incarnation)
				f.recordOwners()
			},
			// Some daemons learn later than others that a partition begins or ends.
			"cut or heal": func(t *rapid.T) {
				partition := rapid.SliceOfN(rapid.IntRange(0, 1), len(f.nodes), len(f.nodes)).Draw(t, "side")
				copy(f.partition, partition)
				for i := range f.nodes {
					if rapid.Bool().Draw(t, "learns") {
						f.updateView(i)
					}
				}
			},
			"": func(t *rapid.T) {
				f.recordOwners()
				require.LessOrEqual(t, float64(f.totalRate()), float64(f.maxTotalRate())*(1+1e-9))
			},
		})
	})
}

// While the owner does not change, the sum of the shares never exceeds the declared
// rate.
func TestSharesOfOneOwnerNeverExceedDeclaredRate(t *testing.T) {
	f := newFleet(5, 100)
	random := rand.New(rand.NewPCG(7, 7))
	maxTotal := Rate(0)
	for range 20_000 {
		f.tick(time.Duration(random.IntN(2_000)) * time.Millisecond)
		busy := f.daemons[random.IntN(len(f.daemons))]
		for range random.IntN(300) {
			_ = busy.Admit(f.now, tenantA)
		}
		for range random.IntN(4) {
			if len(f.pending) > 0 {
				i := random.IntN(len(f.pending))
				f.deliver(f.pending[i])
				f.pending = append(f.pending[:i], f.pending[i+1:]...)
			}
		}
		if len(f.pending) > 50 {
			f.pending = f.pending[25:]
		}
		maxTotal = max(maxTotal, f.totalRate())
		require.LessOrEqual(t, float64(f.totalRate()), 100*(1+1e-9))
	}
	require.Greater(t, float64(maxTotal), 80.0, "most of the rate was used")
}

// Partitions of the cluster have separate owners. Together they stay within the
// declared rate once the grants from before the partition have expired.
func TestPartitionsTogetherStayWithinDeclaredRate(t *testing.T) {
	f := newFleet(6, 60)
	for i := range f.partition {
		f.partition[i] = i % 2
	}
	for i := range f.partition {
		f.updateView(i)
	}
	f.tick(ShareLifetime)
	for range 600 {
		for _, daemon := range f.daemons {
			for range 10 {
				_ = daemon.Admit(f.now, tenantA)
			}
		}
		f.tick(TickInterval)
		f.deliverAll()
		require.LessOrEqual(t, float64(f.totalRate()), 60*(1+1e-9))
	}
	require.Greater(t, float64(f.totalRate()), 50.0)
}

// run sends requests to a daemon at a rate for a duration and returns the number
// admitted.
func (f *fleet) run(daemon int, rate Rate, duration time.Duration) int {
	admitted, due := 0, 0.0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += TickInterval {
		for due += float64(rate) * TickInterval.Seconds(); due >= 1; due-- {
			if f.daemons[daemon].Admit(f.now, tenantA) == nil {
				admitted++
			}
		}
		f.tick(TickInterval)
		f.deliverAll()
	}
	return admitted
}

func TestSharesFollowDemand(t *testing.T) {
	f := newFleet(7, 100)
	f.run(2, 90, 10*time.Second)
	require.Greater(t, f.run(2, 90, 10*time.Second), 880, "nearly the whole rate at one daemon")
	f.run(5, 90, 30*time.Second)
	require.Greater(t, f.run(5, 90, 10*time.Second), 880, "nearly the whole rate at another daemon after demand has moved")
	require.InDelta(t, 1000, f.run(5, 300, 10*time.Second), 100, "demand of three times the rate")
}

// During a long overload, the number of admitted requests is the declared rate plus at
// most one burst per daemon.
func TestAdmissionUnderOverloadMatchesDeclaredRate(t *testing.T) {
	const rate, seconds, daemons = 50, 120, 4
	f := newFleet(daemons, rate)
	admitted := 0
	for range seconds * 10 {
		for _, daemon := range f.daemons {
			for range 5 {
				if daemon.Admit(f.now, tenantA) == nil {
					admitted++
				}
			}
		}
		f.tick(TickInterval)
		f.deliverAll()
	}
	require.LessOrEqual(t, admitted, rate*seconds+daemons*rate)
	require.Greater(t, admitted, rate*seconds*85/100)
}

func TestTenantsWithoutRateAreNotLimited(t *testing.T) {
	f := newFleet(1, 0)
	for range 10_000 {
		require.NoError(t, f.daemons[0].Admit(f.now, tenantA))
	}
	require.Equal(t, Unlimited, f.daemons[0].Rate(f.now, tenantA))
}

// A share's lifetime starts when the report is sent. A grant that arrives after that
// lifetime has no effect, because the owner may have granted the share to another
// daemon.
func TestGrantAfterShareLifetimeHasNoEffect(t *testing.T) {
	f := newFleet(2, 100)
	owner := f.index(f.daemons[0].owner(tenantA))
	holder := 1 - owner
	require.NoError(t, f.daemons[holder].Admit(f.now, tenantA))
	reports := f.daemons[holder].Tick(f.now)
	require.Len(t, reports, 1)
	lateGrants := f.daemons[owner].Receive(f.now, reports[0].Message)
	require.Len(t, lateGrants, 1)
	require.Greater(t, lateGrants[0].Message.Grants[0].Rate, Rate(1))
	before := f.daemons[holder].Rate(f.now, tenantA)
	f.now = f.now.Add(ShareLifetime)
	f.daemons[holder].Receive(f.now, lateGrants[0].Message)
	require.Equal(t, before, f.daemons[holder].Rate(f.now, tenantA))
}

// A restarted daemon ignores grants for its previous incarnation.
func TestGrantForPreviousIncarnationHasNoEffect(t *testing.T) {
	f := newFleet(2, 100)
	owner := f.index(f.daemons[0].owner(tenantA))
	holder := 1 - owner
	require.NoError(t, f.daemons[holder].Admit(f.now, tenantA))
	grants := f.daemons[owner].Receive(f.now, f.daemons[holder].Tick(f.now)[0].Message)
	f.start(holder, 2)
	require.NoError(t, f.daemons[holder].Admit(f.now, tenantA))
	f.daemons[holder].Tick(f.now)
	before := f.daemons[holder].Rate(f.now, tenantA)
	f.daemons[holder].Receive(f.now, grants[0].Message)
	require.Equal(t, before, f.daemons[holder].Rate(f.now, tenantA))
}
