package quarantine

// ConnectionLoss is how the connection of an attempt was lost.
type ConnectionLoss int

// The ways in which a connection is lost.
const (
	// LostCanceled means that this process ended the attempt, or that its client has left.
	LostCanceled ConnectionLoss = iota
	// LostMalformed means that the worker sent something that is not its response.
	LostMalformed
	// LostClosed means that the other end closed or reset the connection.
	LostClosed
	// LostSilent means that the other end did not acknowledge what was sent.
	LostSilent
)

// Probe is the result of opening a new connection to the address of a worker.
type Probe int

// The results of a probe.
const (
	// NotProbed means that no connection was tried.
	NotProbed Probe = iota
	// ProbeRefused means that nothing listens at the address.
	ProbeRefused
	// ProbeAccepted means that a process listens at the address and keeps the connection.
	ProbeAccepted
	// ProbeUnanswered means that nothing came back.
	ProbeUnanswered
)

// Evidence is what is known about the worker of a lost attempt.
type Evidence struct {
	Loss  ConnectionLoss
	Probe Probe
	// Replaced is set if another incarnation of the worker is listed.
	Replaced bool
}

// Verdict is what the evidence says about the worker's process.
type Verdict string

// The verdicts.
const (
	// Ended means that the process has ended.
	Ended Verdict = "ended"
	// Alive means that the process runs: only the attempt has failed.
	Alive Verdict = "alive"
	// Unknown means that the evidence shows neither.
	Unknown Verdict = "unknown"
)

// NeedsProbe reports whether a probe can tell more about a lost connection.
func (l ConnectionLoss) NeedsProbe() bool { return l == LostClosed || l == LostSilent }

// Judge returns the verdict on a worker.
func Judge(evidence Evidence) Verdict {
	switch {
	case evidence.Loss == LostMalformed:
		return Alive
	case !evidence.Loss.NeedsProbe():
		return Unknown
	case evidence.Replaced, evidence.Probe == ProbeRefused:
		return Ended
	case evidence.Probe == ProbeAccepted:
		return Alive
	}
	return Unknown
}
