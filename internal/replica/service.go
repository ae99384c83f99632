package replica

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// service serves calls of gateways and other replicas. It implements
// replicav1connect.ReplicaServiceHandler.
type service struct {
	// node is the name of this replica.
	node string
	// stopping reports whether this replica is stopping; nil means no.
	stopping  func() bool
	state     *state
	directory *directory.State
	peers     *failureDetector
	gateways  *gatewayRegistry
	// storeViewAge returns the age of this replica's view of the platform's store, and false if it
	// has no view.
	storeViewAge       func() (age time.Duration, known bool)
	nodes              *nodeRegistry
	versions           *directory.VersionHistory
	workerObservations *workerObservations
	grants             *grantAllocator
	quarantine         *quarantineHub
	// report returns this replica's report about a partition.
	report func(partition uint32) *replicav1.ReplicaReport
	// configuration caches the encoded current configuration.
	configuration encodedConfiguration
}

// Append stores records and lists reservations. A replica without a seat stores nothing.
func (s *service) Append(_ context.Context, request *connect.Request[replicav1.AppendRequest]) (*connect.Response[replicav1.AppendResponse], error) {
	partition := request.Msg.Partition
	response := &replicav1.AppendResponse{Standing: s.state.standing(partition, request.Msg.Epoch)}
	if request.Msg.Report {
		response.Report = s.report(partition)
	}
	if !response.Standing.Member || response.Standing.Epoch > request.Msg.Epoch {
		return connect.NewResponse(response), nil
	}
	if len(request.Msg.Records) > 0 {
		for _, record := range request.Msg.Records {
			record.Partition = partition
		}
		if err := s.state.write(request.Msg.Records...); err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, err)
		}
	}
	// The standing is read again after the write, so that the answer includes what this replica
	// learned meanwhile.
	response.Standing = s.state.standing(partition, request.Msg.Epoch)
	s.state.mutex.Lock()
	defer s.state.mutex.Unlock()
	for _, program := range request.Msg.Programs {
		response.Entries = append(response.Entries, s.state.partition(partition).store.Entries(program)...)
	}
	return connect.NewResponse(response), nil
}

// ReadChain returns a turn and its predecessors.
func (s *service) ReadChain(_ context.Context, request *connect.Request[replicav1.ReadChainRequest]) (*connect.Response[replicav1.ReadChainResponse], error) {
	turns, err := s.state.turnChain(request.Msg.Partition, request.Msg.Id)
	if err != nil {
		return nil, connect.NewError(connect.CodeDataLoss, err)
	}
	response := &replicav1.ReadChainResponse{Turns: turns, Standing: s.state.standing(request.Msg.Partition, request.Msg.Epoch)}
	return connect.NewResponse(response), nil
}

// ReadStream returns at which software version a stream began, and the versions of its service.
func (s *service) ReadStream(_ context.Context, request *connect.Request[replicav1.ReadStreamRequest]) (*connect.Response[replicav1.ReadStreamResponse], error) {
	response := &replicav1.ReadStreamResponse{Standing: s.state.standing(request.Msg.Partition, request.Msg.Epoch)}
	if request.Msg.Service != "" {
		response.Versions = s.knownVersions(request.Msg.Service)
	}
	s.state.mutex.Lock()
	defer s.state.mutex.Unlock()
	response.Starts = s.state.partition(request.Msg.Partition).store.StreamStarts(request.Msg.Content, request.Msg.Request)
	return connect.NewResponse(response), nil
}

// knownVersions returns for how long this replica has known the software versions of a service's workers.
func (s *service) knownVersions(service string) (versions []*replicav1.KnownVersion) {
	for version, knownFor := range s.versions.KnownFor(service) {
		versions = append(versions, &replicav1.KnownVersion{Version: version, KnownMs: uint64(knownFor.Milliseconds())})
	}
	return versions
}

