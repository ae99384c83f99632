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
	detector.SetZones(start, []string{"a", "b", "c"})
	return detector
}

func TestZoneBecomesUnreachableAfterMissedProbes(t *testing.T) {
	detector := threeZones()
	require.Empty(t, detector.ZonesToProbe(after(299)))
	detector.RecordAnswer("a", after(350))
	detector.RecordAnswer("c", after(350))
	require.Equal(t, []string{"b"}, detector.ZonesToProbe(after(400)))
	require.False(t, detector.RecordMissedProbe("b", after(300)), "one probe says little")
	require.True(t, detector.HasMissedProbe("b"))
	require.False(t, detector.IsUnreachable("b"))
	require.True(t, detector.RecordMissedProbe("b", after(500)))
	require.True(t, detector.IsUnreachable("b"))
	require.False(t, detector.RecordMissedProbe("b", after(700)), "it is told once")
	_, cutOff := detector.CutOffSince()
	require.False(t, cutOff, "one other zone answers")
	require.True(t, detector.RecordAnswer("b", after(900)))
	require.False(t, detector.IsUnreachable("b"))
	require.False(t, detector.HasMissedProbe("b"))
}

func TestIsolatedProcessMarksNoZoneUnreachable(t *testing.T) {
	detector := threeZones()
	for probe := range 5 {
		for _, zone := range []string{"a", "b", "c"} {
			require.False(t, detector.RecordMissedProbe(zone, after(300+200*probe)))
		}
	}
	_, cutOff := detector.CutOffSince()
	require.False(t, cutOff)
	// Its links are back: probes from before say nothing of the zones that answer later.
	detector.RecordAnswer("a", after(1200))
	for _, zone := range []string{"b", "c"} {
		require.False(t, detector.RecordMissedProbe(zone, after(1100)))
		require.False(t, detector.IsUnreachable(zone))
	}
	_, cutOff = detector.CutOffSince()
	require.False(t, cutOff)
}

func TestCutOffWhenAllOtherZonesAreUnreachable(t *testing.T) {
	detector := threeZones()
	detector.RecordAnswer("a", after(290))
	detector.RecordMissedProbe("b", after(300))
	detector.RecordMissedProbe("c", after(320))
	detector.RecordAnswer("a", after(400))
	detector.RecordMissedProbe("b", after(500))
	_, cutOff := detector.CutOffSince()
	require.False(t, cutOff)
	detector.RecordMissedProbe("c", after(520))
	since, cutOff := detector.CutOffSince()
	require.True(t, cutOff)
	require.Equal(t, after(320), since)
	detector.RecordAnswer("c", after(800))
	_, cutOff = detector.CutOffSince()
	require.False(t, cutOff)
}

func TestAnswerBeforeSilenceIsIgnored(t *testing.T) {
	detector := threeZones()
	detector.RecordAnswer("a", after(290))
	detector.RecordMissedProbe("b", after(300))
	detector.RecordAnswer("a", after(400))
	detector.RecordMissedProbe("b", after(500))
	require.False(t, detector.RecordAnswer("b", after(250)))
	require.True(t, detector.IsUnreachable("b"))
}

func TestProbeBeforeLastAnswerIsIgnored(t *testing.T) {
	detector := threeZones()
	detector.RecordAnswer("a", after(700))
	detector.RecordAnswer("b", after(600))
	detector.RecordMissedProbe("b", after(300))
	detector.RecordMissedProbe("b", after(500))
	require.False(t, detector.IsUnreachable("b"))
}

func TestProbeIntervalGrowsWithoutReplicaAnswers(t *testing.T) {
	detector := threeZones()
	now, probes := 0, 0
	for ; now < 20_000; now += 50 {
		detector.RecordReplicaAnswer("a", after(now))
		detector.RecordReplicaAnswer("c", after(now))
		if len(detector.ZonesToProbe(after(now))) > 0 {
			probes++
			detector.RecordWorkerAnswer("b", after(now))
		}
	}
	require.Less(t, probes, 15)
	detector.RecordReplicaAnswer("b", after(now))
	require.Equal(t, []string{"b"}, detector.ZonesToProbe(after(now + 300))[1:2])
}

func TestSingleZoneIsNeverCutOff(t *testing.T) {
	detector := NewDetector("a")
	detector.SetZones(start, []string{"a"})
	_, cutOff := detector.CutOffSince()
	require.False(t, cutOff)
}

func TestRemovedZonesAreDropped(t *testing.T) {
	detector := threeZones()
	detector.SetZones(after(10), []string{"a", "c"})
	require.Equal(t, []string{"a", "c"}, detector.ZonesToProbe(after(400)))
	require.False(t, detector.RecordMissedProbe("b", after(400)))
}

// TestUnreachableZoneHasNotAnswered holds for any order of answers and probes: a zone that
// is out of reach has answered no probe that began since the first of two unanswered ones,
// and another zone has answered in that time.
func TestUnreachableZoneHasNotAnswered(t *testing.T) {
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
				detector.RecordAnswer(zone, after(now))
				answers[zone] = append(answers[zone], now)
				misses[zone] = nil
				continue
			}
			began := now - rapid.IntRange(0, 100).Draw(t, "took")
			detector.RecordMissedProbe(zone, after(began))
			if last := answers[zone][len(answers[zone])-1]; last <= began {
				misses[zone] = append(misses[zone], began)
			}
		}
		for _, zone := range zones {
			if !detector.IsUnreachable(zone) {
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
