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
	"github.com/barleyshelf/barleyshelf/internal/route"
)

const (
	// relayWait is how long a replica may wait for an update before it answers. It is
	// short: a replica that the store does not answer keeps its callers back for
	// this long.
	relayWait = 700 * time.Millisecond
	// relayMargin is how much later a call is given up.
	relayMargin = 300 * time.Millisecond
	// relayPause is the time after a call that failed or brought nothing to wait
	// for.
	relayPause = 60 * time.Millisecond
	// relayAsked is how many replicas are asked at a time: each of them may be
	// stale.
	relayAsked = 2
	// passedOver is how long a replica that did not answer, or whose view of the store
	// is stale, is not asked while there are others.
	passedOver = 2 * time.Second
	// staleReport is the age from which a replica's view of the store is worth nothing: two
	// questions in a row, of a replica that asks others itself, take no longer.
	staleReport = 2 * relayWait
	// gatewaysMemory is how long a reported number of gateways holds where smaller ones
	// follow: replicas that have just started know few.
	gatewaysMemory = 10 * time.Second
	// groupsFirst is how long after its start a process that knows no group asks for all but the
	// workers: the few replicas that every process asks first would pass the whole list on to
	// each. With a group it asks replicas of its own zone.
	groupsFirst = 2 * time.Second
	// oneLaneFirst is how long after the start only the first lane asks for the workers, as long
	// as none are known: two would bring the whole list twice.
	oneLaneFirst = time.Second
	// noWorkers is a revision that no list of workers is later than.
	noWorkers = math.MaxInt64
)

// DirectoryPollerOptions set up a Relay.
type DirectoryPollerOptions struct {
	// Seeds are addresses of replicas that may be stale. They are asked while no
	// other is known.
	Seeds []string
	// ForwarderAddress is the address at which this process makes calls for others; one that
	// is empty makes none and learns of none.
	ForwarderAddress string
	// Sources returns the replicas that are worth asking; nil takes the members of all
	// groups.
	Sources func() []directory.Replica
	// Nodes takes what replicas report of nodes; nil does not ask for that.
	Nodes NodeUpdates
	// Workers reports to replicas what was observed of workers, and takes what all
	// reports say together; nil does neither.
	Workers WorkerObservations
}

// WorkerObservations is what a gateway observes of workers, and takes of others' observations.
type WorkerObservations interface {
	// TakeObservations returns what was seen since the last call.
	TakeObservations() []balance.Observation
	// MarkSuspect takes the workers that were found slow or failing.
	MarkSuspect(workers []string)
}

// NodeUpdates keeps the nodes and retirements that replicas report.
type NodeUpdates interface {
	// Revisions returns up to which revisions they are known.
	Revisions() *replicav1.NodeRevisions
	// Apply takes later lists; nil is none.
	Apply(nodes *replicav1.NodeList, retirements *replicav1.RetirementList)
}

// DirectoryPoller asks replicas for what they know of the platform's store: one after
// another, a few at a time, each of which answers as soon as there is an update. Replicas of
// the own zone come first, then those of its region.
type DirectoryPoller struct {
	client  *Client
	state   *directory.State
	options DirectoryPollerOptions
	seeds   atomic.Pointer[[]string]
	now     func() time.Time
	// began is when Run was called.
	began time.Time

	mutex sync.Mutex
	// staleUntil are the replicas that are passed over, by address.
	staleUntil map[string]time.Time
	// answeredAt is when a replica answered last, freshAt when one with a fresh view of
	// the store did, and reportedAt when the store gave the newest update.
	answeredAt, freshAt, reportedAt time.Time
	// gateways is how many are reported to ask the same replicas, at gatewaysAt.
	gateways   int
	gatewaysAt time.Time
}

// NewDirectoryPoller returns a relay into state.
func NewDirectoryPoller(client *Client, state *directory.State, options DirectoryPollerOptions) *DirectoryPoller {
	relay := &DirectoryPoller{client: client, state: state, options: options, now: time.Now, staleUntil: make(map[string]time.Time)}
	if options.Sources == nil {
		relay.options.Sources = client.members
	}
	relay.SetSeeds(options.Seeds)
	return relay
}

