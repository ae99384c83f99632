package limit

import "time"

// Adaptive limit of the calls under way.
const (
	// windowLength is the time over which delays are judged together.
	windowLength = time.Second
	// fewestSamples is the number of delays that a judgement needs.
	fewestSamples = 5
	// lateFraction of the delays may be over the target.
	lateFraction = 0.1
	// veryLateFraction of them over the target tells a standing queue.
	veryLateFraction = 0.5
	// decrease is the factor of the limit after a window that was late;
	// strongDecrease after one that was very late.
	decrease       = 0.95
	strongDecrease = 0.8
	// increase is the fraction that a window in time adds to a limit in use;
	// strongIncrease up to where delays were last met.
	increase       = 0.02
	strongIncrease = 0.2
	// inUse is the fraction of the limit that must have been under way for a
	// window to tell that more would do.
	inUse = 0.8
)

// window is what was seen of admitted calls in a while.
type window struct {
	// samples counts delays until the first part of an answer, late those over
	// the target.
	samples int
	late    int
	// overloads counts calls that a back end refused for want of room.
	overloads int
	// peak is the most calls under way.
	peak int
	// done counts calls that ended.
	done int
}

// adaptive is the limit of calls under way, and where it last met delays.
type adaptive struct {
	limit     float64
	threshold float64
}

// next returns the limit after a window. It rests where nothing was learnt.
func (l adaptive) next(seen window, smallest, largest float64) adaptive {
	judged := seen.samples + seen.overloads
	if judged < fewestSamples {
		return l
	}
	late := float64(seen.late+seen.overloads) / float64(judged)
	switch {
	case late > veryLateFraction:
		l = l.lowered(seen, strongDecrease)
	case late > lateFraction:
		l = l.lowered(seen, decrease)
	case float64(seen.peak) < inUse*l.limit:
		// A limit that was not in use proves nothing about a higher one.
	case l.limit < l.threshold:
		l.limit = min(l.limit+max(strongIncrease*l.limit, 1), l.threshold)
	default:
		l.limit += max(increase*l.limit, 1)
	}
	l.limit = min(max(l.limit, smallest), largest)
	return l
}

// lowered goes below what was under way: what was not did not cause the delay.
// Calls that found no room at all behind the daemon, as in an outage, tell
// nothing of where delays begin.
func (l adaptive) lowered(seen window, factor float64) adaptive {
	l.limit = min(l.limit, float64(seen.peak)) * factor
	if seen.late > seen.overloads {
		l.threshold = l.limit
	}
	return l
}
