package quorum

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

const (
	// longPollWait is how long a replica may wait for an update before it answers. It is short
	// because a replica that gets no answer from the store delays its callers for this long.
	longPollWait = 700 * time.Millisecond
	// longPollMargin is how much longer than longPollWait a call may take.
	longPollMargin = 300 * time.Millisecond
	// minPollInterval is the minimum time between two calls, for calls that fail or return early.
	minPollInterval = 60 * time.Millisecond
	// pollLoopCount is the number of replicas polled concurrently, because each of them may be
	// stale.
	pollLoopCount = 2
	// avoidDuration is how long a replica that did not answer, or whose view of the store is
	// stale, is not polled while there are others.
	avoidDuration = 2 * time.Second
	// staleAge is the age from which a replica's view of the store is stale. Two consecutive
	// polls, by a replica that polls others itself, take no longer.
	staleAge = 2 * longPollWait
	// gatewayCountTTL is how long a reported gateway count is kept when smaller ones follow,
	// because replicas that have just started know few gateways.
	gatewayCountTTL = 10 * time.Second
	// workersDelayWithoutGroup is how long after its start a process without a known group does
	// not request the worker list. The few seed replicas would otherwise send the whole list to
	// every starting process. Once a group is known, the process polls replicas of its own zone.
	workersDelayWithoutGroup = 2 * time.Second
	// workersDelayOtherLoops is how long after the start only the first poll loop requests
	// workers while none are known. Two loops would receive the whole list twice.
	workersDelayOtherLoops = time.Second
	// skipWorkersRevision is a revision that no worker list exceeds, so that replicas send none.
	skipWorkersRevision = math.MaxInt64
)

// DirectoryPollerOptions configure a DirectoryPoller.
type DirectoryPollerOptions struct {
	// Seeds are addresses of replicas, possibly outdated, that are polled while no other replica
	// is known.
	Seeds []string
	// ForwarderAddress is the address at which this process forwards calls for other gateways. If
	// it is empty, the process forwards no calls and receives no addresses of forwarders.
	ForwarderAddress string
	// Sources returns the replicas to poll. If nil, the members of all groups are polled.
	Sources func() []directory.Replica
	// Nodes receives the nodes reported by replicas. If nil, nodes are not requested.
	Nodes NodeUpdates
	// Workers provides this process's observations of workers and receives the combined result of
	// all gateways. It may be nil.
	Workers WorkerObservations
	// Quarantine are the counts of requests under which workers have ended, which are exchanged with
	// replicas. It may be nil.
	Quarantine *quarantine.Table
}

// WorkerObservations exchanges a gateway's observations of workers with those of other gateways.
type WorkerObservations interface {
	// TakeObservations returns the observations since the last call.
	TakeObservations() []balance.Observation
	// MarkSuspect sets the workers that were found slow or failing.
	MarkSuspect(workers []string)
}

// NodeUpdates stores the nodes and retirements reported by replicas.
type NodeUpdates interface {
	// Revisions returns the latest known revisions.
	Revisions() *replicav1.NodeRevisions
	// Apply adopts later lists; nil means no list.
	Apply(nodes *replicav1.NodeList, retirements *replicav1.RetirementList)
}

// DirectoryPoller polls replicas for what they know of the platform's store. It polls a few
// replicas concurrently, one after another in each loop; each call returns as soon as there is an
// update. Replicas of its own zone are preferred, then those of its region.
type DirectoryPoller struct {
	client  *Client
	state   *directory.State
	options DirectoryPollerOptions
	seeds   atomic.Pointer[[]string]
	now     func() time.Time
	// startedAt is when Run was called.
	startedAt time.Time
	// answeredAt is when any replica last answered; nil before that. Requests read it.
	answeredAt atomic.Pointer[time.Time]
	// quarantine exchanges the options' Quarantine; nil if there is none.
	quarantine *quarantineExchange

	mutex sync.Mutex
	// avoidUntil is how long replicas are avoided, by address.
	avoidUntil map[string]time.Time
	// freshAt is when a replica with a fresh view of the store last answered, and reportedAt is the
	// time of the store's newest update.
	freshAt, reportedAt time.Time
	// gatewayCount is the reported number of gateways that poll the same replicas, as of
	// gatewayCountAt.
	gatewayCount   int
	gatewayCountAt time.Time
}

// NewDirectoryPoller returns a poller that updates state.
func NewDirectoryPoller(client *Client, state *directory.State, options DirectoryPollerOptions) *DirectoryPoller {
	poller := &DirectoryPoller{client: client, state: state, options: options, now: time.Now, avoidUntil: make(map[string]time.Time)}
	if options.Sources == nil {
		poller.options.Sources = client.allMembers
	}
	if options.Quarantine != nil {
		poller.quarantine = newQuarantineExchange(options.Quarantine)
	}
	poller.SetSeeds(options.Seeds)
	return poller
}