// SetSeeds replaces the addresses that are asked while no group is known.
func (r *DirectoryPoller) SetSeeds(seeds []string) { r.seeds.Store(&seeds) }

// FreshWithin reports whether a replica whose view of the platform's store is fresh
// answered within the given time.
func (r *DirectoryPoller) FreshWithin(limit time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.freshAt.IsZero() && r.now().Sub(r.freshAt) < limit
}

// AnsweredWithin reports whether any replica answered within the given time, whatever it knows
// of the platform's store.
func (r *DirectoryPoller) AnsweredWithin(limit time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.answeredAt.IsZero() && r.now().Sub(r.answeredAt) < limit
}

// UpdateAge returns how old the newest update of the platform's store is, or false if there was none.
func (r *DirectoryPoller) UpdateAge() (age time.Duration, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.now().Sub(r.reportedAt), !r.reportedAt.IsZero()
}

// GatewayCount returns how many gateways are known to ask the same replicas as this
// process, itself included; 0 is unknown.
func (r *DirectoryPoller) GatewayCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.gateways
}

// Run asks replicas until ctx ends.
func (r *DirectoryPoller) Run(ctx context.Context) {
	first := rand.IntN(1 << 16)
	r.began = r.now()
	for lane := range relayAsked - 1 {
		go r.runLane(ctx, first, lane+1)
	}
	r.runLane(ctx, first, 0)
}

// runLane asks one replica after another. Lanes are apart by their share of the
// replicas, as long as calls take alike.
func (r *DirectoryPoller) runLane(ctx context.Context, first, lane int) {
	for turn := 0; ctx.Err() == nil; turn++ {
		began := time.Now()
		if addresses := r.order(first+turn, lane); len(addresses) > 0 {
			r.ask(ctx, r.next(addresses), lane)
		}
		if time.Since(began) < relayPause {
			pause.For(ctx, relayPause)
		}
	}
}

// order returns the replicas in the order in which a lane prefers them: first those of
// the own zone, then those of its region, from another one on at each turn, then those of
// other regions, the nearest first. Where the own zone has fewer than there are lanes, a
// lane that it has none for begins with the others of the region, and with other regions
// where that has none for it either.
func (r *DirectoryPoller) order(turn, lane int) []string {
	zone, region, elsewhere := r.byDistance()
	if len(zone)+len(region)+len(elsewhere) == 0 {
		region = slices.Clone(*r.seeds.Load())
	}
	zone, region = rotated(zone, turn, lane), rotated(region, turn, lane)
	switch {
	case lane < len(zone):
		return slices.Concat(zone, region, elsewhere)
	case lane < len(zone)+len(region):
		return slices.Concat(region, zone, elsewhere)
	}
	return slices.Concat(elsewhere, region, zone)
}

// byDistance returns the addresses of the replicas that may be asked: those of the own zone,
// those of the other zones of its region, and those elsewhere, the nearest regions first
// and those that are equally far in random order.
func (r *DirectoryPoller) byDistance() (zone, region, elsewhere []string) {
	var far []directory.Replica
	for _, source := range r.options.Sources() {
		switch r.client.places.Class(source.Zone) {
		case distance.OwnZone:
			zone = append(zone, source.Address)
		case distance.OwnRegion:
			region = append(region, source.Address)
		default:
			far = append(far, source)
		}
	}
	view := r.client.ways.View()
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	slices.SortStableFunc(far, func(a, b directory.Replica) int { return cmp.Compare(view.Rank(a.Zone), view.Rank(b.Zone)) })
	for _, source := range far {
		elsewhere = append(elsewhere, source.Address)
	}
	return zone, region, elsewhere
}

// rotated returns addresses from a place on that differs by turn and by lane.
func rotated(addresses []string, turn, lane int) []string {
	if len(addresses) == 0 {
		return nil
	}
	from := (turn + lane*max(1, len(addresses)/relayAsked)) % len(addresses)
	return append(slices.Clone(addresses[from:]), addresses[:from]...)
}

// next returns the first address that is not passed over, if there is one.
func (r *DirectoryPoller) next(addresses []string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, address := range addresses {
		if !now.Before(r.staleUntil[address]) {
			return address
		}
	}
	return addresses[0]
}

