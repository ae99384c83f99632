package zonehealth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func after(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func threeZones() *Detector {
	detector := NewDetector("a")
	detector.Keep(start, []string{"a", "b", "c"})
	return detector
}

func TestAZoneThatNobodyAnswersFromIsOutOfReach(t *testing.T) {
	detector := threeZones()
	require.Empty(t, detector.Due(after(299)))
	detector.Answered("a", after(350))
	detector.Answered("c", after(350))
	require.Equal(t, []string{"b"}, detector.Due(after(400)))
	require.False(t, detector.Unanswered("b", after(300)), "one probe says little")
	require.True(t, detector.Suspected("b"))
	require.False(t, detector.Unreached("b"))
	require.True(t, detector.Unanswered("b", after(500)))
	require.True(t, detector.Unreached("b"))
	require.False(t, detector.Unanswered("b", after(700)), "it is told once")
	_, cutOff := detector.CutOff()
	require.False(t, cutOff, "one other zone answers")
	require.True(t, detector.Answered("b", after(900)))
	require.False(t, detector.Unreached("b"))
	require.False(t, detector.Suspected("b"))
}

func TestAProcessThatNothingReachesBlamesNoZone(t *testing.T) {
	detector := threeZones()
	for probe := range 5 {
		for _, zone := range []string{"a", "b", "c"} {
			require.False(t, detector.Unanswered(zone, after(300+200*probe)))
		}
	}
	_, cutOff := detector.CutOff()
	require.False(t, cutOff)
	// Its links are back: probes from before say nothing of the zones that answer later.
	detector.Answered("a", after(1200))
	for _, zone := range []string{"b", "c"} {
		require.False(t, detector.Unanswered(zone, after(1100)))
		require.False(t, detector.Unreached(zone))
	}
	_, cutOff = detector.CutOff()
	require.False(t, cutOff)
}

func TestAZoneWithoutTheOthersIsCutOff(t *testing.T) {
	detector := threeZones()
	detector.Answered("a", after(290))
	detector.Unanswered("b", after(300))
	detector.Unanswered("c", after(320))
	detector.Answered("a", after(400))
	detector.Unanswered("b", after(500))
	_, cutOff := detector.CutOff()
	require.False(t, cutOff)
	detector.Unanswered("c", after(520))
	since, cutOff := detector.CutOff()
	require.True(t, cutOff)
	require.Equal(t, after(320), since)
	detector.Answered("c", after(800))
	_, cutOff = detector.CutOff()
	require.False(t, cutOff)
}

func TestAnAnswerFromBeforeTheSilenceEndsNothing(t *testing.T) {
	detector := threeZones()
	detector.Answered("a", after(290))
	detector.Unanswered("b", after(300))
	detector.Answered("a", after(400))
	detector.Unanswered("b", after(500))
	require.False(t, detector.Answered("b", after(250)))
	require.True(t, detector.Unreached("b"))
}

func TestAProbeFromBeforeAnAnswerSaysNothing(t *testing.T) {
	detector := threeZones()
	detector.Answered("a", after(700))
	detector.Answered("b", after(600))
	detector.Unanswered("b", after(300))
	detector.Unanswered("b", after(500))
	require.False(t, detector.Unreached("b"))
}

func TestAZoneWithoutReplicasIsProbedLessAndLessOften(t *testing.T) {
	detector := threeZones()
	now, probes := 0, 0
	for ; now < 20_000; now += 50 {
		detector.ReplicaAnswered("a", after(now))
		detector.ReplicaAnswered("c", after(now))
		if len(detector.Due(after(now))) > 0 {
			probes++
			detector.Refuted("b", after(now))
		}
	}
	require.Less(t, probes, 15)
	detector.ReplicaAnswered("b", after(now))
	require.Equal(t, []string{"b"}, detector.Due(after(now + 300))[1:2])
}

func TestASingleZoneIsNeverCutOff(t *testing.T) {
	detector := NewDetector("a")
	detector.Keep(start, []string{"a"})
	_, cutOff := detector.CutOff()
	require.False(t, cutOff)
}

func TestZonesThatAreGoneAreForgotten(t *testing.T) {
	detector := threeZones()
	detector.Keep(after(10), []string{"a", "c"})
	require.Equal(t, []string{"a", "c"}, detector.Due(after(400)))
	require.False(t, detector.Unanswered("b", after(400)))
}

// TestNoZoneIsOutOfReachThatAnswered holds for any order of answers and probes: a zone that
// is out of reach has answered no probe that began since the first of two unanswered ones,
// and another zone has answered in that time.
func TestNoZoneIsOutOfReachThatAnswered(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		detector := threeZones()
		answers := map[string][]int{"a": {0}, "b": {0}, "c": {0}}
		misses := map[string][]int{}
		now := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(1, 200).Draw(t, "gap")
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			if rapid.Bool().Draw(t, "answer") {
				detector.Answered(zone, after(now))
				answers[zone] = append(answers[zone], now)
				misses[zone] = nil
				continue
			}
			began := now - rapid.IntRange(0, 100).Draw(t, "took")
			detector.Unanswered(zone, after(began))
			if last := answers[zone][len(answers[zone])-1]; last <= began {
				misses[zone] = append(misses[zone], began)
			}
		}
		for _, zone := range zones {
			if !detector.Unreached(zone) {
				continue
			}
			require.GreaterOrEqual(t, len(misses[zone]), 2)
			heard := false
			for _, other := range zones {
				for _, answer := range answers[other] {
					heard = heard || other != zone && answer > misses[zone][0]
				}
			}
			require.True(t, heard)
		}
	})
}
