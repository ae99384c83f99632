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

// referenceCandidate and the functions below are a simple implementation of the choice within one
// region, which builds and sorts complete lists. Choose must agree with it.
type referenceCandidate struct {
	worker *directory.WorkerRecord
	load   int
	rank   uint64
}

func (b *Balancer) referenceChoose(workers []*directory.WorkerRecord, request Request) (directory.Worker, bool) {
	b.choices++
	b.rateOf(request.Service).observe(b.now())
	candidates := b.referenceCandidates(workers, request)
	if len(candidates) == 0 {
		return directory.Worker{}, false
	}
	if local := b.referencePreferLocalZone(candidates, request, countZones(workers)); len(local) > 0 {
		candidates = local
	}
	best := referencePick(candidates, request)
	b.statsOf(best.worker.ID).inFlight++
	return best.worker.Worker, true
}

// countZones returns the number of workers by zone.
func countZones(workers []*directory.WorkerRecord) map[string]int {
	zones := make(map[string]int)
	for _, worker := range workers {
		zones[worker.Zone]++
	}
	return zones
}

// referencePick returns the first candidate by rank whose load exceeds the lowest load by no more
// than the allowed slack.
func referencePick(candidates []referenceCandidate, request Request) referenceCandidate {
	lowest := math.MaxInt
	for _, each := range candidates {
		lowest = min(lowest, each.load)
	}
	slack := 0
	if request.Affinity != "" {
		slack = affinitySlack
	}
	for _, each := range candidates {
		if each.load <= lowest+slack {
			return each
		}
	}
	return candidates[0]
}

// referenceCandidates returns the workers that can be chosen, by rank. Ejected and slow workers are
// excluded unless they exceed maxEjectedShare of the service.
func (b *Balancer) referenceCandidates(workers []*directory.WorkerRecord, request Request) []referenceCandidate {
	now := b.now()
	median := b.referenceMedianLatency(now, workers)
	var usable, lapsed, ejected []referenceCandidate
	for _, worker := range workers {
		if request.Tried[worker.ID] {
			continue
		}
		stats := b.statsOf(worker.ID)
		each := referenceCandidate{worker: worker, load: stats.inFlight, rank: b.referenceRank(request.Affinity, worker.ID)}
		switch {
		case worker.Lapsed:
			lapsed = append(lapsed, each)
		case now.Before(stats.ejectedUntil), now.Before(stats.suspectUntil), median > 0 && stats.latency.valid(now) && stats.latency.ratio > slowFactor*median:
			ejected = append(ejected, each)
		default:
			usable = append(usable, each)
		}
	}
	if float64(len(ejected)) > maxEjectedShare*float64(len(usable)+len(ejected)) {
		usable = append(usable, ejected...)
		ejected = nil
	}
	for _, fallback := range [][]referenceCandidate{lapsed, ejected} {
		if len(usable) == 0 {
			usable = fallback
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].rank < usable[j].rank })
	return usable
}

func (b *Balancer) referenceRank(affinity, worker string) uint64 {
	digest := xxhash.New()
	if affinity == "" {
		var sequence [8]byte
		for i := range sequence {
			sequence[i] = byte(b.choices >> (8 * i))
		}
		digest.Write(sequence[:])
	} else {
		digest.WriteString(affinity)
	}
	digest.WriteString("/")
	digest.WriteString(worker)
	return digest.Sum64()
}

// referencePreferLocalZone returns the candidates in the local zone whose load exceeds the lowest
// load of all by no more than the allowed slack. It returns nil if all candidates must be
// considered: the request rate is high enough to reuse connections to every worker, too few workers
// of the local zone are usable, or all of these have a high load.
func (b *Balancer) referencePreferLocalZone(usable []referenceCandidate, request Request, listedByZone map[string]int) []referenceCandidate {
	if b.zone == "" || !b.rateOf(request.Service).tooLowForReuse(b.now(), len(usable)) {
		return nil
	}
	lowest := math.MaxInt
	usableInZone := 0
	for _, each := range usable {
		lowest = min(lowest, each.load)
		if each.worker.Zone == b.zone {
			usableInZone++
		}
	}
	if float64(usableInZone) < minUsableShare*float64(listedByZone[b.zone]) {
		return nil
	}
	slack := localZoneSlack
	if request.Affinity != "" {
		slack = affinitySlack
	}
	var local []referenceCandidate
	for _, each := range usable {
		if each.worker.Zone == b.zone && each.load <= lowest+slack {
			local = append(local, each)
		}
	}
	if connected := referenceConnected(local, request); len(connected) > 0 {
		return connected
	}
	return local
}

// referenceConnected returns the candidates with an idle connection if the request has no affinity.
func referenceConnected(candidates []referenceCandidate, request Request) (connected []referenceCandidate) {
	if request.Affinity != "" || request.HasIdleConnection == nil {
		return nil
	}
	for _, each := range candidates {
		if request.HasIdleConnection(each.worker.Address) {
			connected = append(connected, each)
		}
	}
	return connected
}

// referenceMedianLatency returns the median of the known latency ratios, or 0 if fewer than three
// are known.
func (b *Balancer) referenceMedianLatency(now time.Time, workers []*directory.WorkerRecord) float64 {
	const minRatios = 3
	var ratios []float64
	for _, worker := range workers {
		if stats := b.stats[worker.ID]; stats != nil && stats.latency.valid(now) {
			ratios = append(ratios, stats.latency.ratio)
		}
	}
	if len(ratios) < minRatios {
		return 0
	}
	sort.Float64s(ratios)
	return ratios[len(ratios)/2]
}

// oneRegion contains assignments in which no zone is known to be in another region than zone "a".
var oneRegion = []map[string]string{nil, {"a": "r", "b": "r", "c": "r", "d": "r"}, {"b": "r", "c": "s"}}

// TestChooseAgreesWithReferenceInOneRegion compares Choose with the reference for random histories,
// with workers of one region or of zones without regions.
func TestChooseAgreesWithReferenceInOneRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		zone := rapid.SampledFrom([]string{"", "a"}).Draw(t, "zone")
		places := distance.NewTopology("a", rapid.SampledFrom(oneRegion).Draw(t, "regions"))
		balancer, reference := NewMultiRegion(clock, zone, distance.NewZoneLatencies(places), places), New(clock, zone)
		workers := make([]*directory.WorkerRecord, rapid.IntRange(0, 24).Draw(t, "workers"))
		for i := range workers {
			id := fmt.Sprint("w", i)
			workers[i] = &directory.WorkerRecord{Worker: directory.Worker{ID: id, Address: id, Zone: string(rune('a' + i%4))}}
			workers[i].Lapsed = rapid.IntRange(0, 9).Draw(t, "lapsed") == 0
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
			want, wantFound := reference.referenceChoose(workers, request)
			have, found := balancer.Choose(workers, request)
			require.Equal(t, wantFound, found)
			require.Equal(t, want, have.Worker)
			if !found {
				continue
			}
			require.Equal(t, LocalRegion, have.RegionReason)
			result := AttemptResult(rapid.IntRange(int(Served), int(Canceled)).Draw(t, "result"))
			ratio := rapid.Float64Range(0.1, 4).Draw(t, "ratio")
			continues := rapid.IntRange(0, 2).Draw(t, "continues") == 0
			for _, each := range []*Balancer{balancer, reference} {
				each.ObserveLatency(want.ID, ratio)
				if !continues {
					each.Done(want.ID, result)
				}
			}
		}
	})
}