// Pull sends records to a recovering replica, after the incarnation of that replica is on this
// disk. A caller with an older group is rejected: it may have lost its seat meanwhile.
func (s *service) Pull(_ context.Context, request *connect.Request[replicav1.PullRequest]) (*connect.Response[replicav1.PullResponse], error) {
	if known := s.state.currentGroup(request.Msg.Partition).GetEpoch(); known > request.Msg.Epoch {
		return nil, connect.NewError(connect.CodeFailedPrecondition, &StaleGroup{Epoch: request.Msg.Epoch, Known: known})
	}
	if err := s.state.write(incarnationRecord(request.Msg.Partition, request.Msg.Seat, request.Msg.Incarnation)); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	response := &replicav1.PullResponse{Life: s.state.generation}
	response.Standing, response.Agreement = s.state.agreement(request.Msg.Partition, request.Msg.Epoch)
	var err error
	response.Records, response.Next, response.More, err = s.state.recordsAfter(request.Msg.Partition, request.Msg.After, chunkSize(request.Msg.MaxBytes))
	if err != nil {
		return nil, connect.NewError(connect.CodeDataLoss, err)
	}
	return connect.NewResponse(response), nil
}

// chunkSize returns the size limit of one chunk of a copy. A caller that names none (0) gets the
// maximum.
func chunkSize(requested uint32) int {
	if requested == 0 {
		return maxChunkBytes
	}
	return min(int(requested), maxChunkBytes)
}

// Announce accepts another replica's group and incarnation.
func (s *service) Announce(_ context.Context, request *connect.Request[replicav1.AnnounceRequest]) (*connect.Response[replicav1.AnnounceResponse], error) {
	message := request.Msg
	partition := message.Group.GetPartition()
	newest := s.state.currentGroup(partition)
	ownSystem := directory.SystemOf([]*replicav1.Group{newest, directory.AnyGroup(s.directory.Groups())})
	if newest == nil && !s.directory.AcceptsPeerGroups() {
		s.directory.ApplyPeerGroup(message.Group, message.Node)
		message = &replicav1.AnnounceRequest{Node: message.Node, Stopping: message.Stopping}
	}
	if message.Group != nil && !directory.AcceptsGroup(ownSystem, message.Group) {
		return nil, s.rejectForeignGroup(message.Group, ownSystem, message.Node)
	}
	if message.Group.GetEpoch() > newest.GetEpoch() {
		newest = message.Group
	}
	var records []*replicav1.Record
	if message.Group != nil {
		records = append(records, groupRecord(message.Group))
	}
	if message.Incarnation != 0 && newest != nil && senderHoldsSeat(newest, message) {
		records = append(records, incarnationRecord(partition, message.Seat, message.Incarnation))
	}
	switch {
	case message.Stopping:
		s.peers.observeStopping(message.Node)
	case message.DiskUnavailable:
		s.peers.observeDiskUnavailable(message.Node)
	default:
		s.peers.observe(message.Node)
	}
	if err := s.state.write(records...); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	s.directory.ApplyPeerGroup(s.state.currentGroup(partition), message.Node)
	return connect.NewResponse(&replicav1.AnnounceResponse{Node: s.node, Stopping: s.stopping != nil && s.stopping(), Standing: s.state.standing(partition, 0)}), nil
}

// rejectForeignGroup logs a group of another system, and returns the answer to its sender.
func (s *service) rejectForeignGroup(group *replicav1.Group, own uint64, sender string) error {
	s.directory.ApplyPeerGroup(group, sender)
	return connect.NewError(connect.CodeFailedPrecondition, &directory.ForeignSystem{Own: own, Other: group.GetSystem()})
}

// learnGroup applies a group that a proposer has sent. It returns an error if the group may belong to
// another system; while this process's system is unknown, the group is queued for verification.
func (s *service) learnGroup(group *replicav1.Group) error {
	const proposer = "proposer"
	known := s.state.currentGroup(group.GetPartition())
	own := directory.SystemOf([]*replicav1.Group{known, directory.AnyGroup(s.directory.Groups())})
	isUnverified := known == nil && !s.directory.AcceptsPeerGroups()
	if group == nil || isUnverified || !directory.AcceptsGroup(own, group) {
		return s.rejectForeignGroup(group, own, proposer)
	}
	s.directory.ApplyPeerGroup(group, proposer)
	return nil
}

// senderHoldsSeat reports whether the sender of an announcement holds the named seat in the group.
// A delayed announcement may name a seat that another node has taken over.
func senderHoldsSeat(group *replicav1.Group, message *replicav1.AnnounceRequest) bool {
	member := announcedMember(group, message.Node)
	return member != nil && member.Seat == message.Seat
}