// SetSeeds replaces the addresses that are polled while no group is known.
func (p *DirectoryPoller) SetSeeds(seeds []string) { p.seeds.Store(&seeds) }

// FreshWithin reports whether a replica with a fresh view of the platform's store answered within
// the limit.
func (p *DirectoryPoller) FreshWithin(limit time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.freshAt.IsZero() && p.now().Sub(p.freshAt) < limit
}

// AnsweredWithin reports whether any replica answered within the limit, whatever its view of the
// platform's store. It takes no lock.
func (p *DirectoryPoller) AnsweredWithin(limit time.Duration) bool {
	answeredAt := p.answeredAt.Load()
	return answeredAt != nil && p.now().Sub(*answeredAt) < limit
}

// UpdateAge returns the age of the newest update of the platform's store. known is false if there
// was none.
func (p *DirectoryPoller) UpdateAge() (age time.Duration, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.now().Sub(p.reportedAt), !p.reportedAt.IsZero()
}

// GatewayCount returns the number of gateways known to poll the same replicas, including this
// process; 0 is unknown.
func (p *DirectoryPoller) GatewayCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.gatewayCount
}

// Run polls replicas until ctx ends.
func (p *DirectoryPoller) Run(ctx context.Context) {
	offset := rand.IntN(1 << 16)
	p.startedAt = p.now()
	for loop := range pollLoopCount - 1 {
		go p.runLoop(ctx, offset, loop+1)
	}
	p.runLoop(ctx, offset, 0)
}

// runLoop polls one replica after another. The loops start at different replicas and stay apart
// as long as calls take equally long.
func (p *DirectoryPoller) runLoop(ctx context.Context, offset, loop int) {
	for iteration := 0; ctx.Err() == nil; iteration++ {
		startedAt := time.Now()
		quarantineChanged := false
		if addresses := p.addressOrder(offset+iteration, loop); len(addresses) > 0 {
			quarantineChanged = p.poll(ctx, p.nextAddress(addresses), loop)
		}
		switch {
		case quarantineChanged:
			// More ends may follow at once, and the replica waits until this process has them.
			iteration--
			pause.For(ctx, quarantinePollInterval)
		case time.Since(startedAt) < minPollInterval:
			pause.For(ctx, minPollInterval)
		}
	}
}

// addressOrder returns the replicas in the order in which a loop prefers them: those of the own
// zone, then those of its region, each rotated by iteration, then those of other regions, the
// nearest first. If the own zone has fewer replicas than there are loops, the remaining loops
// prefer the rest of the region, or other regions if the region has too few replicas as well.
func (p *DirectoryPoller) addressOrder(iteration, loop int) []string {
	zone, region, elsewhere := p.addressesByDistance()
	if len(zone)+len(region)+len(elsewhere) == 0 {
		region = slices.Clone(*p.seeds.Load())
	}
	zone, region = rotate(zone, iteration, loop), rotate(region, iteration, loop)
	switch {
	case loop < len(zone):
		return slices.Concat(zone, region, elsewhere)
	case loop < len(zone)+len(region):
		return slices.Concat(region, zone, elsewhere)
	}
	return slices.Concat(elsewhere, region, zone)
}

// addressesByDistance returns the addresses of the replicas to poll: those of the own zone, those
// of other zones of its region, and those of other regions. The latter are sorted by distance,
// and equally distant ones are in random order.
func (p *DirectoryPoller) addressesByDistance() (zone, region, elsewhere []string) {
	var far []directory.Replica
	for _, source := range p.options.Sources() {
		switch p.client.topology.Class(source.Zone) {
		case distance.OwnZone:
			zone = append(zone, source.Address)
		case distance.OwnRegion:
			region = append(region, source.Address)
		default:
			far = append(far, source)
		}
	}
	view := p.client.zoneLatencies.View()
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	slices.SortStableFunc(far, func(a, b directory.Replica) int { return cmp.Compare(view.Rank(a.Zone), view.Rank(b.Zone)) })
	for _, source := range far {
		elsewhere = append(elsewhere, source.Address)
	}
	return zone, region, elsewhere
}

// rotate rotates addresses to a start that depends on iteration and loop.
func rotate(addresses []string, iteration, loop int) []string {
	if len(addresses) == 0 {
		return nil
	}
	start := (iteration + loop*max(1, len(addresses)/pollLoopCount)) % len(addresses)
	return append(slices.Clone(addresses[start:]), addresses[:start]...)
}

// nextAddress returns the first address that is not avoided, or the first one if all are.
func (p *DirectoryPoller) nextAddress(addresses []string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for _, address := range addresses {
		if !now.Before(p.avoidUntil[address]) {
			return address
		}
	}
	return addresses[0]
}

