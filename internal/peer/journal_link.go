package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// queueBatches bounds what waits for one peer.
	queueBatches = 4096
	// reopenDelay is the pause before a failed stream is opened again.
	reopenDelay = 50 * time.Millisecond
)

// journalLink is the ordered stream of replication messages to one peer.
type journalLink struct {
	client *Client
	to     structs.NodeID

	mutex   sync.Mutex
	queue   []*journalv1.Batch
	arrived chan struct{}
}

func newJournalLink(client *Client, to structs.NodeID) *journalLink {
	return &journalLink{client: client, to: to, arrived: make(chan struct{}, 1)}
}

func (l *journalLink) enqueue(batch *journalv1.Batch) {
	l.mutex.Lock()
	if len(l.queue) >= queueBatches {
		l.mutex.Unlock()
		eventQueueFull.Log("peer", l.to)
		return
	}
	l.queue = append(l.queue, batch)
	l.mutex.Unlock()
	select {
	case l.arrived <- struct{}{}:
	default:
	}
}

func (l *journalLink) take() []*journalv1.Batch {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batches := l.queue
	l.queue = nil
	return batches
}

func (l *journalLink) run() {
	for l.waitForMessages() {
		address, known := l.client.options.Resolve(l.to)
		if !known {
			l.take()
			continue
		}
		l.stream(address)
		l.pause()
	}
}

// waitForMessages returns false once the client is closed.
func (l *journalLink) waitForMessages() bool {
	select {
	case <-l.arrived:
		return true
	case <-l.client.done:
		return false
	}
}

// stream sends what is queued and what arrives, until the stream fails or the
// peer's address changes.
func (l *journalLink) stream(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream := l.client.service(address).Journal(ctx)
	for {
		for _, batch := range l.take() {
			if err := stream.Send(batch); err != nil {
				l.closeStream(stream, err)
				return
			}
		}
		if !l.waitForMessages() {
			return
		}
		if current, known := l.client.options.Resolve(l.to); !known || current != address {
			l.rearm()
			return
		}
	}
}

// rearm makes run see messages that stream left in the queue.
func (l *journalLink) rearm() {
	select {
	case l.arrived <- struct{}{}:
	default:
	}
}

func (l *journalLink) closeStream(stream *connect.ClientStreamForClient[journalv1.Batch, peerv1.Received], cause error) {
	eventStreamLost.Log("peer", l.to, "cause", cause)
	_, _ = stream.CloseAndReceive()
}

func (l *journalLink) pause() {
	timer := time.NewTimer(reopenDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.client.done:
	}
}