// Directory returns everything that is newer than the caller's versions. If there is nothing, it
// waits as long as the caller allows.
func (s *service) Directory(ctx context.Context, request *connect.Request[replicav1.DirectoryRequest]) (*connect.Response[replicav1.DirectoryResponse], error) {
	s.gateways.observe(request.Msg.Forwarder, request.Msg.Zone)
	s.workerObservations.add(request.Msg.Observations)
	defer s.quarantine.beginPoll(request.Msg.Quarantine)()
	timeout := time.NewTimer(time.Duration(request.Msg.PatienceMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		changed, nodesChanged := s.directory.ViewChanged(), s.nodes.changeNotification(request.Msg.Nodes != nil)
		quarantineChanged := s.quarantine.table.Changed()
		response, err := s.changesSince(request.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		hasFirstForwarders := request.Msg.ForwardersDigest == 0 && len(response.Forwarders) > 0
		hasNodeChanges := response.Nodes != nil || response.Retirements != nil
		if response.Configuration != nil || response.Workers != nil || response.DrainedZones != nil ||
			len(response.Groups) > 0 || hasFirstForwarders || hasNodeChanges || response.Quarantine != nil {
			response.Suspects = s.workerObservations.suspects(s.directory.View().Workers)
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-nodesChanged:
		case <-quarantineChanged:
		case <-timeout.C:
			s.reportStoreViewAge(response)
			response.Forwarders = s.changedForwarders(request.Msg)
			response.Suspects = s.workerObservations.suspects(s.directory.View().Workers)
			return connect.NewResponse(response), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// encodedConfiguration caches the current configuration in its wire format for all callers.
type encodedConfiguration struct {
	last atomic.Pointer[replicav1.Configuration]
}

// encode returns the configuration of a table. The result is shared and must not be modified.
func (e *encodedConfiguration) encode(table *route.Table) (*replicav1.Configuration, error) {
	if cached := e.last.Load(); cached.GetVersion() == table.Version() {
		return cached, nil
	}
	document, err := json.Marshal(table.Configuration())
	if err != nil {
		return nil, &failure.Internal{Cause: err}
	}
	encoded := &replicav1.Configuration{Version: table.Version(), Document: document}
	e.last.Store(encoded)
	return encoded, nil
}

// reportStoreViewAge adds the current age of this replica's view of the store to a response. It is rounded up: replicas that
// have lost the store and poll each other would otherwise lose a part of a millisecond with each poll.
func (s *service) reportStoreViewAge(response *replicav1.DirectoryResponse) {
	age, isKnown := s.storeViewAge()
	response.Heard = isKnown
	response.AgeMs = 0
	if isKnown {
		response.AgeMs = uint32((age + time.Millisecond - 1).Milliseconds())
	}
}

// changesSince returns everything that is newer than the versions in the request.
func (s *service) changesSince(request *replicav1.DirectoryRequest) (*replicav1.DirectoryResponse, error) {
	view := s.directory.View()
	response := &replicav1.DirectoryResponse{Gateways: uint32(s.gateways.count())}
	s.reportStoreViewAge(response)
	if view.Table != nil && view.Table.Version() > request.Version {
		encoded, err := s.configuration.encode(view.Table)
		if err != nil {
			return nil, err
		}
		response.Configuration = encoded
	}
	if s.directory.WorkersRevision() > request.WorkersRevision {
		response.Workers = s.directory.WorkerChanges(request.WorkersRevision)
	}
	response.DrainedZones = s.directory.DrainedZoneList(request.DrainedZonesRevision)
	for partition, group := range view.Groups {
		var epoch uint64
		if partition < len(request.Epochs) {
			epoch = request.Epochs[partition]
		}
		if group.GetEpoch() > epoch {
			response.Groups = append(response.Groups, group)
		}
	}
	response.Forwarders = s.changedForwarders(request)
	response.Quarantine = quorum.NewQuarantineUpdate(s.quarantine.table, request.Quarantine)
	if request.Nodes != nil {
		response.Nodes = s.nodes.nodesSince(request.Nodes.Nodes)
		response.Retirements = s.nodes.retirementsSince(request.Nodes.Retirements)
	}
	return response, nil
}

// changedForwarders returns the gateways that the caller may forward calls through, or nil if it
// knows them already.
func (s *service) changedForwarders(request *replicav1.DirectoryRequest) []string {
	if request.Forwarder == "" {
		return nil
	}
	forwarders := s.gateways.forwardersFor(request.Forwarder, request.Zone)
	if quorum.ForwardersDigest(forwarders) == request.ForwardersDigest {
		return nil
	}
	return forwarders
}
