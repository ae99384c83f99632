package emulator

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Duration is a time span that may be changed while a stand-in runs.
type Duration struct{ nanoseconds atomic.Int64 }

// Set changes the span.
func (d *Duration) Set(value time.Duration) { d.nanoseconds.Store(int64(value)) }

// Get returns the span.
func (d *Duration) Get() time.Duration { return time.Duration(d.nanoseconds.Load()) }

// Ratio is a number, most often a share from 0 to 1, that may be changed while
// a stand-in runs.
type Ratio struct{ bits atomic.Uint64 }

// Set changes the number.
func (r *Ratio) Set(value float64) { r.bits.Store(math.Float64bits(value)) }

// Get returns the number.
func (r *Ratio) Get() float64 { return math.Float64frombits(r.bits.Load()) }

// dice draws chances from a seeded source. It is safe for concurrent use.
type dice struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{random: rand.New(rand.NewPCG(seed, 0))}
}

// hit reports true with the given probability.
func (d *dice) hit(probability float64) bool {
	if probability <= 0 {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.random.Float64() < probability
}
