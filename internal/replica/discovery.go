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
	// discoveryTimeout is how long a replica without records waits for the platform's store to
	// return its system before it logs a warning.
	discoveryTimeout = time.Second
	// maxDiscoveryBackoff is the longest interval between queries to the store. The watch of the
	// store also delivers the group once the store answers.
	maxDiscoveryBackoff = 30 * time.Second
	// maxUnverifiedGroups bounds the queue of groups to verify. Members offer a dropped group
	// again.
	maxUnverifiedGroups = 16
	// storeQueryInterval is the minimum interval between queries to the store about groups that
	// cannot be verified without it.
	storeQueryInterval = 300 * time.Millisecond
	// processHeader carries a process ID in a call. Only the process with that ID repeats it in its
	// answer.
	processHeader = "Barleyshelf-Process"
)

// discoverSystem returns once this replica knows the system that it belongs to: from its disk, from
// the platform's store, or from a verified group. It also returns if the store answers that no
// system has been formed yet.
func (r *Replica) discoverSystem(ctx context.Context) {
	go r.runGroupVerification(ctx)
	queryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		r.pollStoreForSystem(queryCtx)
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

// pollStoreForSystem queries the platform's store for this replica's system until it answers.
func (r *Replica) pollStoreForSystem(ctx context.Context) {
	logged := false
	for wait := discoveryTimeout; ; wait = min(2*wait, maxDiscoveryBackoff) {
		err := directory.DiscoverSystem(ctx, r.store, r.directory, discoveryTimeout)
		if err == nil || ctx.Err() != nil {
			return
		}
		if !logged {
			eventSystemUnknown.Log("within_ms", discoveryTimeout.Milliseconds(), "cause", err.Error())
			logged = true
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

// queueUnverifiedGroup queues a group that a peer offered for runGroupVerification.
func (r *Replica) queueUnverifiedGroup(group *replicav1.Group) {
	select {
	case r.unverifiedGroups <- group:
	default:
		// The queue is full. The members of the group offer it again.
	}
}

// runGroupVerification verifies queued groups and accepts those of this replica's system.
func (r *Replica) runGroupVerification(ctx context.Context) {
	var lastQuery time.Time
	for {
		select {
		case group := <-r.unverifiedGroups:
			if r.directory.AcceptsPeerGroups() || r.verifyGroup(ctx, group) || time.Since(lastQuery) < storeQueryInterval {
				continue
			}
			lastQuery = time.Now()
			go r.queryStoreForSystem(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// verifyGroup accepts a group that lists this node with an address that leads to this process. A
// node of the same name in another system has another address. A group that does not list
// this node waits for the store, where the node has to be registered before it gets a seat.
func (r *Replica) verifyGroup(ctx context.Context, group *replicav1.Group) bool {
	member := memberForNode(group, r.options.Node)
	if member == nil || !r.addressReachesSelf(ctx, member.Address) {
		return false
	}
	eventGroupVerified.Log("partition", group.Partition, "epoch", group.Epoch, "system", group.System, "address", member.Address)
	r.directory.ApplyGroup(group, directory.SourceVerifiedPeer)
	return true
}

// queryStoreForSystem queries the store once for this replica's system, which may have been formed
// after the store answered that there was none. Errors are ignored because pollStoreForSystem logs
// an unavailable store.
func (r *Replica) queryStoreForSystem(ctx context.Context) {
	_ = directory.DiscoverSystem(ctx, r.store, r.directory, storeQueryInterval)
}

// addressReachesSelf reports whether a call to an address arrives at this process.
func (r *Replica) addressReachesSelf(ctx context.Context, address string) bool {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request := connect.NewRequest(&replicav1.AppendRequest{})
	request.Header().Set(processHeader, r.processID)
	response, err := r.quorum.ReplicaClient(address).Append(callCtx, request)
	return err == nil && response.Header().Get(processHeader) == r.processID
}

// processIDInterceptor adds the ID of this process to the answers of calls that carry the same ID.
func processIDInterceptor(processID string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			response, err := next(ctx, request)
			if err == nil && request.Header().Get(processHeader) == processID {
				response.Header().Set(processHeader, processID)
			}
			return response, err
		}
	}
}