// recordStaleness records whether a replica is stale and to be avoided.
func (p *DirectoryPoller) recordStaleness(address string, stale bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !stale {
		delete(p.avoidUntil, address)
		return
	}
	p.avoidUntil[address] = p.now().Add(avoidDuration)
}

// requestedWorkersRevision returns the revision after which a loop requests workers.
func (p *DirectoryPoller) requestedWorkersRevision(loop int) int64 {
	revision, age := p.state.WorkersRevision(), p.now().Sub(p.startedAt)
	if revision != 0 {
		return revision
	}
	if len(p.state.Groups()) == 0 && age < workersDelayWithoutGroup || loop > 0 && age < workersDelayOtherLoops {
		return skipWorkersRevision
	}
	return 0
}

// poll polls the replica at an address. It reports whether the answer had quarantine records.
func (p *DirectoryPoller) poll(ctx context.Context, address string, loop int) (quarantineChanged bool) {
	callCtx, cancel := context.WithTimeout(ctx, longPollWait+longPollMargin)
	defer cancel()
	view := p.state.View()
	request := &replicav1.DirectoryRequest{
		WorkersRevision: p.requestedWorkersRevision(loop), PatienceMs: uint32(longPollWait.Milliseconds()), Epochs: view.Epochs(),
		Forwarder: p.options.ForwarderAddress, ForwardersDigest: p.client.forwarders.digest(),
		DrainedZonesRevision: view.Drains.Revision, Zone: p.client.zone,
	}
	if p.options.Nodes != nil {
		request.Nodes = p.options.Nodes.Revisions()
	}
	if p.options.Workers != nil {
		request.Observations = encodeObservations(p.options.Workers.TakeObservations())
	}
	if view.Table != nil {
		request.Version = view.Table.Version()
	}
	quarantineAnswered := p.addQuarantine(address, request)
	response, err := p.client.ReplicaClient(address).Directory(callCtx, connect.NewRequest(request))
	if ctx.Err() != nil {
		return false
	}
	p.recordStaleness(address, err != nil || !isFresh(response.Msg))
	if err == nil {
		quarantineChanged = quarantineAnswered(response.Msg)
		p.apply(address, response.Msg)
	}
	return quarantineChanged
}

// isFresh reports whether a replica's view of the store is fresh.
func isFresh(update *replicav1.DirectoryResponse) bool {
	return update.Heard && time.Duration(update.AgeMs)*time.Millisecond < staleAge
}

// apply applies the update of the replica at an address.
func (p *DirectoryPoller) apply(address string, update *replicav1.DirectoryResponse) {
	if received := update.Configuration; received != nil {
		configuration := &route.Configuration{}
		if err := json.Unmarshal(received.Document, configuration); err != nil {
			eventConfigurationUnreadable.Log("version", received.Version, "cause", err.Error())
		} else {
			p.state.ApplyConfiguration(configuration)
		}
	}
	// Drained zones are applied first, because a new worker may be in one of them.
	p.state.ApplyDrainedZoneList(update.DrainedZones)
	p.state.ApplyWorkerList(update.Workers)
	for _, group := range update.Groups {
		p.state.ApplyPeerGroup(group, address)
	}
	if len(update.Forwarders) > 0 {
		p.client.forwarders.set(update.Forwarders)
	}
	if p.options.Nodes != nil {
		p.options.Nodes.Apply(update.Nodes, update.Retirements)
	}
	if p.options.Workers != nil {
		p.options.Workers.MarkSuspect(update.Suspects)
	}
	p.recordResponse(update)
}

func encodeObservations(observations []balance.Observation) []*replicav1.WorkerObservation {
	encoded := make([]*replicav1.WorkerObservation, 0, len(observations))
	for _, observation := range observations {
		encoded = append(encoded, &replicav1.WorkerObservation{
			Id: observation.Worker, Answers: uint32(observation.Responses), Failures: uint32(observation.Failures),
			Paced: uint32(observation.LatencySamples), PaceSum: observation.LatencyRatioSum,
		})
	}
	return encoded
}

// recordResponse records the age of a replica's view of the store, and the number of gateways
// that poll it.
func (p *DirectoryPoller) recordResponse(update *replicav1.DirectoryResponse) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	p.answeredAt.Store(&now)
	if isFresh(update) {
		p.freshAt = now
	}
	reportedAt := now.Add(-time.Duration(update.AgeMs) * time.Millisecond)
	if update.Heard && reportedAt.After(p.reportedAt) {
		p.reportedAt = reportedAt
	}
	if gateways := int(update.Gateways); gateways >= p.gatewayCount || now.Sub(p.gatewayCountAt) > gatewayCountTTL {
		p.gatewayCount, p.gatewayCountAt = gateways, now
	}
}
