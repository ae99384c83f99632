// Package replication runs the journal replicas of one daemon: it moves their
// messages, stores what they must not forget, applies committed entries to the
// shards' state machines and answers proposals.
//
// Shards are spread over a few workers. A worker is one goroutine that owns
// its shards' replicas; it takes all that waits for it at once, so that the
// proposals of many programs become one append, and the messages of many
// shards one batch to each peer.
package replication
