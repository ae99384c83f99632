package hollow

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
)

// Costs of one message over the real transport beyond its own bytes, as
// BenchmarkGossipTransport measures them on a kept connection: HTTP/2 frames
// and headers of the request and of its answer.
const (
	transportRequestBytes = 28
	transportAnswerBytes  = 47
	// packetBytes estimates the TCP and IP headers of the four packets of an
	// exchange: request, answer and two acknowledgements.
	packetBytes = 4 * 52
	// MessageOverheadBytes is what an exchange costs besides the message.
	MessageOverheadBytes = transportRequestBytes + transportAnswerBytes + packetBytes
	// TransportTime is the processor time of one end of an exchange.
	TransportTime = 385 * time.Microsecond
)

// Kind is what a message is mainly for.
type Kind int

// The kinds of messages.
const (
	KindHeartbeat Kind = iota
	KindFacts
	KindAccusation
	KindProbe
	KindSync
	KindDocument
	kindCount
)

var kindNames = [kindCount]string{"heartbeat", "facts", "accusation", "probe", "sync", "document"}

func (k Kind) String() string { return kindNames[k] }

func kindOf(m *gossipv1.Message) Kind {
	switch {
	case m.Sync != nil:
		return KindSync
	case m.Heartbeat > 0:
		return KindHeartbeat
	case len(m.Deltas) > 0 || m.DocumentRequest != nil || m.DocumentChunk != nil:
		return KindDocument
	case len(m.Facts) > 0:
		return KindFacts
	case len(m.Accusations) > 0:
		return KindAccusation
	case m.DocumentVersion > 0:
		return KindDocument
	default:
		return KindProbe
	}
}

// traffic counts messages and bytes, overhead included.
type traffic struct {
	messages int64
	bytes    int64
}

// meter counts what one daemon costs.
type meter struct {
	busy     time.Duration
	sent     [kindCount]traffic
	received [kindCount]traffic
	// platformBytes is what it read from the platform.
	platformBytes int64
}

func (t *traffic) add(size int) {
	t.messages++
	t.bytes += int64(size + MessageOverheadBytes)
}

func (m *meter) messages() int64 {
	var total int64
	for kind := range kindCount {
		total += m.sent[kind].messages + m.received[kind].messages
	}
	return total
}

func (m *meter) bytes() int64 {
	var total int64
	for kind := range kindCount {
		total += m.sent[kind].bytes + m.received[kind].bytes
	}
	return total
}

// processor is the daemon's processor time, with that of the real transport.
func (m *meter) processor() time.Duration {
	return m.busy + time.Duration(m.messages())*TransportTime
}

// threadTime is the processor time of the calling thread.
func threadTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
