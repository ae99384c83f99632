package flowcontrol

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// clock is a clock that tests advance.
type clock struct {
	mutex sync.Mutex
	at    time.Time
}

func (c *clock) now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.at
}

func (c *clock) advance(by time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.at = c.at.Add(by)
}

// testPeer is a reservation that records whether its peer was disconnected.
type testPeer struct {
	*Reservation
	disconnected bool
}

func newTestPeer(budget *Budget) *testPeer {
	peer := &testPeer{}
	peer.Reservation = budget.NewReservation(func() { peer.disconnected = true })
	return peer
}

func TestBudgetLimit(t *testing.T) {
	budget := NewBudget(100, time.Now)
	first, second := newTestPeer(budget), newTestPeer(budget)
	require.True(t, first.TryAcquire(60))
	require.False(t, second.TryAcquire(41))
	require.True(t, second.TryAcquire(40))
	require.EqualValues(t, 100, budget.Used())
	first.ReleaseAll()
	require.EqualValues(t, 40, budget.Used())
	second.Release(15)
	require.EqualValues(t, 25, second.Bytes())
}

func TestLongestBlockedPeerIsEvicted(t *testing.T) {
	fakeClock := &clock{at: time.Unix(1000, 0)}
	budget := NewBudget(100, fakeClock.now)
	first, second, recent := newTestPeer(budget), newTestPeer(budget), newTestPeer(budget)
	for _, each := range []*testPeer{first, second} {
		require.True(t, each.TryAcquire(40))
		each.RecordProgress()
		each.MarkBlocked()
		fakeClock.advance(time.Second)
	}
	require.True(t, recent.TryAcquire(20))
	recent.RecordProgress()
	recent.MarkBlocked()
	go func() {
		for !first.Evicted() {
			time.Sleep(time.Millisecond)
		}
		first.ReleaseAll()
	}()
	require.NoError(t, newTestPeer(budget).Acquire(t.Context(), 30))
	require.True(t, first.disconnected)
	require.False(t, second.disconnected, "evicting one peer was enough")
	require.False(t, recent.disconnected, "the peer has just made progress")
}

func TestPeerWithProgressIsNotEvicted(t *testing.T) {
	fakeClock := &clock{at: time.Unix(1000, 0)}
	budget := NewBudget(100, fakeClock.now)
	slow := newTestPeer(budget)
	require.True(t, slow.TryAcquire(100))
	slow.MarkBlocked()
	fakeClock.advance(evictAfter)
	slow.RecordProgress()
	ctx, cancel := context.WithTimeout(t.Context(), 3*evictionPollInterval)
	defer cancel()
	var exhausted *BudgetExhausted
	require.ErrorAs(t, newTestPeer(budget).Acquire(ctx, 1), &exhausted)
	require.False(t, slow.disconnected)
	fakeClock.advance(evictAfter)
	slow.MarkUnblocked()
	ctx, cancel = context.WithTimeout(t.Context(), 3*evictionPollInterval)
	defer cancel()
	require.ErrorAs(t, newTestPeer(budget).Acquire(ctx, 1), &exhausted, "a peer that is not blocked must not be evicted")
}

// TestBudgetUseIsSumOfReservations compares the budget with sums for random acquisitions and
// releases.
func TestBudgetUseIsSumOfReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 50
		budget := NewBudget(limit, time.Now)
		reservations, want := make([]*Reservation, 4), make([]int, 4)
		for i := range reservations {
			reservations[i] = budget.NewReservation(nil)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "reservation")
			bytes := rapid.IntRange(0, 30).Draw(t, "bytes")
			sum := want[0] + want[1] + want[2] + want[3]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				acquired := reservations[i].TryAcquire(bytes)
				require.Equal(t, sum+bytes <= limit, acquired)
				if acquired {
					want[i] += bytes
				}
			case 1:
				bytes = min(bytes, want[i])
				reservations[i].Release(bytes)
				want[i] -= bytes
			case 2:
				reservations[i].ReleaseAll()
				want[i] = 0
			}
			require.EqualValues(t, want[0]+want[1]+want[2]+want[3], budget.Used())
		}
	})
}
