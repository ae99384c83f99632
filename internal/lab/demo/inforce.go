package demo

import (
	"sort"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// inForce returns how long after its acceptance a change was first seen at each
// daemon. Daemons that a fault touched meanwhile, or that were not sampled yet,
// are left out. The samples' period is the resolution.
func inForce(evidence *promise.Evidence) report.Percentiles {
	byDaemon := map[structs.NodeID][]promise.Sample{}
	for _, sample := range evidence.Samples {
		byDaemon[sample.Daemon] = append(byDaemon[sample.Daemon], sample)
	}
	times := report.NewDistribution()
	for _, samples := range byDaemon {
		sort.Slice(samples, func(i, j int) bool { return samples[i].At.Before(samples[j].At) })
		for _, accepted := range evidence.Accepted {
			if accepted.At.Before(samples[0].At) {
				continue
			}
			if seen, found := firstSeen(samples, accepted); found && !touched(evidence, samples[0].Daemon, accepted.At, seen) {
				times.Record(seen.Sub(accepted.At))
			}
		}
	}
	return times.Percentiles()
}

// firstSeen returns the time of the first sample at or after the acceptance
// that shows the version or a later one.
func firstSeen(samples []promise.Sample, accepted promise.Accepted) (time.Time, bool) {
	for _, sample := range samples {
		if !sample.At.Before(accepted.At) && sample.Version >= accepted.Version {
			return sample.At, true
		}
	}
	return time.Time{}, false
}

func touched(evidence *promise.Evidence, daemon structs.NodeID, from, to time.Time) bool {
	for _, span := range evidence.Impaired {
		if span.Daemon == daemon && span.From.Before(to) && span.To.After(from) {
			return true
		}
	}
	return false
}
