package replica

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// copyAttempt is one attempt to copy the records of a seat.
type copyAttempt struct {
	recovery *seatRecovery
	group    *replicav1.Group
	identity *replicav1.Identity
	// copyGroup is the group that decides which sources are sufficient, and member is this node's
	// member in it.
	copyGroup *replicav1.Group
	member    *replicav1.Member

	ctx  context.Context
	stop context.CancelFunc
	// queried are the sources queried so far, and fallback those that may be queried later.
	queried, fallback []*replicav1.Member
	results           chan pullResult
	// finished are the results received so far.
	finished []pullResult
	// agreements are what the completely copied sources had promised and accepted.
	agreements []*replicav1.Agreement
	// firstChunk receives a value when a source has delivered its first chunk.
	firstChunk chan struct{}
}

// startAttempt starts to copy from the primary sources.
func (s *seatRecovery) startAttempt(ctx context.Context, group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) *copyAttempt {
	copyGroup := groupForCopy(group, member, identity)
	member = memberForNode(copyGroup, member.Node)
	attempt := &copyAttempt{recovery: s, group: group, copyGroup: copyGroup, member: member, identity: identity, firstChunk: make(chan struct{}, 1)}
	attempt.ctx, attempt.stop = context.WithCancel(ctx)
	primary, fallback := s.copy.selectSources(copyGroup, member, s.replica.peers.isHealthy)
	attempt.results, attempt.fallback = make(chan pullResult, len(primary)+len(fallback)), fallback
	attempt.pullFrom(primary)
	return attempt
}

// pullFrom starts to copy from sources.
func (a *copyAttempt) pullFrom(sources []*replicav1.Member) {
	for _, source := range sources {
		progress := a.recovery.copy.source(source.Node)
		go func() {
			a.results <- a.recovery.replica.pullRecords(a.ctx, a.group, source, a.identity, progress, a.firstChunk)
		}()
	}
	a.queried = append(a.queried, sources...)
}

// collect waits for all results, because the next attempt resumes where each source has stopped. It
// returns the standings of sources that were copied completely, a sufficient subset of them or nil,
// and whether any record was received.
func (a *copyAttempt) collect() (standings, sufficient []*replicav1.Standing, gotRecords bool) {
	fallbackTimer := time.NewTimer(fallbackSourceDelay)
	defer fallbackTimer.Stop()
	firstChunk := a.firstChunk
	for len(a.finished) < len(a.queried) {
		select {
		case <-firstChunk:
			// The primary sources respond; the fallback sources are not needed.
			firstChunk, a.fallback = nil, nil
			continue
		case <-fallbackTimer.C:
		case result := <-a.results:
			a.finished = append(a.finished, result)
			gotRecords = gotRecords || result.gotRecords
			if result.standing != nil && sufficient == nil {
				standings = append(standings, result.standing)
				a.agreements = append(a.agreements, result.agreement)
				if sufficient = sufficientSources(a.copyGroup, a.member, standings); sufficient != nil {
					a.stop()
				}
			}
		}
		// The primary sources are late or were not sufficient.
		if sufficient == nil {
			a.pullFrom(a.fallback)
		}
		a.fallback = nil
	}
	return standings, sufficient, gotRecords
}
