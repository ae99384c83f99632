package replica

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// quarantineExpiryInterval is the time between two removals of expired records.
	quarantineExpiryInterval = 10 * time.Second
	// betweenPolls is how long a caller that polls this replica may have no poll in progress.
	betweenPolls = 100 * time.Millisecond
	// callerExpiry is the time after its last poll at which a caller is forgotten.
	callerExpiry = 10 * time.Second
	// maxQuarantineWait bounds how long a call may wait until other callers have its records.
	maxQuarantineWait = time.Second
)

// quarantineHub passes quarantine records on to the processes that poll this replica, and tracks which
// of them have the records. It is safe for concurrent use.
type quarantineHub struct {
	table *quarantine.Table
	now   func() time.Time

	mutex   sync.Mutex
	callers map[uint64]*quarantineCaller
	// confirmed is closed when a caller has confirmed records.
	confirmed chan struct{}
}

// quarantineCaller is a process that polls this replica.
type quarantineCaller struct {
	// known is the revision of the table up to which the caller has its records.
	known uint64
	// polls counts the caller's polls in progress, and lastPoll is when the last one began or ended.
	polls    int
	lastPoll time.Time
}

func newQuarantineHub(table *quarantine.Table, now func() time.Time) *quarantineHub {
	return &quarantineHub{table: table, now: now, callers: make(map[uint64]*quarantineCaller), confirmed: make(chan struct{})}
}

// beginPoll records a poll of a caller that sends its records. end must be called when the poll ends.
func (h *quarantineHub) beginPoll(request *replicav1.QuarantineRequest) (end func()) {
	if request == nil {
		return func() {}
	}
	caller := h.observe(request)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	caller.polls++
	caller.lastPoll = h.now()
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		caller.polls--
		caller.lastPoll = h.now()
	}
}

// observe merges the records of a call and records up to where the caller has those of this replica.
func (h *quarantineHub) observe(request *replicav1.QuarantineRequest) *quarantineCaller {
	h.table.Merge(quorum.DecodeQuarantineRecords(request.Records)...)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	caller := h.callers[request.Caller]
	if caller == nil {
		caller = &quarantineCaller{}
		h.callers[request.Caller] = caller
	}
	if known := quorum.DecodeQuarantineCursor(request.Known); h.table.Owns(known) && known.Revision > caller.known {
		caller.known = known.Revision
		close(h.confirmed)
		h.confirmed = make(chan struct{})
	}
	return caller
}

// awaitSpread waits until the other callers that poll this replica have all records up to a revision. It
// returns false if they do not within the time limit.
func (h *quarantineHub) awaitSpread(ctx context.Context, except, revision uint64, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		spread, confirmed := h.isSpread(except, revision)
		if spread {
			return true
		}
		// A caller whose last poll is over may not come back.
		recheck := time.NewTimer(betweenPolls)
		select {
		case <-confirmed:
		case <-recheck.C:
		case <-ctx.Done():
		}
		recheck.Stop()
		if ctx.Err() != nil {
			spread, _ = h.isSpread(except, revision)
			return spread
		}
	}
}

// isSpread reports whether all callers that poll this replica have the records up to a revision.
func (h *quarantineHub) isSpread(except, revision uint64) (spread bool, confirmed <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	spread = true
	now := h.now()
	for id, caller := range h.callers {
		idle := now.Sub(caller.lastPoll)
		if caller.polls == 0 && idle > callerExpiry {
			delete(h.callers, id)
			continue
		}
		if id == except || caller.known >= revision {
			continue
		}
		if caller.polls > 0 || idle < betweenPolls {
			spread = false
		}
	}
	return spread, h.confirmed
}

// Quarantine merges the caller's records, and waits until the other callers have them.
func (s *service) Quarantine(ctx context.Context, request *connect.Request[replicav1.QuarantineRequest]) (*connect.Response[replicav1.QuarantineResponse], error) {
	s.quarantine.observe(request.Msg)
	wait := min(time.Duration(request.Msg.SpreadWithinMs)*time.Millisecond, maxQuarantineWait)
	spread := s.quarantine.awaitSpread(ctx, request.Msg.Caller, s.quarantine.table.Revision(), wait)
	response := &replicav1.QuarantineResponse{Spread: spread, Update: quorum.NewQuarantineUpdate(s.quarantine.table, request.Msg)}
	return connect.NewResponse(response), nil
}

// runQuarantineExpiry removes expired records until ctx ends.
func (r *Replica) runQuarantineExpiry(ctx context.Context) {
	for pause.For(ctx, quarantineExpiryInterval) {
		r.state.quarantine.Expire()
	}
}
