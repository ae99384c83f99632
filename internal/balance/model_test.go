package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
)

// The model simulates gateways and workers in three regions of two zones each. The turns of a
// program follow one another through random gateways of its region, except for turns that arrive
// through another region. A worker processes a limited number of requests at a time and rejects
// others. It processes a program's prompt again unless it served the program's previous turn.
const (
	modelWorkers       = 8 // in each region
	modelSlots         = 6
	modelGateways      = 6 // in each region
	modelTurns         = 6
	modelTurnDelay     = 300 * time.Millisecond
	modelLatency       = 150 * time.Millisecond
	modelPromptLatency = 60 * time.Millisecond
	modelRegionDelay   = 20 * time.Millisecond // one-way delay to another region
	modelLocalDelay    = time.Millisecond
	modelDeadline      = 4 * time.Second
	modelRetryDelay    = 30 * time.Millisecond // delay after all tries of a request were rejected
	modelMaxTries      = 6
	modelDuration      = 42 * time.Second
	// disturbanceStart and disturbanceEnd are relative to the start of the run.
	disturbanceStart, disturbanceEnd = 8 * time.Second, 22 * time.Second
)

var modelRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// modelStrategy is a way to choose workers.
type modelStrategy struct {
	name   string
	policy spilloverPolicy
	// ignoreRegions treats all zones as zones of one region.
	ignoreRegions bool
}

var strategies = []modelStrategy{
	{name: "one region", ignoreRegions: true}, {name: "threshold", policy: thresholdPolicy{}}, {name: "cost", policy: costPolicy{}},
}

// thresholdPolicy is an alternative to costPolicy. It raises the share while workers of the local
// region reject requests, whatever the cost in other regions, and lowers it slowly. Between two
// thresholds the share does not change.
type thresholdPolicy struct{}

func (thresholdPolicy) nextShare(share float64, elapsed time.Duration, state regionState) float64 {
	const enterRejectedShare, leaveRejectedShare = 0.3, 0.1
	step := min(elapsed, maxStep).Seconds()
	switch {
	case state.localRejectedShare > enterRejectedShare && state.localRejectedShare > state.remoteRejectedShare:
		share += step * maxRiseRate * (state.localRejectedShare - leaveRejectedShare)
	case state.localRejectedShare < leaveRejectedShare, state.remoteRejectedShare > state.localRejectedShare:
		share -= step * maxFallRate
	}
	return max(unavailableShare(state.usableShare), min(1, max(0, share)))
}

// disturbance describes what happens to region a between disturbanceStart and disturbanceEnd.
type disturbance struct {
	name string
	// rate is the number of programs that start in region a per second during the disturbance. It
	// is 15 in other regions and at other times.
	rate float64
	// registered is the number of region a's workers that are registered during the disturbance.
	registered int
	// movedShare is the share of turns that arrive through another region, at any time.
	movedShare float64
}

var disturbances = []disturbance{
	{name: "calm", rate: 15, registered: modelWorkers},
	{name: "moved turns", rate: 15, registered: modelWorkers, movedShare: 0.1},
	{name: "burst", rate: 45, registered: modelWorkers},
	{name: "half of the workers removed", rate: 22, registered: modelWorkers / 2},
	{name: "all workers removed", rate: 15, registered: 0},
}

// modelResult is the outcome of a run.
type modelResult struct {
	meanLatency              time.Duration
	lost                     int
	served                   int
	remoteShare, rereadShare float64
	oscillation              float64
	peakRemoteShare          float64
	remoteSecondsAfter       int
}

func (r modelResult) String() string {
	return fmt.Sprintf("mean latency %v, remote share %.3f, reread share %.3f, lost %d of %d, peak remote share %.2f, oscillation %.2f, remote seconds after the disturbance %d",
		r.meanLatency.Round(100*time.Microsecond), r.remoteShare, r.rereadShare, r.lost, r.served, r.peakRemoteShare, r.oscillation, r.remoteSecondsAfter)
}

type modelEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type model struct {
	disturbance disturbance
	random      *rand.Rand
	now         time.Time
	started     time.Time
	queue       modelQueue
	events      int
	gateways    map[string][]*Balancer
	listed      []*directory.WorkerRecord
	running     map[string]int
	// lastWorker is the worker that served the previous turn, by program.
	lastWorker   map[string]string
	totalLatency time.Duration
	rereads      int
	result       modelResult
	// remotePerSecond and turnsPerSecond count region a's turns served in another region and all
	// its turns, by second.
	remotePerSecond, turnsPerSecond []int
}

