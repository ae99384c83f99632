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

// View is what a daemon knows of the others.
type View struct {
	// Nodes are the daemons held to be alive, this one among them.
	Nodes []structs.NodeID
	// KnownNodes counts the daemons of the last while, those now thought dead among
	// them. A part of the cluster that is cut off hands out only its fraction
	// of each rate, so that the parts together stay within it.
	KnownNodes int
}

// Rates are the declared rates of tenants, in requests a second over all
// daemons. It is immutable once declared.
type Rates map[structs.TenantID]Rate

// DeclaredRates returns the rates that the declarations give. Tenants without a rate
// are not in it and are not bounded.
func DeclaredRates(tenants []structs.Tenant) Rates {
	rates := make(Rates, len(tenants))
	for _, tenant := range tenants {
		if tenant.RequestsPerSecond > 0 {
			rates[tenant.Name] = Rate(tenant.RequestsPerSecond)
		}
	}
	return rates
}

// terms are what shares are worked out from. They are immutable.
type terms struct {
	rates Rates
	known int
}

// RateLimiter keeps tenants' declared rates over all daemons. Each tenant has a home
// daemon, by rendezvous hash, which hands shares of the rate out to the daemons
// that report demand. Admit is safe for concurrent use and takes no lock that
// tenants share; the other methods are for one goroutine that carries messages.
type RateLimiter struct {
	self  Holder
	seed  uint64
	terms atomic.Pointer[terms]
	byID  sync.Map // structs.TenantID to *share, of tenants seen
	// active lists the shares in use, which alone cost time and messages.
	active activeShares
	mutex  sync.Mutex
	// What follows is of the goroutine that carries messages, under mutex.
	view    View
	hashes  []uint64 // of view.Nodes
	homes   map[structs.TenantID]*tenantHome
	reports Bucket
}

// NewRateLimiter returns the shares of one life of a daemon. Before Declare no
// tenant is bounded.
func NewRateLimiter(self Holder, now time.Time, seed uint64) *RateLimiter {
	shares := &RateLimiter{
		self:    self,
		seed:    seed,
		homes:   map[structs.TenantID]*tenantHome{},
		reports: Bucket{Updated: now, Tokens: reportBurst},
	}
	shares.terms.Store(&terms{rates: Rates{}, known: 1})
	shares.SetView(now, View{Nodes: []structs.NodeID{self.Node}, KnownNodes: 1})
	return shares
}

// SetRates takes the rates of the configuration in force into use.
func (s *RateLimiter) SetRates(now time.Time, rates Rates) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.setTerms(now, &terms{rates: rates, known: s.terms.Load().known})
}

// SetView takes a changed membership into use.
func (s *RateLimiter) SetView(now time.Time, view View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	view.KnownNodes = max(view.KnownNodes, len(view.Nodes))
	if view.KnownNodes == s.view.KnownNodes && slices.Equal(view.Nodes, s.view.Nodes) {
		return
	}
	s.view = view
	s.hashes = make([]uint64, len(view.Nodes))
	for i, node := range view.Nodes {
		s.hashes[i] = xxhash.Sum64String(string(node))
	}
	for tenant := range s.homes {
		if s.home(tenant) != s.self.Node {
			delete(s.homes, tenant)
		}
	}
	if former := s.terms.Load(); former.known != view.KnownNodes {
		s.setTerms(now, &terms{rates: former.rates, known: view.KnownNodes})
	}
}

// setTerms changes the shares in use. One that is made meanwhile from the
// former terms is corrected by the second look of shareOf.
func (s *RateLimiter) setTerms(now time.Time, changed *terms) {
	s.terms.Store(changed)
	s.byID.Range(func(id, found any) bool {
		held := found.(*share)
		rate, bounded := changed.rates[held.tenant]
		if !bounded {
			s.active.remove(held)
			s.byID.Delete(id)
			return true
		}
		held.setTerms(now, rate, changed.known)
		return true
	})
}

// shareOf returns the tenant's share, or nil for a tenant that is not bounded.
func (s *RateLimiter) shareOf(now time.Time, tenant structs.TenantID) *share {
	if found, seen := s.byID.Load(tenant); seen {
		return found.(*share)
	}
	from := s.terms.Load()
	rate, bounded := from.rates[tenant]
	if !bounded {
		return nil
	}
	made := newShare(tenant, now, s.seed^xxhash.Sum64String(string(tenant)))
	made.setTerms(now, rate, from.known)
	found, _ := s.byID.LoadOrStore(tenant, made)
	held := found.(*share)
	if current := s.terms.Load(); current != from {
		rate, bounded = current.rates[tenant]
		if !bounded {
			s.byID.Delete(tenant)
			return nil
		}
		held.setTerms(now, rate, current.known)
	}
	return held
}

// Admit lets a request of the tenant in, or refuses it with a
// *failure.RateLimited.
func (s *RateLimiter) Admit(now time.Time, tenant structs.TenantID) error {
	held := s.shareOf(now, tenant)
	if held == nil {
		return nil
	}
	s.active.add(held)
	return held.admit(now)
}

// Rate returns what the daemon may let in for the tenant now; Unlimited for a
// tenant that declares no rate.
func (s *RateLimiter) Rate(now time.Time, tenant structs.TenantID) Rate {
	held := s.shareOf(now, tenant)
	if held == nil {
		return Unlimited
	}
	held.mutex.Lock()
	defer held.mutex.Unlock()
	return held.rate(now)
}

// home returns the tenant's home: the node with the highest hash.
func (s *RateLimiter) home(tenant structs.TenantID) structs.NodeID {
	best, bestHash := structs.NodeID(""), uint64(0)
	tenantHash := xxhash.Sum64String(string(tenant))
	for i, node := range s.view.Nodes {
		hash := mix(tenantHash ^ s.hashes[i])
		if best == "" || hash > bestHash || hash == bestHash && node < best {
			best, bestHash = node, hash
		}
	}
	return best
}

// mix spreads the bits of a combined hash (the finalizer of MurmurHash3).
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// capacity returns what a home may hand out of the tenant's rate.
func (s *RateLimiter) capacity(tenant structs.TenantID) Rate {
	visible := Rate(len(s.view.Nodes)) / Rate(max(s.view.KnownNodes, 1))
	return s.terms.Load().rates[tenant] * (1 - reserveFraction) * visible
}

func sortedHolders(holders map[Holder]*holding) []Holder {
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
