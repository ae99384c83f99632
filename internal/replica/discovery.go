package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// discoveryTimeout is how long a replica without records waits for the platform's store to name
	// its system before it logs that it does not.
	discoveryTimeout = time.Second
	// lastDiscoveryPause is the longest pause between two rounds of questions to the store. Its
	// watch brings the group too once it answers.
	lastDiscoveryPause = 30 * time.Second
	// maxUnproven bounds the groups that wait for a proof. Members offer theirs again.
	maxUnproven = 16
	// unprovenPause is the least time between two questions to the store about groups that
	// cannot be proven without it.
	unprovenPause = 300 * time.Millisecond
	// processHeader names a process in a call, and in the answer of that process alone.
	processHeader = "Barleyshelf-Process"
)

// discoverSystem returns once this replica knows which system it belongs to: by its disk, by the
// platform's store, or by a group that is proven without it. It returns too where the store answers
// that no system is formed yet.
func (r *Replica) discoverSystem(ctx context.Context) {
	go r.proveGroups(ctx)
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		r.askForSystem(asking)
	}()
	for {
		changed := r.directory.ViewChanged()
		if r.directory.AcceptsPeerGroups() {
			return
		}
		select {
		case <-changed:
		case <-answered:
			return
		case <-ctx.Done():
			return
		}
	}
}

// askForSystem asks the platform's store for this replica's system until it answers.
func (r *Replica) askForSystem(ctx context.Context) {
	logged := false
	for wait := discoveryTimeout; ; wait = min(2*wait, lastDiscoveryPause) {
		err := directory.DiscoverSystem(ctx, r.objects, r.directory, discoveryTimeout)
		if err == nil || ctx.Err() != nil {
			return
		}
		if !logged {
			eventUndiscovered.Log("within_ms", discoveryTimeout.Milliseconds(), "cause", err.Error())
			logged = true
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

// holdUnproven keeps a group that a peer offers for proveGroups.
func (r *Replica) holdUnproven(group *replicav1.Group) {
	select {
	case r.unproven <- group:
	default:
		// Its members offer it again.
	}
}

// proveGroups takes the groups of peers that can be shown to be of this replica's system.
func (r *Replica) proveGroups(ctx context.Context) {
	var asked time.Time
	for {
		select {
		case group := <-r.unproven:
			if r.directory.AcceptsPeerGroups() || r.prove(ctx, group) || time.Since(asked) < unprovenPause {
				continue
			}
			asked = time.Now()
			go r.askOnce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// prove takes a group that names this node at an address that leads to this process: another
// system's member of the same name has an address of its own. Without a seat there, this node can
// get one through the store alone, which then names the group as well.
func (r *Replica) prove(ctx context.Context, group *replicav1.Group) bool {
	member := seatOf(group, r.options.Node)
	if member == nil || !r.reachesItself(ctx, member.Address) {
		return false
	}
	eventProven.Log("partition", group.Partition, "epoch", group.Epoch, "system", group.System, "address", member.Address)
	r.directory.ApplyGroup(group, directory.SourceVerifiedPeer)
	return true
}

// askOnce asks the store for this replica's system: it may have been formed since the store
// answered that it was not. askForSystem logs a silent store.
func (r *Replica) askOnce(ctx context.Context) {
	_ = directory.DiscoverSystem(ctx, r.objects, r.directory, unprovenPause)
}

// reachesItself reports whether a call to an address arrives at this process.
func (r *Replica) reachesItself(ctx context.Context, address string) bool {
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request := connect.NewRequest(&replicav1.AppendRequest{})
	request.Header().Set(processHeader, r.process)
	response, err := r.quorum.ReplicaClient(address).Append(call, request)
	return err == nil && response.Header().Get(processHeader) == r.process
}

// identifyProcess names this process in answers to calls that name it.
func identifyProcess(process string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			response, err := next(ctx, request)
			if err == nil && request.Header().Get(processHeader) == process {
				response.Header().Set(processHeader, process)
			}
			return response, err
		}
	}
}