// passOver notes whether a replica is worth asking.
func (r *DirectoryPoller) passOver(address string, stale bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !stale {
		delete(r.staleUntil, address)
		return
	}
	r.staleUntil[address] = r.now().Add(passedOver)
}

// workersKnown returns the revision from which on a lane asks for workers.
func (r *DirectoryPoller) workersKnown(lane int) int64 {
	revision, age := r.state.WorkersRevision(), r.now().Sub(r.began)
	if revision != 0 {
		return revision
	}
	if len(r.state.Groups()) == 0 && age < groupsFirst || lane > 0 && age < oneLaneFirst {
		return noWorkers
	}
	return 0
}

func (r *DirectoryPoller) ask(ctx context.Context, address string, lane int) {
	call, cancel := context.WithTimeout(ctx, relayWait+relayMargin)
	defer cancel()
	view := r.state.View()
	request := &replicav1.DirectoryRequest{
		WorkersRevision: r.workersKnown(lane), PatienceMs: uint32(relayWait.Milliseconds()), Epochs: view.Epochs(),
		Forwarder: r.options.ForwarderAddress, ForwardersDigest: r.client.forwarders.digest(),
		DrainedZonesRevision: view.Drains.Revision, Zone: r.client.zone,
	}
	if r.options.Nodes != nil {
		request.Nodes = r.options.Nodes.Revisions()
	}
	if r.options.Workers != nil {
		request.Observations = encodeObservations(r.options.Workers.TakeObservations())
	}
	if view.Table != nil {
		request.Version = view.Table.Version()
	}
	response, err := r.client.ReplicaClient(address).Directory(call, connect.NewRequest(request))
	if ctx.Err() != nil {
		return
	}
	r.passOver(address, err != nil || !fresh(response.Msg))
	if err == nil {
		r.take(address, response.Msg)
	}
}

// fresh reports whether a replica's view of the store is fresh.
func fresh(update *replicav1.DirectoryResponse) bool {
	return update.Heard && time.Duration(update.AgeMs)*time.Millisecond < staleReport
}

// take takes the update of the replica at an address.
func (r *DirectoryPoller) take(address string, update *replicav1.DirectoryResponse) {
	if kept := update.Configuration; kept != nil {
		configuration := &route.Configuration{}
		if err := json.Unmarshal(kept.Document, configuration); err != nil {
			eventNewsUnreadable.Log("version", kept.Version, "cause", err.Error())
		} else {
			r.state.ApplyConfiguration(configuration)
		}
	}
	// First the zones that are to get nothing: a worker that is new may be in one.
	r.state.ApplyDrainedZoneList(update.DrainedZones)
	r.state.ApplyWorkerList(update.Workers)
	for _, group := range update.Groups {
		r.state.ApplyPeerGroup(group, address)
	}
	if len(update.Forwarders) > 0 {
		r.client.forwarders.set(update.Forwarders)
	}
	if r.options.Nodes != nil {
		r.options.Nodes.Apply(update.Nodes, update.Retirements)
	}
	if r.options.Workers != nil {
		r.options.Workers.MarkSuspect(update.Suspects)
	}
	r.note(update)
}

func encodeObservations(seen []balance.Observation) []*replicav1.WorkerObservation {
	encoded := make([]*replicav1.WorkerObservation, 0, len(seen))
	for _, each := range seen {
		encoded = append(encoded, &replicav1.WorkerObservation{
			Id: each.Worker, Answers: uint32(each.Responses), Failures: uint32(each.Failures),
			Paced: uint32(each.LatencySamples), PaceSum: each.LatencyRatioSum,
		})
	}
	return encoded
}

// note takes how old a replica's view of the store is, and how many gateways ask it.
func (r *DirectoryPoller) note(update *replicav1.DirectoryResponse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.answeredAt = now
	if fresh(update) {
		r.freshAt = now
	}
	reported := now.Add(-time.Duration(update.AgeMs) * time.Millisecond)
	if update.Heard && reported.After(r.reportedAt) {
		r.reportedAt = reported
	}
	if gateways := int(update.Gateways); gateways >= r.gateways || now.Sub(r.gatewaysAt) > gatewaysMemory {
		r.gateways, r.gatewaysAt = gateways, now
	}
}
