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

// service answers gateways and other replicas. It implements
// replicav1connect.ReplicaServiceHandler.
type service struct {
	// node is this replica's name.
	node string
	// stopping reports whether this replica is to stop; nil is no.
	stopping  func() bool
	state     *state
	directory *directory.State
	peers     *failureDetector
	roster    *roster
	// age returns how old this replica's view of the platform's store is, or false
	// if it has none.
	age          func() (age time.Duration, known bool)
	followers    *followed
	observations *observations
	grants       *grants
	// configuration is the one in force, to be passed on.
	configuration encodedConfiguration
}

// Append stores records and lists reservations. A replica without a seat stores nothing.
func (s *service) Append(_ context.Context, request *connect.Request[replicav1.AppendRequest]) (*connect.Response[replicav1.AppendResponse], error) {
	partition := request.Msg.Partition
	standing := s.state.standing(partition, request.Msg.Epoch)
	if !standing.Member || standing.Epoch > request.Msg.Epoch {
		return connect.NewResponse(&replicav1.AppendResponse{Standing: standing}), nil
	}
	if len(request.Msg.Records) > 0 {
		for _, record := range request.Msg.Records {
			record.Partition = partition
		}
		if err := s.state.write(request.Msg.Records...); err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, err)
		}
	}
	// The standing after the write: what was learned meanwhile must show.
	response := &replicav1.AppendResponse{Standing: s.state.standing(partition, request.Msg.Epoch)}
	s.state.mutex.Lock()
	defer s.state.mutex.Unlock()
	for _, program := range request.Msg.Programs {
		response.Entries = append(response.Entries, s.state.partition(partition).store.Entries(program)...)
	}
	return connect.NewResponse(response), nil
}

// ReadChain returns a turn and those before it.
func (s *service) ReadChain(_ context.Context, request *connect.Request[replicav1.ReadChainRequest]) (*connect.Response[replicav1.ReadChainResponse], error) {
	turns, err := s.state.chain(request.Msg.Partition, request.Msg.Id)
	if err != nil {
		return nil, connect.NewError(connect.CodeDataLoss, err)
	}
	response := &replicav1.ReadChainResponse{Turns: turns, Standing: s.state.standing(request.Msg.Partition, request.Msg.Epoch)}
	return connect.NewResponse(response), nil
}

// Pull passes records to a recovering replica, after its new incarnation is on
// the disk here. One that asks under an older group may have lost the seat meanwhile.
func (s *service) Pull(_ context.Context, request *connect.Request[replicav1.PullRequest]) (*connect.Response[replicav1.PullResponse], error) {
	if known := s.state.currentGroup(request.Msg.Partition).GetEpoch(); known > request.Msg.Epoch {
		return nil, connect.NewError(connect.CodeFailedPrecondition, &StaleGroup{Epoch: request.Msg.Epoch, Known: known})
	}
	if err := s.state.write(incarnationRecord(request.Msg.Partition, request.Msg.Seat, request.Msg.Incarnation)); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	response := &replicav1.PullResponse{Life: s.state.life, Standing: s.state.standing(request.Msg.Partition, request.Msg.Epoch)}
	var err error
	response.Records, response.Next, response.More, err = s.state.after(request.Msg.Partition, request.Msg.After, partBytes(request.Msg.MaxBytes))
	if err != nil {
		return nil, connect.NewError(connect.CodeDataLoss, err)
	}
	return connect.NewResponse(response), nil
}

// partBytes returns the size of a part of a copy; 0 is a caller that names none.
func partBytes(wanted uint32) int {
	if wanted == 0 {
		return maxPullBytes
	}
	return min(int(wanted), maxPullBytes)
}

// Announce takes another replica's group and incarnation.
func (s *service) Announce(_ context.Context, request *connect.Request[replicav1.AnnounceRequest]) (*connect.Response[replicav1.AnnounceResponse], error) {
	message := request.Msg
	partition := message.Group.GetPartition()
	newest := s.state.currentGroup(partition)
	own := directory.SystemOf([]*replicav1.Group{newest, directory.AnyGroup(s.directory.Groups())})
	if newest == nil && !s.directory.AcceptsPeerGroups() {
		s.directory.ApplyPeerGroup(message.Group, message.Node)
		message = &replicav1.AnnounceRequest{Node: message.Node, Stopping: message.Stopping}
	}
	if message.Group != nil && !directory.AcceptsGroup(own, message.Group) {
		s.directory.ApplyPeerGroup(message.Group, message.Node)
		return nil, connect.NewError(connect.CodeFailedPrecondition, &directory.ForeignSystem{Own: own, Other: message.Group.System})
	}
	if message.Group.GetEpoch() > newest.GetEpoch() {
		newest = message.Group
	}
	var records []*replicav1.Record
	if message.Group != nil {
		records = append(records, groupRecord(message.Group))
	}
	if message.Incarnation != 0 && newest != nil && holdsSeat(newest, message) {
		records = append(records, incarnationRecord(partition, message.Seat, message.Incarnation))
	}
	if message.Stopping {
		s.peers.observeStopping(message.Node)
	} else {
		s.peers.observe(message.Node)
	}
	if err := s.state.write(records...); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	s.directory.ApplyPeerGroup(s.state.currentGroup(partition), message.Node)
	return connect.NewResponse(&replicav1.AnnounceResponse{Node: s.node, Stopping: s.stopping != nil && s.stopping(), Standing: s.state.standing(partition, 0)}), nil
}

