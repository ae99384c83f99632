package membership

import (
	"math"
	"slices"
	"time"
)

// The parameters of the stability margin, as in Sens, Arantes, Rossetto, Marin,
// "Stab-FD: a cooperative and adaptive failure detector for wide area
// networks", JPDC 186 (2024).
const (
	initialStability = 10.0
	stabilityUpdate  = 10 * time.Second
	stabilityGain    = 0.1
)

// StabilityGroup holds the stability of all links into one daemon. The margin
// of each follows from its rank among them.
type StabilityGroup struct {
	period   time.Duration
	margin   time.Duration
	updated  time.Time
	links    []*StabilityEstimator
	quartile [3]float64
	spread   float64
}

// NewStabilityGroup returns a group with an initial margin.
func NewStabilityGroup(period, margin time.Duration) *StabilityGroup {
	return &StabilityGroup{period: period, margin: margin}
}

// StabilityEstimator is the estimator of one link of a group: Chen's estimate of the
// arrival, and a margin by the link's stability.
type StabilityEstimator struct {
	group    *StabilityGroup
	arrivals *ChenEstimator
	// Value rises while the link makes no mistakes.
	Value    float64
	mistakes int
	count    int
}

// New adds a link to the group.
func (g *StabilityGroup) New() *StabilityEstimator {
	link := &StabilityEstimator{group: g, arrivals: NewChenEstimator(g.period, 0), Value: initialStability}
	g.links = append(g.links, link)
	g.rank()
	return link
}

// HeartbeatInterval takes an arrival.
func (s *StabilityEstimator) ObserveHeartbeat(now time.Time, number uint64) {
	s.arrivals.ObserveHeartbeat(now, number)
	s.count++
	s.group.update(now)
}

// ObserveFalseSuspicion tells that the peer was suspected wrongly.
func (s *StabilityEstimator) ObserveFalseSuspicion() { s.mistakes++ }

// Deadline is the expected arrival and the margin of the link's rank.
func (s *StabilityEstimator) Deadline() time.Time { return s.arrivals.expected().Add(s.margin()) }

// update is task T4 of the paper's algorithm 2.
func (g *StabilityGroup) update(now time.Time) {
	if now.Sub(g.updated) < stabilityUpdate {
		return
	}
	g.updated = now
	for _, link := range g.links {
		change := stabilityGain
		if link.mistakes > 0 {
			change = -float64(link.mistakes) / float64(max(link.count, 1))
		}
		link.Value = max(0, link.Value+initialStability*change)
		link.mistakes, link.count = 0, 0
	}
	g.rank()
}

// rank computes the quartiles and the coefficient of variation.
func (g *StabilityGroup) rank() {
	values := make([]float64, len(g.links))
	sum, squares := 0.0, 0.0
	for i, link := range g.links {
		values[i] = link.Value
		sum += link.Value
		squares += link.Value * link.Value
	}
	slices.Sort(values)
	for i := range g.quartile {
		g.quartile[i] = values[(len(values)-1)*(i+1)/4]
	}
	mean := sum / float64(len(values))
	variance := max(squares/float64(len(values))-mean*mean, 0)
	g.spread = 0
	if mean > 0 {
		g.spread = math.Sqrt(variance) / mean
	}
}

// margin is the paper's algorithm 3.
func (s *StabilityEstimator) margin() time.Duration {
	g := s.group
	factor := 0.0
	switch {
	case s.Value <= g.quartile[0]:
		factor = 2 * (1 + g.spread)
	case s.Value < g.quartile[1]:
		factor = 1 + g.spread
	case s.Value == g.quartile[1]:
		factor = 0
	case s.Value <= g.quartile[2]:
		factor = -0.25 * (1 + g.spread)
	default:
		factor = -0.5 * (1 + g.spread)
	}
	return time.Duration(float64(g.margin) * (1 + factor))
}
