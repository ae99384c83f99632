package membership

import (
	"math"
	"slices"
	"time"
)

// Parameters of the stability margin, as in Sens, Arantes, Rossetto, Marin, "Stab-FD: a
// cooperative and adaptive failure detector for wide area networks", JPDC 186 (2024).
const (
	initialStability        = 10.0
	stabilityUpdateInterval = 10 * time.Second
	stabilityGain           = 0.1
)

// StabilityGroup holds the estimators of all links into one daemon. The margin of each
// link depends on its rank by stability.
type StabilityGroup struct {
	period               time.Duration
	margin               time.Duration
	lastUpdate           time.Time
	links                []*StabilityEstimator
	quartiles            [3]float64
	variationCoefficient float64
}

// NewStabilityGroup returns an empty group with an initial margin.
func NewStabilityGroup(period, margin time.Duration) *StabilityGroup {
	return &StabilityGroup{period: period, margin: margin}
}

// StabilityEstimator is the estimator of one link of a group: Chen's estimate of the
// arrival, plus a margin that depends on the link's stability.
type StabilityEstimator struct {
	group    *StabilityGroup
	arrivals *ChenEstimator
	// Value increases while the peer is not suspected falsely.
	Value           float64
	falseSuspicions int
	heartbeats      int
}

// New adds a link to the group and returns its estimator.
func (g *StabilityGroup) New() *StabilityEstimator {
	link := &StabilityEstimator{group: g, arrivals: NewChenEstimator(g.period, 0), Value: initialStability}
	g.links = append(g.links, link)
	g.updateStatistics()
	return link
}

// ObserveHeartbeat records an arrival.
func (s *StabilityEstimator) ObserveHeartbeat(now time.Time, number uint64) {
	s.arrivals.ObserveHeartbeat(now, number)
	s.heartbeats++
	s.group.update(now)
}

// ObserveFalseSuspicion records that the peer was suspected although it was alive.
func (s *StabilityEstimator) ObserveFalseSuspicion() { s.falseSuspicions++ }

// Deadline returns the expected arrival plus the margin for the link's rank.
func (s *StabilityEstimator) Deadline() time.Time {
	return s.arrivals.expectedArrival().Add(s.currentMargin())
}

// update updates the stability values (task T4 of the paper's algorithm 2).
func (g *StabilityGroup) update(now time.Time) {
	if now.Sub(g.lastUpdate) < stabilityUpdateInterval {
		return
	}
	g.lastUpdate = now
	for _, link := range g.links {
		change := stabilityGain
		if link.falseSuspicions > 0 {
			change = -float64(link.falseSuspicions) / float64(max(link.heartbeats, 1))
		}
		link.Value = max(0, link.Value+initialStability*change)
		link.falseSuspicions, link.heartbeats = 0, 0
	}
	g.updateStatistics()
}

// updateStatistics computes the quartiles and the coefficient of variation.
func (g *StabilityGroup) updateStatistics() {
	values := make([]float64, len(g.links))
	sum, squares := 0.0, 0.0
	for i, link := range g.links {
		values[i] = link.Value
		sum += link.Value
		squares += link.Value * link.Value
	}
	slices.Sort(values)
	for i := range g.quartiles {
		g.quartiles[i] = values[(len(values)-1)*(i+1)/4]
	}
	mean := sum / float64(len(values))
	variance := max(squares/float64(len(values))-mean*mean, 0)
	g.variationCoefficient = 0
	if mean > 0 {
		g.variationCoefficient = math.Sqrt(variance) / mean
	}
}

// currentMargin returns the margin of the link (the paper's algorithm 3).
func (s *StabilityEstimator) currentMargin() time.Duration {
	g := s.group
	factor := 0.0
	switch {
	case s.Value <= g.quartiles[0]:
		factor = 2 * (1 + g.variationCoefficient)
	case s.Value < g.quartiles[1]:
		factor = 1 + g.variationCoefficient
	case s.Value == g.quartiles[1]:
		factor = 0
	case s.Value <= g.quartiles[2]:
		factor = -0.25 * (1 + g.variationCoefficient)
	default:
		factor = -0.5 * (1 + g.variationCoefficient)
	}
	return time.Duration(float64(g.margin) * (1 + factor))
}
