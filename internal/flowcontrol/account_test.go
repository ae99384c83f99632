package flowcontrol

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// clock is a clock that tests move.
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

// peer is a holder of a test that knows whether it was cut off.
type peer struct {
	*Reservation
	cut bool
}

func open(account *Budget) *peer {
	made := &peer{}
	made.Reservation = account.NewReservation(func() { made.cut = true })
	return made
}

func TestBudgetLimit(t *testing.T) {
	account := NewBudget(100, time.Now)
	first, second := open(account), open(account)
	require.True(t, first.TryAcquire(60))
	require.False(t, second.TryAcquire(41))
	require.True(t, second.TryAcquire(40))
	require.EqualValues(t, 100, account.Used())
	first.ReleaseAll()
	require.EqualValues(t, 40, account.Used())
	second.Release(15)
	require.EqualValues(t, 25, second.Bytes())
}

func TestLongestBlockedPeerIsEvicted(t *testing.T) {
	moment := &clock{at: time.Unix(1000, 0)}
	account := NewBudget(100, moment.now)
	oldest, older, quick := open(account), open(account), open(account)
	for _, each := range []*peer{oldest, older} {
		require.True(t, each.TryAcquire(40))
		each.RecordProgress()
		each.MarkBlocked()
		moment.advance(time.Second)
	}
	require.True(t, quick.TryAcquire(20))
	quick.RecordProgress()
	quick.MarkBlocked()
	go func() {
		for !oldest.Evicted() {
			time.Sleep(time.Millisecond)
		}
		oldest.ReleaseAll()
	}()
	require.NoError(t, open(account).Acquire(t.Context(), 30))
	require.True(t, oldest.cut)
	require.False(t, older.cut, "one was enough")
	require.False(t, quick.cut, "it took something a moment ago")
}

func TestPeerWithProgressIsNotEvicted(t *testing.T) {
	moment := &clock{at: time.Unix(1000, 0)}
	account := NewBudget(100, moment.now)
	slow := open(account)
	require.True(t, slow.TryAcquire(100))
	slow.MarkBlocked()
	moment.advance(evictAfter)
	slow.RecordProgress()
	ctx, cancel := context.WithTimeout(t.Context(), 3*roomPoll)
	defer cancel()
	var full *BudgetExhausted
	require.ErrorAs(t, open(account).Acquire(ctx, 1), &full)
	require.False(t, slow.cut)
	moment.advance(evictAfter)
	slow.MarkUnblocked()
	ctx, cancel = context.WithTimeout(t.Context(), 3*roomPoll)
	defer cancel()
	require.ErrorAs(t, open(account).Acquire(ctx, 1), &full, "it does not keep anybody waiting now")
}

// TestBudgetUseIsSumOfReservations plays takes and returns against plain sums.
func TestBudgetUseIsSumOfReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 50
		account := NewBudget(limit, time.Now)
		holders, want := make([]*Reservation, 4), make([]int, 4)
		for i := range holders {
			holders[i] = account.NewReservation(nil)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "holder")
			bytes := rapid.IntRange(0, 30).Draw(t, "bytes")
			sum := want[0] + want[1] + want[2] + want[3]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				taken := holders[i].TryAcquire(bytes)
				require.Equal(t, sum+bytes <= limit, taken)
				if taken {
					want[i] += bytes
				}
			case 1:
				bytes = min(bytes, want[i])
				holders[i].Release(bytes)
				want[i] -= bytes
			case 2:
				holders[i].ReleaseAll()
				want[i] = 0
			}
			require.EqualValues(t, want[0]+want[1]+want[2]+want[3], account.Used())
		}
	})
}
