package promise

import (
	"sort"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// turnedAway lists the refusals that are of the system's own state and not of
// the call. A request in progress that ends with one was cut off.
var turnedAway = map[failure.Type]bool{
	"draining":          true,
	"internal":          true,
	"not_leader":        true,
	"not_ready":         true,
	"peer_unreachable":  true,
	"proposal_unknown":  true,
	"shard_unavailable": true,
}

// checkStops: a request that was in progress at a daemon when its planned stop
// began got its whole answer, or a final refusal of its own, there.
func checkStops(evidence *Evidence, x *index, verdict *Verdict) {
	for _, stop := range evidence.Stops {
		for id, program := range x.programs {
			for _, call := range program.Calls {
				for _, attempt := range call.Attempts {
					if !inProgress(attempt, stop) {
						continue
					}
					cut := attempt.Result == Broken || turnedAway[attempt.FailureType]
					verdict.check(!cut, "%s call %d: cut off by the stop of %s (%s %s)",
						id, call.Number, stop.Daemon, attempt.Result, attempt.FailureType)
				}
			}
		}
	}
}

// inProgress leaves out requests that the caller itself gave up.
func inProgress(attempt Attempt, stop PlannedStop) bool {
	if attempt.Daemon != stop.Daemon || attempt.Result == Abandoned || attempt.Result == Unreached {
		return false
	}
	return attempt.Sent.Before(stop.Begun) && attempt.Finished.After(stop.Begun)
}

// checkConfiguration: no daemon goes back to a lower version, no daemon that
// could learn is behind an accepted version for longer than the bound, and no
// accepted change is lost.
func checkConfiguration(evidence *Evidence, _ *index, verdict *Verdict) {
	changes := map[uint64]int{}
	for _, accepted := range evidence.Accepted {
		changes[accepted.Version]++
		verdict.check(!accepted.Lost, "the change accepted as version %d is gone", accepted.Version)
		verdict.check(changes[accepted.Version] == 1, "two changes were accepted as version %d", accepted.Version)
	}
	byDaemon := map[structs.NodeID][]Sample{}
	for _, sample := range evidence.Samples {
		byDaemon[sample.Daemon] = append(byDaemon[sample.Daemon], sample)
	}
	for daemon, samples := range byDaemon {
		sort.SliceStable(samples, func(i, j int) bool { return samples[i].At.Before(samples[j].At) })
		for i, sample := range samples {
			if i > 0 {
				verdict.check(samples[i-1].Version <= sample.Version, "daemon %s went back from version %d to %d",
					daemon, samples[i-1].Version, sample.Version)
			}
			checkInForce(evidence, sample, verdict)
		}
	}
}

func checkInForce(evidence *Evidence, sample Sample, verdict *Verdict) {
	for _, accepted := range evidence.Accepted {
		due := accepted.At.Add(evidence.Bounds.InForce)
		if sample.At.Before(due) || impaired(evidence, sample, accepted) {
			continue
		}
		verdict.check(sample.Version >= accepted.Version, "daemon %s acts on version %d, %s after version %d was accepted",
			sample.Daemon, sample.Version, sample.At.Sub(accepted.At), accepted.Version)
	}
}

// impaired reports whether a fault touched the daemon between the acceptance,
// or the bound before the sample where that is later, and the sample.
func impaired(evidence *Evidence, sample Sample, accepted Accepted) bool {
	from := sample.At.Add(-evidence.Bounds.InForce)
	if accepted.At.After(from) {
		from = accepted.At
	}
	for _, span := range evidence.Impaired {
		if span.Daemon != sample.Daemon {
			continue
		}
		if span.From.Before(sample.At) && span.To.After(from) {
			return true
		}
	}
	return false
}
