// Package load plans open-loop arrivals. The times are fixed before the run,
// so that a slow system does not thin out the load it is measured under, and
// latency counts from the planned time.
package load

import (
	"math/rand/v2"
	"time"
)

// seedStream tells the arrivals' random numbers from others of the same seed.
const seedStream = 0x6c6f6164

// Arrivals returns the planned start of each request, as an offset from the
// start of the run: a Poisson process of rate requests per second, bounded by
// count (0 means no bound) and by duration. The same arguments always give the
// same times. A rate that is not positive gives none.
func Arrivals(seed uint64, rate float64, count int, duration time.Duration) []time.Duration {
	if rate <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, seedStream))
	var arrivals []time.Duration
	offset := time.Duration(0)
	for count == 0 || len(arrivals) < count {
		gap := random.ExpFloat64() / rate
		offset += time.Duration(gap * float64(time.Second))
		if offset >= duration {
			break
		}
		arrivals = append(arrivals, offset)
	}
	return arrivals
}
