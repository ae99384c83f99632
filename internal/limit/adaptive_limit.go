package limit

import "time"

// Parameters of the adaptive limit of calls in flight.
const (
	// windowLength is the period over which latencies are evaluated together.
	windowLength = time.Second
	// minSamples is the number of samples that an update of the limit needs, maxWindows
	// the maximum number of windows over which they are collected.
	minSamples = 5
	maxWindows = 10
	// maxOverTargetFraction of the latencies may exceed the target.
	maxOverTargetFraction = 0.1
	// severeOverTargetFraction of the latencies over the target indicates a standing
	// queue.
	severeOverTargetFraction = 0.5
	// decreaseFactor multiplies the limit after a window with too many latencies over
	// the target, severeDecreaseFactor after one above severeOverTargetFraction.
	decreaseFactor       = 0.95
	severeDecreaseFactor = 0.8
	// increaseFraction is the relative increase of a utilized limit after a window
	// within the target. fastIncreaseFraction applies below the threshold, the limit at
	// which the target was last exceeded.
	increaseFraction     = 0.02
	fastIncreaseFraction = 0.2
	// minUtilization is the fraction of the limit that must have been in flight for the
	// limit to increase.
	minUtilization = 0.5
)

// window holds the counters of admitted calls over one or more windows.
type window struct {
	// samples counts first-token latencies, overTarget those above the target.
	samples    int
	overTarget int
	// overloads counts calls that a backend rejected because it had no capacity.
	overloads int
	// peakInFlight is the maximum number of calls in flight.
	peakInFlight int
	// windows is the number of windows that the counters cover.
	windows int
}

// adaptiveLimit is the limit of calls in flight, adjusted by observed latencies.
type adaptiveLimit struct {
	limit float64
	// threshold is the limit at which latencies last exceeded the target.
	threshold float64
	// sustainedPeak is a decaying maximum of the calls in flight without high
	// latencies.
	sustainedPeak float64
}

const (
	// sustainedPeakDecay is the factor applied to sustainedPeak after each window
	// within the target.
	sustainedPeakDecay = 0.99
	// outageFloorFraction is the fraction of sustainedPeak that is still admitted while
	// a backend rejects every call, so that work resumes soon after the backend
	// recovers.
	outageFloorFraction = 0.25
)

// next returns the limit after a window. It is unchanged if there are too few samples.
func (l adaptiveLimit) next(observed window, minLimit, maxLimit float64) adaptiveLimit {
	sampleCount := observed.samples + observed.overloads
	if sampleCount < minSamples {
		return l
	}
	overTargetFraction := float64(observed.overTarget+observed.overloads) / float64(sampleCount)
	switch {
	case overTargetFraction > severeOverTargetFraction:
		l = l.decreased(observed, severeDecreaseFactor)
	case overTargetFraction > maxOverTargetFraction:
		l = l.decreased(observed, decreaseFactor)
	default:
		l = l.increased(observed)
	}
	l.limit = min(max(l.limit, minLimit), maxLimit)
	return l
}

// increased raises the limit if it was utilized. Otherwise the window tells nothing
// about a higher limit.
func (l adaptiveLimit) increased(observed window) adaptiveLimit {
	l.sustainedPeak = max(l.sustainedPeak*sustainedPeakDecay, float64(observed.peakInFlight))
	switch {
	case float64(observed.peakInFlight) < minUtilization*l.limit:
	case l.limit < l.threshold:
		l.limit = min(l.limit+max(fastIncreaseFraction*l.limit, 1), l.threshold)
	default:
		l.limit += max(increaseFraction*l.limit, 1)
	}
	return l
}

// decreased sets the limit below the peak in flight, because only calls in flight can
// have caused the latency. Calls that were rejected by a backend without any capacity,
// as in an outage, do not show at which limit latencies rise, so they leave the
// threshold unchanged.
func (l adaptiveLimit) decreased(observed window, factor float64) adaptiveLimit {
	decreased := min(l.limit, float64(observed.peakInFlight)) * factor
	if observed.overTarget <= observed.overloads {
		l.limit = max(decreased, min(l.limit, outageFloorFraction*l.sustainedPeak))
		return l
	}
	l.limit, l.threshold = decreased, decreased
	return l
}