// holdsSeat reports whether the sender of an announcement holds the seat that it names
// in a group. One that comes late may be of a seat that has moved on.
func holdsSeat(group *replicav1.Group, message *replicav1.AnnounceRequest) bool {
	member := speaksFor(group, message.Node)
	return member != nil && member.Seat == message.Seat
}

// Directory passes on what is newer than what the caller has. Where nothing is,
// it waits for as long as the caller allows.
func (s *service) Directory(ctx context.Context, request *connect.Request[replicav1.DirectoryRequest]) (*connect.Response[replicav1.DirectoryResponse], error) {
	s.roster.note(request.Msg.Forwarder, request.Msg.Zone)
	s.observations.add(request.Msg.Observations)
	until := time.NewTimer(time.Duration(request.Msg.PatienceMs) * time.Millisecond)
	defer until.Stop()
	for {
		news, nodeChanged := s.directory.ViewChanged(), s.followers.changed(request.Msg.Nodes != nil)
		response, err := s.newerThan(request.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		firstForwarders := request.Msg.ForwardersDigest == 0 && len(response.Forwarders) > 0
		nodeNews := response.Nodes != nil || response.Retirements != nil
		if response.Configuration != nil || response.Workers != nil || response.DrainedZones != nil ||
			len(response.Groups) > 0 || firstForwarders || nodeNews {
			response.Suspects = s.observations.suspects(s.directory.View().Workers)
			return connect.NewResponse(response), nil
		}
		select {
		case <-news:
		case <-nodeChanged:
		case <-until.C:
			response.Forwarders = s.newForwarders(request.Msg)
			response.Suspects = s.observations.suspects(s.directory.View().Workers)
			return connect.NewResponse(response), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// encodedConfiguration keeps the configuration in force as it is passed on, made once for all who
// ask.
type encodedConfiguration struct {
	last atomic.Pointer[replicav1.Configuration]
}

// of returns a table's configuration. It is shared and must stay as it is.
func (e *encodedConfiguration) of(table *route.Table) (*replicav1.Configuration, error) {
	if last := e.last.Load(); last.GetVersion() == table.Version() {
		return last, nil
	}
	document, err := json.Marshal(table.Configuration())
	if err != nil {
		return nil, &failure.Internal{Cause: err}
	}
	made := &replicav1.Configuration{Version: table.Version(), Document: document}
	e.last.Store(made)
	return made, nil
}

// newerThan returns what the caller does not have.
func (s *service) newerThan(known *replicav1.DirectoryRequest) (*replicav1.DirectoryResponse, error) {
	view := s.directory.View()
	response := &replicav1.DirectoryResponse{Gateways: uint32(s.roster.count())}
	if age, known := s.age(); known {
		response.Heard, response.AgeMs = true, uint32(age.Milliseconds())
	}
	if view.Table != nil && view.Table.Version() > known.Version {
		encoded, err := s.configuration.of(view.Table)
		if err != nil {
			return nil, err
		}
		response.Configuration = encoded
	}
	if s.directory.WorkersRevision() > known.WorkersRevision {
		response.Workers = s.directory.WorkerChanges(known.WorkersRevision)
	}
	response.DrainedZones = s.directory.DrainedZoneList(known.DrainedZonesRevision)
	for partition, group := range view.Groups {
		var epoch uint64
		if partition < len(known.Epochs) {
			epoch = known.Epochs[partition]
		}
		if group.GetEpoch() > epoch {
			response.Groups = append(response.Groups, group)
		}
	}
	response.Forwarders = s.newForwarders(known)
	if known.Nodes != nil {
		response.Nodes = s.followers.nodesAfter(known.Nodes.Nodes)
		response.Retirements = s.followers.retirementsAfter(known.Nodes.Retirements)
	}
	return response, nil
}

// newForwarders returns the gateways that the caller is told of, if it knows others.
func (s *service) newForwarders(known *replicav1.DirectoryRequest) []string {
	if known.Forwarder == "" {
		return nil
	}
	near := s.roster.near(known.Forwarder, known.Zone)
	if quorum.ForwardersDigest(near) == known.ForwardersDigest {
		return nil
	}
	return near
}
