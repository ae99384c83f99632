package limit

import "time"

// Adaptive limit of the calls under way.
const (
	// windowLength is the time over which delays are judged together.
	windowLength = time.Second
	// fewestSamples is the number of delays that a judgement needs, mostWindows
	// how many windows it waits for them.
	fewestSamples = 5
	mostWindows   = 10
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
	inUse = 0.5
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
	// length counts the windows that these were seen in.
	length int
}

// adaptive is the limit of calls under way.
type adaptive struct {
	limit float64
	// threshold is where the limit last met delays.
	threshold float64
	// proven is about the most that was lately under way without delays.
	proven float64
}

const (
	// provenDecay is the fraction of proven that a window in time leaves.
	provenDecay = 0.99
	// outageFloor is the fraction of proven that calls are let through at while a
	// back end refuses all, so that work comes back soon after it does.
	outageFloor = 0.25
)

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
	default:
		l = l.raised(seen)
	}
	l.limit = min(max(l.limit, smallest), largest)
	return l
}

// raised goes up where the limit was in use: else nothing is known of a higher one.
func (l adaptive) raised(seen window) adaptive {
	l.proven = max(l.proven*provenDecay, float64(seen.peak))
	switch {
	case float64(seen.peak) < inUse*l.limit:
	case l.limit < l.threshold:
		l.limit = min(l.limit+max(strongIncrease*l.limit, 1), l.threshold)
	default:
		l.limit += max(increase*l.limit, 1)
	}
	return l
}

// lowered goes below what was under way: what was not did not cause the delay.
// Calls that found no room at all behind the daemon, as in an outage, tell
// nothing of where delays begin.
func (l adaptive) lowered(seen window, factor float64) adaptive {
	lowered := min(l.limit, float64(seen.peak)) * factor
	if seen.late <= seen.overloads {
		l.limit = max(lowered, min(l.limit, outageFloor*l.proven))
		return l
	}
	l.limit, l.threshold = lowered, lowered
	return l
}
