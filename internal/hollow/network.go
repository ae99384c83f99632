package hollow

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// One-way delays. Within a region they are those that the users measured;
// between regions they are spread over what public networks show.
const (
	delayInZone     = 250 * time.Microsecond
	delayInRegion   = 1500 * time.Microsecond
	delayRegionsMin = 15 * time.Millisecond
	delayRegionsMax = 140 * time.Millisecond
	// regionCount is the number of regions that zones are dealt out to.
	regionCount = 6
)

// Standard deviations of delay between regions, in milliseconds, and shares of
// heartbeats lost, in bursts: the range of the tables in Sens et al., "Stab-FD:
// a cooperative and adaptive failure detector for wide area networks", JPDC 186 (2024).
const (
	deviationMin = 1.3
	deviationMax = 55.0
	burstLossMin = 0.0004
	burstLossMax = 0.0028
	// burstLength is the mean length of a burst.
	burstLength = 2 * time.Second
	// burstLoss is the share of messages lost within a burst.
	burstLoss = 0.5
)

// Link is one direction between two zones.
type Link struct {
	// Delay is the least one-way delay, Deviation its standard deviation.
	Delay     time.Duration
	Deviation time.Duration
	// BurstShare is the share of time in bursts of loss.
	BurstShare float64
	burstUntil time.Duration
	quietUntil time.Duration
}

// network decides the fate of messages.
type network struct {
	random *rand.Rand
	loss   float64
	links  map[[2]structs.ZoneName]*Link
	// cut zones reach only themselves.
	cut map[structs.ZoneName]bool
}

func newNetwork(seed uint64, loss float64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 1)),
		loss:   loss,
		links:  map[[2]structs.ZoneName]*Link{},
		cut:    map[structs.ZoneName]bool{},
	}
}

// link returns the link from one zone to another. Both directions differ.
func (n *network) link(from, to structs.Node) *Link {
	key := [2]structs.ZoneName{from.Zone, to.Zone}
	link, known := n.links[key]
	if !known {
		link = newLink(from, to)
		n.links[key] = link
	}
	return link
}

func newLink(from, to structs.Node) *Link {
	switch {
	case from.Zone == to.Zone:
		return &Link{Delay: delayInZone, Deviation: delayInZone / 5}
	case from.Region == to.Region:
		return &Link{Delay: delayInRegion, Deviation: delayInRegion / 3, BurstShare: burstLossMin / burstLoss}
	}
	distance := fraction("delay", min(from.Region, to.Region)+max(from.Region, to.Region))
	// Both ends and directions differ in quality: some receivers are bad.
	quality := math.Pow(fraction("quality", string(to.Zone))*fraction("link", string(from.Zone)+">"+string(to.Zone)), 1.5)
	return &Link{
		Delay:      delayRegionsMin + time.Duration(distance*float64(delayRegionsMax-delayRegionsMin)),
		Deviation:  time.Duration((deviationMin + quality*(deviationMax-deviationMin)) * float64(time.Millisecond)),
		BurstShare: (burstLossMin + quality*(burstLossMax-burstLossMin)) / burstLoss,
	}
}

// fraction is a number in [0,1) that depends on the name alone.
func fraction(kind, name string) float64 {
	return float64(xxhash.Sum64String(kind+"\x00"+name)>>11) / (1 << 53)
}

// deliver draws a message's delay and whether it arrives.
func (n *network) deliver(now time.Duration, from, to structs.Node) (time.Duration, bool) {
	if from.Zone != to.Zone && (n.cut[from.Zone] || n.cut[to.Zone]) {
		return 0, false
	}
	if n.loss > 0 && n.random.Float64() < n.loss {
		return 0, false
	}
	return n.link(from, to).Draw(n.random, now)
}

// Draw gives a message's delay and whether the link's bursts let it through.
// The delay has an exponential tail.
func (l *Link) Draw(random *rand.Rand, now time.Duration) (time.Duration, bool) {
	if l.BurstShare > 0 && l.inBurst(random, now) && random.Float64() < burstLoss {
		return 0, false
	}
	return l.Delay + time.Duration(random.ExpFloat64()*float64(l.Deviation)), true
}

// inBurst alternates between bursts and quiet times of random lengths.
func (l *Link) inBurst(random *rand.Rand, now time.Duration) bool {
	quiet := float64(burstLength) * (1 - l.BurstShare) / l.BurstShare
	for now >= l.quietUntil {
		l.burstUntil = l.quietUntil + time.Duration(random.ExpFloat64()*float64(burstLength))
		if l.quietUntil == 0 {
			l.burstUntil = 0
		}
		l.quietUntil = l.burstUntil + time.Duration(random.ExpFloat64()*quiet) + 1
	}
	return now < l.burstUntil
}

// place names the zone and region of a daemon: zones are dealt out to daemons
// and regions to zones in turn.
func place(index, zones int) (zone structs.ZoneName, region string) {
	number := index % zones
	return structs.ZoneName(fmt.Sprintf("zone-%02d", number)), fmt.Sprintf("region-%d", number%regionCount)
}

func address(index int) string {
	return fmt.Sprintf("10.%d.%d.%d:7000", index>>16&255, index>>8&255, index&255)
}
