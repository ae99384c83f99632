// Package replication runs the journal replicas of one daemon. It exchanges
// their messages with peers, persists their state, applies committed entries
// to the shards' state machines and answers proposals.
//
// Shards are distributed over a few workers. A worker is one goroutine that
// owns the replicas of its shards. It processes its whole inbox at once, which
// combines the proposals of many programs into one append and the messages of
// many shards into one batch per peer.
package replication