func newModel(strategy modelStrategy, disturbance disturbance, seed uint64) *model {
	m := &model{
		disturbance: disturbance, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), started: time.Unix(1000, 0),
		gateways: make(map[string][]*Balancer), running: make(map[string]int), lastWorker: make(map[string]string),
		remotePerSecond: make([]int, 2*modelDuration/time.Second), turnsPerSecond: make([]int, 2*modelDuration/time.Second),
	}
	clock := func() time.Time { return m.now }
	for _, region := range []string{"a", "b", "c"} {
		for i := range modelGateways {
			zone := fmt.Sprint(region, 1+i%2)
			places := distance.NewTopology(zone, modelRegions)
			if strategy.ignoreRegions {
				places = distance.Topology{}
			}
			times := distance.NewZoneLatencies(places)
			for other, otherRegion := range modelRegions {
				times.Observe(m.now, other, 2*delayBetween(region, otherRegion))
			}
			balancer := NewMultiRegion(clock, "", times, places)
			balancer.policy = strategy.policy
			m.gateways[region] = append(m.gateways[region], balancer)
		}
		for i := range modelWorkers {
			m.listed = append(m.listed, &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprint(region, "-", i), Zone: fmt.Sprint(region, 1+i%2)}})
		}
	}
	return m
}

func delayBetween(a, b string) time.Duration {
	if a == b {
		return modelLocalDelay
	}
	return modelRegionDelay
}

func (m *model) schedule(delay time.Duration, run func()) {
	m.events++
	heap.Push(&m.queue, modelEvent{at: m.now.Add(delay), sequence: m.events, run: run})
}

func (m *model) disturbed() bool {
	elapsed := m.now.Sub(m.started)
	return elapsed >= disturbanceStart && elapsed < disturbanceEnd
}

// startPrograms starts the programs of a region one after another.
func (m *model) startPrograms(region string, number int) {
	if m.now.Sub(m.started) > modelDuration {
		return
	}
	rate := 15.0
	if region == "a" && m.disturbed() {
		rate = m.disturbance.rate
	}
	m.schedule(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		m.startTurn(region, fmt.Sprint(region, "/", number), modelTurns)
		m.startPrograms(region, number+1)
	})
}

// workers returns the currently registered workers.
func (m *model) workers() []*directory.WorkerRecord {
	if !m.disturbed() {
		return m.listed
	}
	return slices.Concat(m.listed[:m.disturbance.registered], m.listed[modelWorkers:])
}

// startTurn sends one turn of a program.
func (m *model) startTurn(region, program string, turnsLeft int) {
	gatewayRegion := region
	if m.random.Float64() < m.disturbance.movedShare {
		gatewayRegion = []string{"a", "b", "c"}[m.random.IntN(3)]
	}
	gateway := m.gateways[gatewayRegion][m.random.IntN(modelGateways)]
	m.send(&modelTurn{
		region: region, gatewayRegion: gatewayRegion, program: program, turnsLeft: turnsLeft, gateway: gateway, startedAt: m.now, tried: make(map[string]bool),
	})
}

type modelTurn struct {
	region, gatewayRegion, program string
	turnsLeft                      int
	gateway                        *Balancer
	startedAt                      time.Time
	tried                          map[string]bool
}

func (m *model) send(turn *modelTurn) {
	waited := m.now.Sub(turn.startedAt)
	if waited > modelDeadline {
		m.result.lost++
		return
	}
	request := Request{
		Affinity: turn.program, Service: "s", Tried: turn.tried, Remaining: modelDeadline - waited, TypicalLatency: modelLatency, PriorityRank: 1,
	}
	if len(turn.tried) == modelMaxTries {
		clear(turn.tried)
		m.schedule(modelRetryDelay, func() { m.send(turn) })
		return
	}
	chosen, found := turn.gateway.Choose(m.workers(), request)
	if !found {
		clear(turn.tried)
		m.schedule(modelRetryDelay, func() { m.send(turn) })
		return
	}
	delay := delayBetween(turn.gatewayRegion, modelRegions[chosen.Zone])
	m.schedule(delay, func() { m.arrive(turn, chosen.Worker, delay) })
}

func (m *model) arrive(turn *modelTurn, worker directory.Worker, delay time.Duration) {
	if m.running[worker.ID] >= modelSlots {
		m.schedule(delay, func() {
			turn.tried[worker.ID] = true
			turn.gateway.Done(worker.ID, Rejected)
			m.send(turn)
		})
		return
	}
	m.running[worker.ID]++
	duration := modelLatency + time.Duration(float64(modelLatency)/2*float64(m.running[worker.ID])/modelSlots)
	if m.lastWorker[turn.program] != worker.ID {
		duration += modelPromptLatency
		if turn.turnsLeft < modelTurns {
			m.rereads++
		}
	}
	m.lastWorker[turn.program] = worker.ID
	m.schedule(duration, func() { m.running[worker.ID]-- })
	m.schedule(duration+delay, func() { m.finishTurn(turn, worker, delay) })
}

