package balance

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
)

// listedCandidate and the functions after it are the choice within one region, written for
// clearness: all lists are made, and ordered by rank. Choose must agree with it.
type listedCandidate struct {
	worker *directory.WorkerRecord
	load   int
	rank   uint64
}

func (b *Balancer) chooseByLists(workers []*directory.WorkerRecord, request Request) (directory.Worker, bool) {
	b.turn++
	b.rateOf(request.Service).count(b.now())
	candidates := b.listCandidates(workers, request)
	if len(candidates) == 0 {
		return directory.Worker{}, false
	}
	if near := b.listNearFirst(candidates, request, zonesOf(workers)); len(near) > 0 {
		candidates = near
	}
	best := pickOfList(candidates, request)
	b.of(best.worker.ID).inFlight++
	return best.worker.Worker, true
}

// zonesOf returns how many workers each zone has.
func zonesOf(workers []*directory.WorkerRecord) map[string]int {
	zones := make(map[string]int)
	for _, worker := range workers {
		zones[worker.Zone]++
	}
	return zones
}

// pickOfList returns the first candidate by rank that has not clearly more under way
// than the least loaded one.
func pickOfList(candidates []listedCandidate, request Request) listedCandidate {
	least := math.MaxInt
	for _, each := range candidates {
		least = min(least, each.load)
	}
	slack := 0
	if request.Affinity != "" {
		slack = affinitySlack
	}
	for _, each := range candidates {
		if each.load <= least+slack {
			return each
		}
	}
	return candidates[0]
}

// listCandidates returns the workers that may be chosen, by rank. Ejected and slow
// workers are left out, unless they are more than maxEjected of the service.
func (b *Balancer) listCandidates(workers []*directory.WorkerRecord, request Request) []listedCandidate {
	now := b.now()
	typical := b.typicalPaceOfList(now, workers)
	var usable, lapsed, ejected []listedCandidate
	for _, worker := range workers {
		if request.Tried[worker.ID] {
			continue
		}
		known := b.of(worker.ID)
		each := listedCandidate{worker: worker, load: known.inFlight, rank: b.listRank(request.Affinity, worker.ID)}
		switch {
		case worker.Lapsed:
			lapsed = append(lapsed, each)
		case now.Before(known.ejectedUntil), now.Before(known.suspectUntil), typical > 0 && known.pace.known(now) && known.pace.value > slowFactor*typical:
			ejected = append(ejected, each)
		default:
			usable = append(usable, each)
		}
	}
	if float64(len(ejected)) > maxEjected*float64(len(usable)+len(ejected)) {
		usable = append(usable, ejected...)
		ejected = nil
	}
	for _, reserve := range [][]listedCandidate{lapsed, ejected} {
		if len(usable) == 0 {
			usable = reserve
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].rank < usable[j].rank })
	return usable
}

func (b *Balancer) listRank(affinity, worker string) uint64 {
	digest := xxhash.New()
	if affinity == "" {
		var turn [8]byte
		for i := range turn {
			turn[i] = byte(b.turn >> (8 * i))
		}
		digest.Write(turn[:])
	} else {
		digest.WriteString(affinity)
	}
	digest.WriteString("/")
	digest.WriteString(worker)
	return digest.Sum64()
}

// listNearFirst returns those candidates that are in the own zone and have not clearly more
// under way than the least loaded of all. nil means that all are to be considered: this
// process has requests enough for every worker, the own zone has too few that are
// usable, or these have much to do.
func (b *Balancer) listNearFirst(usable []listedCandidate, request Request, listed map[string]int) []listedCandidate {
	if b.zone == "" || !b.rateOf(request.Service).spreadsTooThin(b.now(), len(usable)) {
		return nil
	}
	least := math.MaxInt
	inZone := 0
	for _, each := range usable {
		least = min(least, each.load)
		if each.worker.Zone == b.zone {
			inZone++
		}
	}
	if float64(inZone) < nearUsable*float64(listed[b.zone]) {
		return nil
	}
	slack := nearSlack
	if request.Affinity != "" {
		slack = affinitySlack
	}
	var near []listedCandidate
	for _, each := range usable {
		if each.worker.Zone == b.zone && each.load <= least+slack {
			near = append(near, each)
		}
	}
	if connected := connectedOfList(near, request); len(connected) > 0 {
		return connected
	}
	return near
}

