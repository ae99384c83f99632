package zonehealth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func atMilliseconds(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func newThreeZoneDetector() *Detector {
	detector := NewDetector("a")
	detector.SetZones(start, []string{"a", "b", "c"})
	return detector
}

func TestZoneBecomesUnreachableAfterMissedProbes(t *testing.T) {
	detector := newThreeZoneDetector()
	require.Empty(t, detector.ZonesToProbe(atMilliseconds(299)))
	detector.RecordAnswer("a", atMilliseconds(350))
	detector.RecordAnswer("c", atMilliseconds(350))
	require.Equal(t, []string{"b"}, detector.ZonesToProbe(atMilliseconds(400)))
	require.False(t, detector.RecordMissedProbe("b", atMilliseconds(300)), "a single missed probe is not enough")
	require.True(t, detector.HasMissedProbe("b"))
	require.False(t, detector.IsUnreachable("b"))
	require.True(t, detector.RecordMissedProbe("b", atMilliseconds(500)))
	require.True(t, detector.IsUnreachable("b"))
	require.False(t, detector.RecordMissedProbe("b", atMilliseconds(700)), "the change must be reported once")
	_, cutOff := detector.CutOffSince()
	require.False(t, cutOff, "another zone still answers")
	require.True(t, detector.RecordAnswer("b", atMilliseconds(900)))
	require.False(t, detector.IsUnreachable("b"))
	require.False(t, detector.HasMissedProbe("b"))
}

func TestIsolatedProcessMarksNoZoneUnreachable(t *testing.T) {
	detector := newThreeZoneDetector()
	for probe := range 5 {
		for _, zone := range []string{"a", "b", "c"} {
			require.False(t, detector.RecordMissedProbe(zone, atMilliseconds(300+200*probe)))
		}
	}
	_, cutOff := detector.CutOffSince()
	require.False(t, cutOff)
	// After the process is connected again, earlier probes must not count against zones that answer
	// later.
	detector.RecordAnswer("a", atMilliseconds(1200))
	for _, zone := range []string{"b", "c"} {
		require.False(t, detector.RecordMissedProbe(zone, atMilliseconds(1100)))
		require.False(t, detector.IsUnreachable(zone))
	}
	_, cutOff = detector.CutOffSince()
	require.False(t, cutOff)
}

func TestCutOffWhenAllOtherZonesAreUnreachable(t *testing.T) {
	detector := newThreeZoneDetector()
	detector.RecordAnswer("a", atMilliseconds(290))
	detector.RecordMissedProbe("b", atMilliseconds(300))
	detector.RecordMissedProbe("c", atMilliseconds(320))
	detector.RecordAnswer("a", atMilliseconds(400))
	detector.RecordMissedProbe("b", atMilliseconds(500))
	_, cutOff := detector.CutOffSince()
	require.False(t, cutOff)
	detector.RecordMissedProbe("c", atMilliseconds(520))
	since, cutOff := detector.CutOffSince()
	require.True(t, cutOff)
	require.Equal(t, atMilliseconds(320), since)
	detector.RecordAnswer("c", atMilliseconds(800))
	_, cutOff = detector.CutOffSince()
	require.False(t, cutOff)
}

func TestAnswerBeforeSilenceIsIgnored(t *testing.T) {
	detector := newThreeZoneDetector()
	detector.RecordAnswer("a", atMilliseconds(290))
	detector.RecordMissedProbe("b", atMilliseconds(300))
	detector.RecordAnswer("a", atMilliseconds(400))
	detector.RecordMissedProbe("b", atMilliseconds(500))
	require.False(t, detector.RecordAnswer("b", atMilliseconds(250)))
	require.True(t, detector.IsUnreachable("b"))
}

func TestProbeBeforeLastAnswerIsIgnored(t *testing.T) {
	detector := newThreeZoneDetector()
	detector.RecordAnswer("a", atMilliseconds(700))
	detector.RecordAnswer("b", atMilliseconds(600))
	detector.RecordMissedProbe("b", atMilliseconds(300))
	detector.RecordMissedProbe("b", atMilliseconds(500))
	require.False(t, detector.IsUnreachable("b"))
}

func TestProbeIntervalGrowsWithoutReplicaAnswers(t *testing.T) {
	detector := newThreeZoneDetector()
	now, probes := 0, 0
	for ; now < 20_000; now += 50 {
		detector.RecordReplicaAnswer("a", atMilliseconds(now))
		detector.RecordReplicaAnswer("c", atMilliseconds(now))
		if len(detector.ZonesToProbe(atMilliseconds(now))) > 0 {
			probes++
			detector.RecordWorkerAnswer("b", atMilliseconds(now))
		}
	}
	require.Less(t, probes, 15)
	detector.RecordReplicaAnswer("b", atMilliseconds(now))
	require.Equal(t, []string{"b"}, detector.ZonesToProbe(atMilliseconds(now + 300))[1:2])
}

func TestSingleZoneIsNeverCutOff(t *testing.T) {
	detector := NewDetector("a")
	detector.SetZones(start, []string{"a"})
	_, cutOff := detector.CutOffSince()
	require.False(t, cutOff)
}

func TestRemovedZonesAreDropped(t *testing.T) {
	detector := newThreeZoneDetector()
	detector.SetZones(atMilliseconds(10), []string{"a", "c"})
	require.Equal(t, []string{"a", "c"}, detector.ZonesToProbe(atMilliseconds(400)))
	require.False(t, detector.RecordMissedProbe("b", atMilliseconds(400)))
}

// TestUnreachableZoneHasNotAnswered checks for random answers and probes that an unreachable zone
// has at least two missed probes since its last answer, and that another zone has answered since
// the first of them.
func TestUnreachableZoneHasNotAnswered(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		detector := newThreeZoneDetector()
		answers := map[string][]int{"a": {0}, "b": {0}, "c": {0}}
		missedProbes := map[string][]int{}
		now := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(1, 200).Draw(t, "gap")
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			if rapid.Bool().Draw(t, "answer") {
				detector.RecordAnswer(zone, atMilliseconds(now))
				answers[zone] = append(answers[zone], now)
				missedProbes[zone] = nil
				continue
			}
			startedAt := now - rapid.IntRange(0, 100).Draw(t, "took")
			detector.RecordMissedProbe(zone, atMilliseconds(startedAt))
			if last := answers[zone][len(answers[zone])-1]; last <= startedAt {
				missedProbes[zone] = append(missedProbes[zone], startedAt)
			}
		}
		for _, zone := range zones {
			if !detector.IsUnreachable(zone) {
				continue
			}
			require.GreaterOrEqual(t, len(missedProbes[zone]), 2)
			answeredElsewhere := false
			for _, other := range zones {
				for _, answer := range answers[other] {
					answeredElsewhere = answeredElsewhere || other != zone && answer > missedProbes[zone][0]
				}
			}
			require.True(t, answeredElsewhere)
		}
	})
}