func (m *model) finishTurn(turn *modelTurn, worker directory.Worker, delay time.Duration) {
	turn.gateway.Done(worker.ID, Served)
	m.result.served++
	m.totalLatency += m.now.Sub(turn.startedAt)
	second := int(m.now.Sub(m.started) / time.Second)
	remote := 0
	if delay == modelRegionDelay {
		remote = 1
		m.result.remoteShare++
	}
	if turn.gatewayRegion == "a" && second < len(m.turnsPerSecond) {
		m.turnsPerSecond[second]++
		m.remotePerSecond[second] += remote
	}
	if turn.turnsLeft > 1 {
		m.schedule(modelTurnDelay, func() { m.startTurn(turn.region, turn.program, turn.turnsLeft-1) })
	}
}

// run simulates the model until no events are left.
func (m *model) run() modelResult {
	for _, region := range []string{"a", "b", "c"} {
		m.startPrograms(region, 0)
	}
	for m.queue.Len() > 0 {
		next := heap.Pop(&m.queue).(modelEvent)
		m.now = next.at
		next.run()
	}
	served := float64(m.result.served)
	m.result.meanLatency = m.totalLatency / time.Duration(m.result.served)
	m.result.remoteShare /= served
	m.result.rereadShare = float64(m.rereads) / served
	m.measureOscillation()
	return m.result
}

// measureOscillation computes the share of region a's turns that were served in another region, by
// second and smoothed over three seconds. The oscillation is the sum of its changes beyond one rise
// to the peak and one fall.
func (m *model) measureOscillation() {
	last := int(modelDuration / time.Second)
	share := func(second int) float64 {
		remote, all := 0, 0
		for _, each := range []int{second - 1, second, second + 1} {
			remote, all = remote+m.remotePerSecond[each], all+m.turnsPerSecond[each]
		}
		return float64(remote) / float64(max(1, all))
	}
	var shares []float64
	changes := 0.0
	for second := 2; second < last; second++ {
		shares = append(shares, share(second))
		if n := len(shares); n > 1 {
			changes += max(shares[n-1]-shares[n-2], shares[n-2]-shares[n-1])
		}
		if second > int(disturbanceEnd/time.Second) && share(second) > 0.05 {
			m.result.remoteSecondsAfter++
		}
	}
	m.result.peakRemoteShare = slices.MaxFunc(shares, cmp.Compare)
	m.result.oscillation = max(0, changes-2*m.result.peakRemoteShare)
}

// averageRuns averages runs with different random seeds.
func averageRuns(strategy modelStrategy, disturbance disturbance) (mean modelResult) {
	const runs = 2
	for seed := range uint64(runs) {
		result := newModel(strategy, disturbance, seed).run()
		mean.meanLatency += result.meanLatency / runs
		mean.lost += result.lost
		mean.served += result.served
		mean.remoteShare += result.remoteShare / runs
		mean.rereadShare += result.rereadShare / runs
		mean.oscillation += result.oscillation / runs
		mean.peakRemoteShare += result.peakRemoteShare / runs
		mean.remoteSecondsAfter = max(mean.remoteSecondsAfter, result.remoteSecondsAfter)
	}
	return mean
}

// TestCostPolicyOutperformsAlternatives simulates each strategy under each disturbance. The cost
// policy must be no slower, use other regions no more and oscillate less than the alternatives.
func TestCostPolicyOutperformsAlternatives(t *testing.T) {
	results := make(map[string]map[string]modelResult)
	for _, disturbance := range disturbances {
		results[disturbance.name] = make(map[string]modelResult)
		for _, strategy := range strategies {
			result := averageRuns(strategy, disturbance)
			results[disturbance.name][strategy.name] = result
			t.Logf("%-12s %-10s %v", disturbance.name, strategy.name, result)
		}
	}
	for name, result := range results {
		cost, threshold, singleRegion := result["cost"], result["threshold"], result["one region"]
		require.Zero(t, cost.lost, name)
		require.Less(t, cost.meanLatency, singleRegion.meanLatency, "%s: ignoring regions must cost time", name)
		require.Less(t, cost.remoteShare, singleRegion.remoteShare/2, "%s: traffic between regions", name)
		require.LessOrEqual(t, cost.meanLatency, threshold.meanLatency, name)
		require.LessOrEqual(t, cost.remoteShare, threshold.remoteShare, name)
		require.Less(t, cost.oscillation, 0.25, "%s: gateways must not move requests back and forth", name)
		require.LessOrEqual(t, cost.remoteSecondsAfter, 15, "%s: requests must return to their region", name)
	}
}