// connectedOfList returns those candidates that a request without affinity reaches on a
// connection that is open already. Each process begins with workers of its own, drawn at
// random, so that processes do not gather at the same ones.
func connectedOfList(near []listedCandidate, request Request) (connected []listedCandidate) {
	if request.Affinity != "" || request.HasIdleConnection == nil {
		return nil
	}
	for _, each := range near {
		if request.HasIdleConnection(each.worker.Address) {
			connected = append(connected, each)
		}
	}
	return connected
}

// typicalPaceOfList is the median of the known paces; 0 where fewer than three are
// known.
func (b *Balancer) typicalPaceOfList(now time.Time, workers []*directory.WorkerRecord) float64 {
	const enough = 3
	var known []float64
	for _, worker := range workers {
		if record := b.record[worker.ID]; record != nil && record.pace.known(now) {
			known = append(known, record.pace.value)
		}
	}
	if len(known) < enough {
		return 0
	}
	sort.Float64s(known)
	return known[len(known)/2]
}

// oneRegion are maps of zones to regions in which no zone is known to be in another region
// than "a".
var oneRegion = []map[string]string{nil, {"a": "r", "b": "r", "c": "r", "d": "r"}, {"b": "r", "c": "s"}}

// TestChooseAgreesWithReferenceInOneRegion holds for any history that the choice among
// workers of one region, or of zones without regions, is the one made by lists.
func TestChooseAgreesWithReferenceInOneRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		zone := rapid.SampledFrom([]string{"", "a"}).Draw(t, "zone")
		places := distance.NewTopology("a", rapid.SampledFrom(oneRegion).Draw(t, "regions"))
		made, wanted := NewMultiRegion(clock, zone, distance.NewZoneLatencies(places), places), New(clock, zone)
		listed := make([]*directory.WorkerRecord, rapid.IntRange(0, 24).Draw(t, "workers"))
		for i := range listed {
			id := fmt.Sprint("w", i)
			listed[i] = &directory.WorkerRecord{Worker: directory.Worker{ID: id, Address: id, Zone: string(rune('a' + i%4))}}
			listed[i].Lapsed = rapid.IntRange(0, 9).Draw(t, "lapsed") == 0
		}
		connected := func(address string) bool { return len(address)%2 == 0 }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			request := Request{
				Affinity: rapid.SampledFrom([]string{"", "p", "q", "r"}).Draw(t, "affinity"), Service: "s",
				Tried:     map[string]bool{fmt.Sprint("w", rapid.IntRange(0, 30).Draw(t, "tried")): true},
				Remaining: time.Second, PriorityRank: rapid.IntRange(0, 3).Draw(t, "urgency"),
			}
			if rapid.Bool().Draw(t, "connections") {
				request.HasIdleConnection = connected
			}
			want, wantFound := wanted.chooseByLists(listed, request)
			have, found := made.Choose(listed, request)
			require.Equal(t, wantFound, found)
			require.Equal(t, want, have.Worker)
			if !found {
				continue
			}
			require.Equal(t, LocalRegion, have.RegionReason)
			verdict := AttemptResult(rapid.IntRange(int(Served), int(Canceled)).Draw(t, "verdict"))
			took := rapid.Float64Range(0.1, 4).Draw(t, "took")
			goesOn := rapid.IntRange(0, 2).Draw(t, "goes on") == 0
			for _, each := range []*Balancer{made, wanted} {
				each.ObserveLatency(want.ID, took)
				if !goesOn {
					each.Done(want.ID, verdict)
				}
			}
		}
	})
}
