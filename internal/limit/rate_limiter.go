package limit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// View is a daemon's view of the cluster membership.
type View struct {
	// Nodes are the daemons considered alive, including this one.
	Nodes []structs.NodeID
	// KnownNodes counts the recently known daemons, including those now considered
	// dead. A partition of the cluster allocates only its fraction of each rate, so
	// that all partitions together stay within the rate.
	KnownNodes int
}

// Rates maps tenants to their declared rates, in requests per second across all
// daemons. It must not be modified after SetRates.
type Rates map[structs.TenantID]Rate

// DeclaredRates returns the rates of the tenants that declare one. Other tenants are
// not limited.
func DeclaredRates(tenants []structs.Tenant) Rates {
	rates := make(Rates, len(tenants))
	for _, tenant := range tenants {
		if tenant.RequestsPerSecond > 0 {
			rates[tenant.Name] = Rate(tenant.RequestsPerSecond)
		}
	}
	return rates
}

// shareParameters are the inputs from which shares are computed. They are immutable.
type shareParameters struct {
	rates      Rates
	knownNodes int
}

// RateLimiter enforces the declared rates of tenants across all daemons. Each tenant
// has an owner, the daemon chosen by rendezvous hashing, which grants shares of the
// rate to the daemons that report demand. Admit is safe for concurrent use and takes no
// lock that is shared between tenants; the other methods are for the one goroutine that
// transports messages.
type RateLimiter struct {
	self       Holder
	seed       uint64
	parameters atomic.Pointer[shareParameters]
	shares     sync.Map // structs.TenantID to *share, for tenants with requests
	// active is the set of shares in use. Only these cost CPU time and messages.
	active activeShares
	mutex  sync.Mutex
	// The mutex guards the following fields, which belong to the goroutine that
	// transports messages.
	view         View
	hashes       []uint64 // hashes of view.Nodes
	owned        map[structs.TenantID]*tenantOwner
	reportBucket Bucket
}

// NewRateLimiter returns the rate limiter of one incarnation of a daemon. It limits no
// tenant before SetRates.
func NewRateLimiter(self Holder, now time.Time, seed uint64) *RateLimiter {
	limiter := &RateLimiter{
		self:         self,
		seed:         seed,
		owned:        map[structs.TenantID]*tenantOwner{},
		reportBucket: Bucket{Updated: now, Tokens: reportBurst},
	}
	limiter.parameters.Store(&shareParameters{rates: Rates{}, knownNodes: 1})
	limiter.SetView(now, View{Nodes: []structs.NodeID{self.Node}, KnownNodes: 1})
	return limiter
}

// SetRates applies the rates of the active configuration.
func (l *RateLimiter) SetRates(now time.Time, rates Rates) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setParameters(now, &shareParameters{rates: rates, knownNodes: l.parameters.Load().knownNodes})
}

// SetView applies a membership change.
func (l *RateLimiter) SetView(now time.Time, view View) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	view.KnownNodes = max(view.KnownNodes, len(view.Nodes))
	if view.KnownNodes == l.view.KnownNodes && slices.Equal(view.Nodes, l.view.Nodes) {
		return
	}
	l.view = view
	l.hashes = make([]uint64, len(view.Nodes))
	for i, node := range view.Nodes {
		l.hashes[i] = xxhash.Sum64String(string(node))
	}
	for tenant := range l.owned {
		if l.owner(tenant) != l.self.Node {
			delete(l.owned, tenant)
		}
	}
	if previous := l.parameters.Load(); previous.knownNodes != view.KnownNodes {
		l.setParameters(now, &shareParameters{rates: previous.rates, knownNodes: view.KnownNodes})
	}
}

// setParameters updates all shares. A share that is created concurrently from the
// previous parameters is corrected by the second check in shareOf.
func (l *RateLimiter) setParameters(now time.Time, parameters *shareParameters) {
	l.parameters.Store(parameters)
	l.shares.Range(func(id, value any) bool {
		share := value.(*share)
		rate, limited := parameters.rates[share.tenant]
		if !limited {
			l.active.remove(share)
			l.shares.Delete(id)
			return true
		}
		share.setParameters(now, rate, parameters.knownNodes)
		return true
	})
}

// shareOf returns the tenant's share, or nil if the tenant is not limited.
func (l *RateLimiter) shareOf(now time.Time, tenant structs.TenantID) *share {
	if value, exists := l.shares.Load(tenant); exists {
		return value.(*share)
	}
	parameters := l.parameters.Load()
	rate, limited := parameters.rates[tenant]
	if !limited {
		return nil
	}
	created := newShare(tenant, now, l.seed^xxhash.Sum64String(string(tenant)))
	created.setParameters(now, rate, parameters.knownNodes)
	value, _ := l.shares.LoadOrStore(tenant, created)
	share := value.(*share)
	if current := l.parameters.Load(); current != parameters {
		rate, limited = current.rates[tenant]
		if !limited {
			l.shares.Delete(tenant)
			return nil
		}
		share.setParameters(now, rate, current.knownNodes)
	}
	return share
}

// Admit admits a request of the tenant or rejects it with a *failure.RateLimited.
func (l *RateLimiter) Admit(now time.Time, tenant structs.TenantID) error {
	share := l.shareOf(now, tenant)
	if share == nil {
		return nil
	}
	l.active.add(share)
	return share.admit(now)
}

// Rate returns the rate that this daemon may currently admit for the tenant, or
// Unlimited if the tenant declares no rate.
func (l *RateLimiter) Rate(now time.Time, tenant structs.TenantID) Rate {
	share := l.shareOf(now, tenant)
	if share == nil {
		return Unlimited
	}
	share.mutex.Lock()
	defer share.mutex.Unlock()
	return share.rate(now)
}

// owner returns the tenant's owner: the node with the highest hash.
func (l *RateLimiter) owner(tenant structs.TenantID) structs.NodeID {
	best, bestHash := structs.NodeID(""), uint64(0)
	tenantHash := xxhash.Sum64String(string(tenant))
	for i, node := range l.view.Nodes {
		hash := mixHash(tenantHash ^ l.hashes[i])
		if best == "" || hash > bestHash || hash == bestHash && node < best {
			best, bestHash = node, hash
		}
	}
	return best
}

// mixHash mixes the bits of a combined hash (the finalizer of MurmurHash3).
func mixHash(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// allocatableRate returns the part of the tenant's rate that its owner may grant.
func (l *RateLimiter) allocatableRate(tenant structs.TenantID) Rate {
	visibleFraction := Rate(len(l.view.Nodes)) / Rate(max(l.view.KnownNodes, 1))
	return l.parameters.Load().rates[tenant] * (1 - reserveFraction) * visibleFraction
}

func sortedHolders(holders map[Holder]*holderState) []Holder {
	sorted := make([]Holder, 0, len(holders))
	for holder := range holders {
		sorted = append(sorted, holder)
	}
	slices.SortFunc(sorted, compareHolders)
	return sorted
}

func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
}
