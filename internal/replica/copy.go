package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// maxPullBytes bounds one part of a copy, so that a source has no more than that
	// under way for one copier: 512 KB are 7 ms of the users' 600 Mbit/s links.
	// minPullBytes is what parts shrink to, by half, while they time out: over it the
	// cost of the call itself weighs more than the records.
	maxPullBytes = 512 << 10
	minPullBytes = 32 << 10
	// firstCopyPause and lastCopyPause bound the pauses between attempts that brought
	// no record, which double. The first is takeSeat's own pause; the last is short
	// beside the 4 s in which a machine that is back is to hold its records again.
	firstCopyPause = settlePause
	// spareSourceAfter is how long the holder before has to bring a first part before the
	// members are asked too. One that is well does so in some ten ms; one that is gone costs
	// 0.8 s of time-outs, in which a seat that bears the next lost disk is not held.
	spareSourceAfter = 120 * time.Millisecond
	lastCopyPause    = time.Second
)

// seatCopy is what an incarnation has copied of its seat so far. It outlasts failed
// attempts: a copy goes on where it stopped. It is pure and not safe for concurrent
// use.
type seatCopy struct {
	sources map[string]*sourceCopy
	// failed counts the attempts in a row that were not enough and brought no record;
	// one that brought some counts as the first.
	failed int
	// done is set once enough was copied; caughtUp once a member that has joined copied what
	// the others had acknowledged until then.
	done, caughtUp bool
}

// sourceCopy is what was copied from one source.
type sourceCopy struct {
	// life tells the source's process from an earlier one; after is the position
	// within it up to which its records are here.
	life, after uint64
	// partBytes bounds the next part.
	partBytes int
}

func newSeatCopy() *seatCopy {
	return &seatCopy{sources: make(map[string]*sourceCopy)}
}

// doneFor returns which part of the copy a member needs next.
func (c *seatCopy) doneFor(member *replicav1.Member, identity *replicav1.Identity) *bool {
	if joined(member) && hasReceived(member, identity) {
		return &c.caughtUp
	}
	return &c.done
}

func (c *seatCopy) of(node string) *sourceCopy {
	known := c.sources[node]
	if known == nil {
		known = &sourceCopy{partBytes: maxPullBytes}
		c.sources[node] = known
	}
	return known
}

// take notes a part that has been written here and reports whether the source may
// have more. Positions hold for one life of the source: another one is copied from
// its start.
func (s *sourceCopy) take(part *replicav1.PullResponse) (more bool) {
	s.partBytes = min(2*s.partBytes, maxPullBytes)
	if s.life != 0 && s.life != part.Life {
		s.life, s.after = part.Life, 0
		return true
	}
	s.life, s.after = part.Life, part.Next
	return part.More
}

// timedOut makes the next part smaller.
func (s *sourceCopy) timedOut() { s.partBytes = max(minPullBytes, s.partBytes/2) }

// wanted returns the sources to ask in the next attempt: at first as few as are
// enough, those that were heard lately first, then, where that attempt was not enough, all.
// spare are asked too where the wanted ones have brought nothing after spareSourceAfter.
func (c *seatCopy) wanted(group *replicav1.Group, member *replicav1.Member, alive func(node string) bool) (wanted, spare []*replicav1.Member) {
	sources := recoverySources(group, member)
	if c.failed > 0 {
		return sources, nil
	}
	if inTransfer(member) && !quorum.IsJoining(member) {
		// The holder before comes last and is enough alone; often it is gone.
		return sources[len(sources)-1:], sources[:len(sources)-1]
	}
	slices.SortStableFunc(sources, func(a, b *replicav1.Member) int {
		return cmp.Compare(silence(alive, a), silence(alive, b))
	})
	needed, _ := sourcesNeeded(group)
	return sources[:min(len(sources), needed)], nil
}

// silence is 1 for a source that was not heard lately, which may be gone, else 0.
func silence(alive func(node string) bool, source *replicav1.Member) int {
	if alive(source.Node) {
		return 0
	}
	return 1
}

// attemptFailed notes an attempt that was not enough.
func (c *seatCopy) attemptFailed(brought bool) {
	c.failed++
	if brought {
		c.failed = 1
	}
}

// pause returns how long to wait before the next attempt.
func (c *seatCopy) pause() time.Duration {
	if c.failed == 0 {
		return 0
	}
	return min(lastCopyPause, firstCopyPause<<min(c.failed-1, 8))
}
