package hollow

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/membership"
)

// Parameters of the paper's cooperation that it gives no figures for.
const (
	// initialGap is how much more stable another's link must be at first.
	initialGap = 0.1
	// minTold is the number of heartbeats in a row that must suspect.
	minTold = 2
	// gapStep widens the gap towards a site whose suspicion was wrong.
	gapStep = 0.05
)

// suspicions is what a heartbeat tells of its sender's links.
type suspicions struct {
	suspected []bool
	stability []float64
}

// size is that of the lists on the wire: two bytes for a stability, a bit for a suspicion.
func (t *suspicions) size() int {
	if t == nil {
		return 0
	}
	return 2*len(t.stability) + (len(t.suspected)+7)/8
}

// telling returns what a site's heartbeat carries; nil without the paper's cooperation.
func (c *comparison) telling(s *site) *suspicions {
	if c.detector.cooperation != CooperationAdopt {
		return nil
	}
	told := &suspicions{}
	for _, link := range s.peers {
		told.suspected = append(told.suspected, link.suspected)
		told.stability = append(told.stability, stabilityOf(link))
	}
	return told
}

func stabilityOf(link *watchedLink) float64 {
	if estimator, ok := link.estimator.(*membership.Stability); ok {
		return estimator.Value
	}
	return 0
}

// adopt takes over suspicions of a site whose link is more stable and that has
// suspected for several heartbeats.
func (c *comparison) adopt(from, to int, told *suspicions) {
	if told == nil {
		return
	}
	receiver := c.sites[to]
	teller := receiver.peers[from]
	for subject, link := range receiver.peers {
		if subject == to || subject == from {
			continue
		}
		if !told.suspected[subject] {
			teller.told[subject] = 0
			continue
		}
		teller.told[subject]++
		if teller.told[subject] < minTold || told.stability[subject] <= (1+teller.gap)*stabilityOf(link) {
			continue
		}
		if !slices.Contains(link.adopted, from) {
			link.adopted = append(link.adopted, from)
		}
		c.suspect(subject, to, link)
	}
}

// forgive widens the gap towards those whose wrong suspicion was taken over.
func (c *comparison) forgive(to int, link *watchedLink) {
	for _, teller := range link.adopted {
		c.sites[to].peers[teller].gap += gapStep
	}
	link.adopted = nil
}
