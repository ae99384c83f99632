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
	// gatewayExpiry is the time after its last request at which a gateway is forgotten.
	gatewayExpiry = 6 * time.Second
	// maxForwarders is the number of gateways that each gateway is told about. One working
	// forwarder is sufficient, and four rarely fail together.
	maxForwarders = 4
)

// gatewayRegistry tracks the gateways that request updates, and names some of them to each gateway,
// as forwarders for calls to replicas that it cannot reach.
type gatewayRegistry struct {
	now func() time.Time
	// regionOf maps each zone to its region. With a single region, all gateways are treated alike.
	regionOf map[string]string

	mutex    sync.Mutex
	gateways map[string]gatewayStatus
}

// gatewayStatus describes a gateway that requests updates.
type gatewayStatus struct {
	lastRequest time.Time
	zone        string
}

func newGatewayRegistry(now func() time.Time) *gatewayRegistry {
	return &gatewayRegistry{now: now, gateways: make(map[string]gatewayStatus)}
}

// withRegions sets the region of each zone. It must be called before the registry is used.
func (r *gatewayRegistry) withRegions(regionOf map[string]string) *gatewayRegistry {
	r.regionOf = regionOf
	return r
}

// observe records a request of a gateway, which is identified by its forwarding address.
func (r *gatewayRegistry) observe(forwarder, zone string) {
	if forwarder == "" {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.gateways[forwarder] = gatewayStatus{lastRequest: r.now(), zone: zone}
}

// count returns the number of gateways with recent requests.
func (r *gatewayRegistry) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.gateways)
}

// forwardersFor returns the gateways to name to a gateway, in the order in which it should try
// them. Replicas that know the same gateways return the same list. If there are several regions,
// the list starts with a gateway of another zone in the same region, which is near and rarely fails
// at the same time, and one of another region. The others are of the gateway's own region, as far
// as there are any.
func (r *gatewayRegistry) forwardersFor(forwarder, zone string) []string {
	others := r.otherGateways(forwarder)
	topology := distance.NewTopology(zone, r.regionOf)
	if !topology.MultiRegion() {
		return others[:min(maxForwarders, len(others))]
	}
	var byClass [distance.OtherRegion + 1][]string
	r.mutex.Lock()
	for _, address := range others {
		class := topology.Class(r.gateways[address].zone)
		byClass[class] = append(byClass[class], address)
	}
	r.mutex.Unlock()
	var preferred []string
	for _, class := range []distance.Class{distance.OwnRegion, distance.OtherRegion} {
		if len(byClass[class]) > 0 {
			preferred, byClass[class] = append(preferred, byClass[class][0]), byClass[class][1:]
		}
	}
	chosen := slices.Concat(preferred, byClass[distance.OwnRegion], byClass[distance.OwnZone], byClass[distance.OtherRegion])
	return chosen[:min(maxForwarders, len(chosen))]
}

// otherGateways returns all gateways with recent requests except the given one, in an order that
// differs for each gateway.
func (r *gatewayRegistry) otherGateways(forwarder string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	ranks := make(map[string]uint64, len(r.gateways))
	for address, gateway := range r.gateways {
		if now.Sub(gateway.lastRequest) > gatewayExpiry {
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
