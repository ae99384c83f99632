package load

import "time"

// Runner starts work at planned times.
type Runner struct {
	// Now and Sleep are the clock.
	Now   func() time.Time
	Sleep func(time.Duration)
	// Spawn runs work beside the runner; it does not wait for it.
	Spawn func(work func())
	// Work carries out the request of the given number.
	Work func(number int)
	// Done gets each request's latency, counted from its planned start.
	Done func(number int, latency time.Duration)
}

// Run starts the work of each arrival at its planned time, late ones at once.
// It returns when the last one was started.
func (r *Runner) Run(arrivals []time.Duration) {
	start := r.Now()
	for number, offset := range arrivals {
		planned := start.Add(offset)
		if wait := planned.Sub(r.Now()); wait > 0 {
			r.Sleep(wait)
		}
		r.Spawn(func() {
			r.Work(number)
			r.Done(number, r.Now().Sub(planned))
		})
	}
}
