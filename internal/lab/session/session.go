// Package session plays the callers of the users' workload: it opens programs,
// issues their calls, tries again at other daemons as the failures advise,
// resumes broken answers where they stopped, and records all it sent and got.
package session

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Client is a tenant's connection to one daemon, as package caller/client has
// it: its errors are failures, those of the connection *client.NoAnswer.
type Client interface {
	Open(ctx context.Context, request caller.OpenRequest) (caller.ProgramStatus, error)
	// Call issues a call; resend says that it may have reached a daemon before.
	Call(ctx context.Context, program structs.ProgramID, request caller.CallRequest, resend bool, sink caller.AnswerSink) error
	// Read reads an answer from where from stands.
	Read(ctx context.Context, program structs.ProgramID, number structs.CallNumber, from caller.Sequence, sink caller.AnswerSink) error
	End(ctx context.Context, program structs.ProgramID) (caller.ProgramStatus, error)
}

// Endpoint is a daemon that a tenant may talk to.
type Endpoint struct {
	Daemon structs.NodeID
	Client Client
}

// Options set up the callers.
type Options struct {
	// Endpoints returns the daemons that a tenant knows; never empty.
	Endpoints func(tenant structs.TenantID) []Endpoint
	// Observer is told of what callers see.
	Observer Observer
	// Declared returns the declared budget of a program; only programs that
	// overspend ask for it.
	Declared func(structs.ProgramName) structs.Amount
	// Track, if set, is told of each request for an answer when it is sent to a
	// daemon, and is called back when it has ended.
	Track func(daemon structs.NodeID) (ended func())
	// TimeScale multiplies the workload's pauses.
	TimeScale float64
	// Patience bounds one call with all its attempts.
	Patience time.Duration
	// Stall is how long a request may bring nothing before the caller gives it
	// up and asks another daemon.
	Stall time.Duration
}

// Observer takes measurements. Its methods are called from many goroutines.
type Observer interface {
	FirstToken(latency time.Duration)
	InterToken(gap time.Duration)
	Refused(kind string)
	Request(result string)
}

// Behavior is what a program's caller does beside the plain workload.
type Behavior struct {
	// Overspend keeps calling until the budget refuses.
	Overspend bool
	// Repeat sends every tool call a second time, to another daemon.
	Repeat bool
	// Overtake sends a call before the one that precedes it.
	Overtake bool
	// Disconnect leaves an answer halfway and reads the rest elsewhere.
	Disconnect bool
}

// Shares of programs with each behaviour.
const (
	overspendShare  = 0.06
	repeatShare     = 0.25
	overtakeShare   = 0.2
	disconnectShare = 0.2
)

// DrawBehavior draws what a program's caller does.
func DrawBehavior(random *rand.Rand) Behavior {
	if random.Float64() < overspendShare {
		return Behavior{Overspend: true}
	}
	return Behavior{
		Repeat:     random.Float64() < repeatShare,
		Overtake:   random.Float64() < overtakeShare,
		Disconnect: random.Float64() < disconnectShare,
	}
}
