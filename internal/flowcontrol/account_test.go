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
	*Holder
	cut bool
}

func open(account *Account) *peer {
	made := &peer{}
	made.Holder = account.Open(func() { made.cut = true })
	return made
}

func TestAnAccountHoldsNoMoreThanItsLimit(t *testing.T) {
	account := NewAccount(100, time.Now)
	first, second := open(account), open(account)
	require.True(t, first.TryTake(60))
	require.False(t, second.TryTake(41))
	require.True(t, second.TryTake(40))
	require.EqualValues(t, 100, account.Held())
	first.Release()
	require.EqualValues(t, 40, account.Held())
	second.Give(15)
	require.EqualValues(t, 25, second.Bytes())
}

func TestThePeerThatTookNothingForLongestIsGivenUpForOthers(t *testing.T) {
	moment := &clock{at: time.Unix(1000, 0)}
	account := NewAccount(100, moment.now)
	oldest, older, quick := open(account), open(account), open(account)
	for _, each := range []*peer{oldest, older} {
		require.True(t, each.TryTake(40))
		each.Progressed()
		each.Slow()
		moment.advance(time.Second)
	}
	require.True(t, quick.TryTake(20))
	quick.Progressed()
	quick.Slow()
	go func() {
		for !oldest.Evicted() {
			time.Sleep(time.Millisecond)
		}
		oldest.Release()
	}()
	require.NoError(t, open(account).Take(t.Context(), 30))
	require.True(t, oldest.cut)
	require.False(t, older.cut, "one was enough")
	require.False(t, quick.cut, "it took something a moment ago")
}

func TestAPeerThatTakesItsBytesIsNotGivenUp(t *testing.T) {
	moment := &clock{at: time.Unix(1000, 0)}
	account := NewAccount(100, moment.now)
	slow := open(account)
	require.True(t, slow.TryTake(100))
	slow.Slow()
	moment.advance(evictAfter)
	slow.Progressed()
	ctx, cancel := context.WithTimeout(t.Context(), 3*roomPoll)
	defer cancel()
	var full *NoRoom
	require.ErrorAs(t, open(account).Take(ctx, 1), &full)
	require.False(t, slow.cut)
	moment.advance(evictAfter)
	slow.Quick()
	ctx, cancel = context.WithTimeout(t.Context(), 3*roomPoll)
	defer cancel()
	require.ErrorAs(t, open(account).Take(ctx, 1), &full, "it does not keep anybody waiting now")
}

// TestTheSumOfAllHoldersIsWhatTheAccountHolds plays takes and returns against plain sums.
func TestTheSumOfAllHoldersIsWhatTheAccountHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 50
		account := NewAccount(limit, time.Now)
		holders, want := make([]*Holder, 4), make([]int, 4)
		for i := range holders {
			holders[i] = account.Open(nil)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "holder")
			bytes := rapid.IntRange(0, 30).Draw(t, "bytes")
			sum := want[0] + want[1] + want[2] + want[3]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				taken := holders[i].TryTake(bytes)
				require.Equal(t, sum+bytes <= limit, taken)
				if taken {
					want[i] += bytes
				}
			case 1:
				bytes = min(bytes, want[i])
				holders[i].Give(bytes)
				want[i] -= bytes
			case 2:
				holders[i].Release()
				want[i] = 0
			}
			require.EqualValues(t, want[0]+want[1]+want[2]+want[3], account.Held())
		}
	})
}
