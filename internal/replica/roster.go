package replica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/distance"
)

const (
	// rosterMemory is how long a gateway that no longer asks for updates is passed on.
	rosterMemory = 6 * time.Second
	// rosterShare is how many gateways each one learns of, whatever their number: one
	// that works is enough, and four are rarely in trouble together.
	rosterShare = 4
)

// roster knows which gateways ask for updates, and tells each of a few others, through
// which it may call replicas that it does not reach.
type roster struct {
	now func() time.Time
	// regions names the region of each zone; where it names one only, all gateways are alike.
	regions map[string]string

	mutex    sync.Mutex
	gateways map[string]listedGateway
}

// listedGateway is a gateway that asks for updates.
type listedGateway struct {
	at   time.Time
	zone string
}

func newRoster(now func() time.Time) *roster {
	return &roster{now: now, gateways: make(map[string]listedGateway)}
}

// among names the region of each zone. It is to be called before the roster is used.
func (r *roster) among(regions map[string]string) *roster {
	r.regions = regions
	return r
}

// note takes a sign of life of a gateway, by the address at which it forwards.
func (r *roster) note(forwarder, zone string) {
	if forwarder == "" {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.gateways[forwarder] = listedGateway{at: r.now(), zone: zone}
}

// count returns how many gateways have asked lately.
func (r *roster) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.gateways)
}

// near returns the gateways that one is to learn of, in the order in which it should try them.
// All replicas that list the same gateways choose alike. Of several regions, one is of
// another zone of its region, which rarely shares its trouble and is not far, one is of
// another region, and the others are of its own region as far as there are any.
func (r *roster) near(forwarder, zone string) []string {
	others := r.others(forwarder)
	places := distance.NewTopology(zone, r.regions)
	if !places.MultiRegion() {
		return others[:min(rosterShare, len(others))]
	}
	var by [distance.OtherRegion + 1][]string
	r.mutex.Lock()
	for _, each := range others {
		class := places.Class(r.gateways[each].zone)
		by[class] = append(by[class], each)
	}
	r.mutex.Unlock()
	var first []string
	for _, class := range []distance.Class{distance.OwnRegion, distance.OtherRegion} {
		if len(by[class]) > 0 {
			first, by[class] = append(first, by[class][0]), by[class][1:]
		}
	}
	chosen := slices.Concat(first, by[distance.OwnRegion], by[distance.OwnZone], by[distance.OtherRegion])
	return chosen[:min(rosterShare, len(chosen))]
}

// others returns the gateways that have asked lately but one, in an order that differs for
// each of them.
func (r *roster) others(forwarder string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	ranks := make(map[string]uint64, len(r.gateways))
	for address, gateway := range r.gateways {
		if now.Sub(gateway.at) > rosterMemory {
			delete(r.gateways, address)
			continue
		}
		if address != forwarder {
			ranks[address] = xxhash.Sum64String(forwarder + "/" + address)
		}
	}
	others := slices.Collect(maps.Keys(ranks))
	slices.SortFunc(others, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return others
}
