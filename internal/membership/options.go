package membership

import (
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Options configure a State.
type Options struct {
	// Self is this daemon; its incarnation must be higher than all its previous ones.
	Self structs.Node
	// Seeds are peer addresses through which the daemon joins.
	Seeds []string
	// Document is the large value that all daemons share; nil if there is none.
	Document Document
	// Random is the source of all randomness.
	Random *rand.Rand
	// NewEstimator creates the estimator for a watched peer; nil selects
	// DefaultEstimator.
	NewEstimator func() TimeoutEstimator
	// Timing holds the intervals and timeouts; the zero value selects DefaultTiming.
	Timing Timing
}

// Timing holds the intervals and timeouts of failure detection and dissemination.
type Timing struct {
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// InitialTimeout is how long a newly watched peer may be silent.
	InitialTimeout time.Duration
	// ProbeTimeout is how long a probe waits for direct and indirect answers.
	ProbeTimeout time.Duration
	// RefutationTimeout is how long an accused daemon has to refute before it is
	// removed.
	RefutationTimeout time.Duration
	// FlushDelay is how long a changed fact waits for others to be sent with it.
	FlushDelay time.Duration
	// LinkTimeout is how long a link between zones may be silent before it counts as
	// down.
	LinkTimeout time.Duration
	// SettleTime is how long the facts must be unchanged before differing digests are
	// compared by bucket.
	SettleTime time.Duration
	// TombstoneLifetime is how long a removed daemon is remembered.
	TombstoneLifetime time.Duration
	// JoinInterval is the interval at which a daemon that has not joined contacts its
	// seeds.
	JoinInterval time.Duration
}

// DefaultTiming returns the values derived in docs/design/membership.md.
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

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// NodeChanged: a member was admitted, or its state or addresses changed.
	NodeChanged EventKind = iota
	// ItemChanged: a newer version of an item was stored.
	ItemChanged
	// DocumentActivated: a newer version of the document is active.
	DocumentActivated
	// SelfRemoved: the others removed this daemon. It must give up its leaderships, and
	// call Rejoin to become a member again under a higher incarnation.
	SelfRemoved
	// ZoneUnreachable and ZoneReachable: no path of working links leads from a zone any
	// more, or one does again.
	ZoneUnreachable
	ZoneReachable
	// NodeExpired: the tombstone of a removed daemon has expired.
	NodeExpired
)

// Event is a change that the caller of a State must handle.
type Event struct {
	Kind    EventKind
	Node    structs.Node
	Item    Item
	Version uint64
	Zone    structs.ZoneName
}

// Item is a versioned value that daemons publish. The number of keys must be bounded,
// because items are never deleted. If two items have the same version and different
// values, the order of the values' hashes decides, which is the same on every daemon.
type Item struct {
	Key     string
	Version uint64
	Value   []byte
}
