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

// fleet is daemons with a network that loses, doubles, delays and reorders.
type fleet struct {
	now     time.Time
	rate    Rate
	nodes   []structs.NodeID
	side    []int // the part of the network that a daemon is in
	daemons []*RateLimiter
	pending []Outgoing
	// homes holds when each life of a daemon was last the tenant's home.
	homes map[Holder]time.Time
}

func newFleet(count int, rate Rate) *fleet {
	f := &fleet{
		now:     time.Unix(1_800_000_000, 0),
		rate:    rate,
		side:    make([]int, count),
		daemons: make([]*RateLimiter, count),
		homes:   map[Holder]time.Time{},
	}
	for i := range count {
		f.nodes = append(f.nodes, structs.NodeID(fmt.Sprintf("daemon-%d", i)))
	}
	for i := range count {
		f.start(i, 1)
	}
	return f
}

func (f *fleet) start(i int, life structs.Incarnation) {
	f.daemons[i] = NewRateLimiter(Holder{Node: f.nodes[i], Incarnation: life}, f.now, uint64(i))
	f.see(i)
	f.daemons[i].SetRates(f.now, DeclaredRates([]structs.Tenant{{Name: tenantA, RequestsPerSecond: float64(f.rate)}}))
}

// see gives a daemon the view of its side of the network.
func (f *fleet) see(i int) {
	view := View{KnownNodes: len(f.nodes)}
	for j, node := range f.nodes {
		if f.side[j] == f.side[i] {
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

// deliver gives one message to its receiver, unless the network is cut there.
func (f *fleet) deliver(message Outgoing) {
	to, from := f.index(message.To), f.index(message.Message.From.Node)
	if f.side[to] == f.side[from] {
		f.pending = append(f.pending, f.daemons[to].Receive(f.now, message.Message)...)
	}
}

func (f *fleet) tick(elapsed time.Duration) {
	f.now = f.now.Add(elapsed)
	for _, daemon := range f.daemons {
		f.pending = append(f.pending, daemon.Tick(f.now)...)
	}
	f.noteHomes()
}

// settle delivers everything in order.
func (f *fleet) settle() {
	for len(f.pending) > 0 {
		message := f.pending[0]
		f.pending = f.pending[1:]
		f.deliver(message)
	}
}

func (f *fleet) noteHomes() {
	for _, daemon := range f.daemons {
		if daemon.home(tenantA) == daemon.self.Node {
			f.homes[daemon.self] = f.now
		}
	}
}

// shares sums what all daemons may let in now.
func (f *fleet) shares() Rate {
	sum := Rate(0)
	for _, daemon := range f.daemons {
		sum += daemon.Rate(f.now, tenantA)
	}
	return sum
}

// bound is the oracle: the declared rate, once for each home of the last
// lifetime. Homes of parts that were cut off hand out only their fraction, so
// that the parts of one cut count once together.
func (f *fleet) bound() Rate {
	homes := 0
	for _, last := range f.homes {
		if f.now.Sub(last) <= ShareLifetime {
			homes++
		}
	}
	return f.rate * Rate(max(homes, 1))
}

// Whatever is lost, doubled, delayed, reordered or restarted, the shares in use
// never exceed the declared rate for each home that handed them out.
func TestSharesStayWithinDeclaredRatePerOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "daemons"), Rate(rapid.IntRange(1, 200).Draw(t, "rate")))
		life := structs.Incarnation(1)
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
				life++
				f.start(anyDaemon.Draw(t, "daemon"), life)
				f.noteHomes()
			},
			// Some daemons learn of a cut, or of its end, later than others.
			"cut or heal": func(t *rapid.T) {
				side := rapid.SliceOfN(rapid.IntRange(0, 1), len(f.nodes), len(f.nodes)).Draw(t, "side")
				copy(f.side, side)
				for i := range f.nodes {
					if rapid.Bool().Draw(t, "learns") {
						f.see(i)
					}
				}
			},
			"": func(t *rapid.T) {
				f.noteHomes()
				require.LessOrEqual(t, float64(f.shares()), float64(f.bound())*(1+1e-9))
			},
		})
	})
}

