package membership

import (
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Options configure a State.
type Options struct {
	// Self is the daemon; its incarnation must be higher than in any earlier life.
	Self structs.Node
	// Seeds are peer addresses through which the daemon joins.
	Seeds []string
	// Document is the large value that all daemons share; nil if there is none.
	Document Document
	// Random is the source of every choice by chance.
	Random *rand.Rand
	// NewEstimator makes the timeout of a watched peer; nil means DefaultEstimator.
	NewEstimator func() TimeoutEstimator
	// Timing holds the periods; the zero value means DefaultTiming.
	Timing Timing
}

// Timing holds the periods of failure detection and dissemination.
type Timing struct {
	// HeartbeatInterval is the period of heartbeats.
	HeartbeatInterval time.Duration
	// InitialTimeout is how long a newly watched peer may stay silent.
	InitialTimeout time.Duration
	// ProbeTimeout bounds the wait for direct and indirect answers.
	ProbeTimeout time.Duration
	// RefutationTimeout is how long an accused daemon has to contradict before it is removed.
	RefutationTimeout time.Duration
	// FlushDelay is how long a changed fact waits for others to be sent with it.
	FlushDelay time.Duration
	// LinkTimeout is how long a link between zones may be silent before it
	// counts as cut.
	LinkTimeout time.Duration
	// SettleTime is how long digests may differ before they are compared by bucket.
	SettleTime time.Duration
	// TombstoneLifetime is how long a removed daemon is remembered.
	TombstoneLifetime time.Duration
	// JoinInterval is the period at which a daemon that knows no other asks its seeds.
	JoinInterval time.Duration
}

// DefaultTiming returns the periods that docs/design/membership.md derives.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: time.Second,
		InitialTimeout:    3 * time.Second,
		ProbeTimeout:      600 * time.Millisecond,
		RefutationTimeout: 800 * time.Millisecond,
		FlushDelay:        50 * time.Millisecond,
		LinkTimeout:       3500 * time.Millisecond,
		SettleTime:        2 * time.Second,
		TombstoneLifetime: time.Hour,
		JoinInterval:      time.Second,
	}
}

// Outgoing is a message to send.
type Outgoing struct {
	To      structs.Node
	Message *gossipv1.Message
}

// EventKind says what an Event reports.
type EventKind int

// The kinds of events.
const (
	// NodeChanged: a member was admitted or its state or addresses changed.
	NodeChanged EventKind = iota
	// ItemChanged: a newer item is held.
	ItemChanged
	// DocumentActivated: a newer version of the document is in force.
	DocumentActivated
	// SelfRemoved: the others removed this daemon. It must stop leading, and
	// call Rejoin to come back under a higher incarnation.
	SelfRemoved
	// ZoneUnreachable and ZoneReachable: all links from a zone fell silent, or
	// one of them came back.
	ZoneUnreachable
	ZoneReachable
	// NodeExpired: a daemon that was removed long ago is no longer known.
	NodeExpired
)

// Event is a change that the runner reports.
type Event struct {
	Kind    EventKind
	Node    structs.Node
	Item    Item
	Version uint64
	Zone    structs.ZoneName
}

// Item is a versioned fact that daemons publish. Keys must be bounded in
// number: an item is never dropped. Equal versions with different values are
// settled by the values, the same way everywhere.
type Item struct {
	Key     string
	Version uint64
	Value   []byte
}