// While one home stays, the sum never exceeds the declared rate at all.
func TestSharesOfOneOwnerNeverExceedDeclaredRate(t *testing.T) {
	f := newFleet(5, 100)
	random := rand.New(rand.NewPCG(7, 7))
	most := Rate(0)
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
		most = max(most, f.shares())
		require.LessOrEqual(t, float64(f.shares()), 100*(1+1e-9))
	}
	require.Greater(t, float64(most), 80.0, "the rate was put to use")
}

// Parts of the cluster that are cut off from each other have homes of their
// own, and stay within the declared rate together once former grants ran out.
func TestPartitionsTogetherStayWithinDeclaredRate(t *testing.T) {
	f := newFleet(6, 60)
	for i := range f.side {
		f.side[i] = i % 2
	}
	for i := range f.side {
		f.see(i)
	}
	f.tick(ShareLifetime)
	for range 600 {
		for _, daemon := range f.daemons {
			for range 10 {
				_ = daemon.Admit(f.now, tenantA)
			}
		}
		f.tick(TickInterval)
		f.settle()
		require.LessOrEqual(t, float64(f.shares()), 60*(1+1e-9))
	}
	require.Greater(t, float64(f.shares()), 50.0)
}

// run lets requests arrive at a daemon at a rate for a while and returns how
// many it admitted.
func (f *fleet) run(daemon int, rate Rate, duration time.Duration) int {
	admitted, owed := 0, 0.0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += TickInterval {
		for owed += float64(rate) * TickInterval.Seconds(); owed >= 1; owed-- {
			if f.daemons[daemon].Admit(f.now, tenantA) == nil {
				admitted++
			}
		}
		f.tick(TickInterval)
		f.settle()
	}
	return admitted
}

func TestSharesFollowDemand(t *testing.T) {
	f := newFleet(7, 100)
	f.run(2, 90, 10*time.Second)
	require.Greater(t, f.run(2, 90, 10*time.Second), 880, "nearly all of the rate at one daemon")
	f.run(5, 90, 30*time.Second)
	require.Greater(t, f.run(5, 90, 10*time.Second), 880, "and at another, once demand has moved")
	require.InDelta(t, 1000, f.run(5, 300, 10*time.Second), 100, "three times the rate")
}

// Over a long overload what gets in is the declared rate, plus one burst a daemon.
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
		f.settle()
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

// A grant counts from the sending of the report that it answers: one that comes
// when its home has given the share to another gives nothing any more.
func TestGrantAfterShareLifetimeHasNoEffect(t *testing.T) {
	f := newFleet(2, 100)
	home := f.index(f.daemons[0].home(tenantA))
	holder := 1 - home
	require.NoError(t, f.daemons[holder].Admit(f.now, tenantA))
	reports := f.daemons[holder].Tick(f.now)
	require.Len(t, reports, 1)
	late := f.daemons[home].Receive(f.now, reports[0].Message)
	require.Len(t, late, 1)
	require.Greater(t, late[0].Message.Grants[0].Rate, Rate(1))
	before := f.daemons[holder].Rate(f.now, tenantA)
	f.now = f.now.Add(ShareLifetime)
	f.daemons[holder].Receive(f.now, late[0].Message)
	require.Equal(t, before, f.daemons[holder].Rate(f.now, tenantA))
}

// A daemon that restarted takes no grant of its former life.
func TestGrantForPreviousIncarnationHasNoEffect(t *testing.T) {
	f := newFleet(2, 100)
	home := f.index(f.daemons[0].home(tenantA))
	holder := 1 - home
	require.NoError(t, f.daemons[holder].Admit(f.now, tenantA))
	grants := f.daemons[home].Receive(f.now, f.daemons[holder].Tick(f.now)[0].Message)
	f.start(holder, 2)
	require.NoError(t, f.daemons[holder].Admit(f.now, tenantA))
	f.daemons[holder].Tick(f.now)
	before := f.daemons[holder].Rate(f.now, tenantA)
	f.daemons[holder].Receive(f.now, grants[0].Message)
	require.Equal(t, before, f.daemons[holder].Rate(f.now, tenantA))
}
