package failure

import (
	"fmt"
	"time"
)

// Failures of capacity and of the system's own state. The request was not run; the failure says when to come back.

// Times to wait before a repeat, where the failure itself knows none.
const (
	readyDelay = time.Second
	shardDelay = 500 * time.Millisecond
)

// RateLimited reports a tenant over its declared rate.
type RateLimited struct {
	// Wait is when its next request fits.
	Wait time.Duration
}

func (e *RateLimited) Error() string {
	return fmt.Sprintf("tenant rate exceeded; retry after %s", e.Wait)
}

// Type returns "rate_limited".
func (e *RateLimited) Type() Type { return "rate_limited" }

// Outcome returns NotRun.
func (e *RateLimited) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *RateLimited) Retry() Retry { return Retry{Allowed: true, After: e.Wait} }

// Overloaded reports that the work in hand leaves no room before the request's deadline.
type Overloaded struct {
	// Resource names what is full.
	Resource string
	// Wait is when to come back.
	Wait time.Duration
}

func (e *Overloaded) Error() string {
	return fmt.Sprintf("%s overloaded; retry after %s", e.Resource, e.Wait)
}

// Type returns "overloaded".
func (e *Overloaded) Type() Type { return "overloaded" }

// Outcome returns NotRun.
func (e *Overloaded) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *Overloaded) Retry() Retry { return Retry{Allowed: true, After: e.Wait} }

// Draining reports a daemon that is stopping and takes no new work.
type Draining struct {
}

func (e *Draining) Error() string {
	return "this daemon is stopping"
}

// Type returns "draining".
func (e *Draining) Type() Type { return "draining" }

// Outcome returns NotRun.
func (e *Draining) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *Draining) Retry() Retry { return Retry{Allowed: true} }

// NotReady reports a daemon that holds no vouched configuration yet.
type NotReady struct {
	// Missing is what it waits for.
	Missing string
}

func (e *NotReady) Error() string {
	return fmt.Sprintf("not ready: waiting for %s", e.Missing)
}

// Type returns "not_ready".
func (e *NotReady) Type() Type { return "not_ready" }

// Outcome returns NotRun.
func (e *NotReady) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *NotReady) Retry() Retry { return Retry{Allowed: true, After: readyDelay} }

// NotLeader reports a replica that does not lead its shard.
type NotLeader struct {
	// Shard is the shard.
	Shard uint32
	// Leader is the node believed to lead, or empty.
	Leader string
}

func (e *NotLeader) Error() string {
	return fmt.Sprintf("not the leader of shard %d; believed leader %q", e.Shard, e.Leader)
}

// Type returns "not_leader".
func (e *NotLeader) Type() Type { return "not_leader" }

// Outcome returns NotRun.
func (e *NotLeader) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *NotLeader) Retry() Retry { return Retry{Allowed: true} }

// ShardUnavailable reports a shard without a majority that can be reached.
type ShardUnavailable struct {
	// Shard is the shard.
	Shard uint32
}

func (e *ShardUnavailable) Error() string {
	return fmt.Sprintf("shard %d has no majority that can be reached", e.Shard)
}

// Type returns "shard_unavailable".
func (e *ShardUnavailable) Type() Type { return "shard_unavailable" }

// Outcome returns NotRun.
func (e *ShardUnavailable) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *ShardUnavailable) Retry() Retry { return Retry{Allowed: true, After: shardDelay} }

// ProposalUnknown reports a record that was proposed while leadership was lost: it may yet be committed.
type ProposalUnknown struct {
	// Shard is the shard.
	Shard uint32
}

func (e *ProposalUnknown) Error() string {
	return fmt.Sprintf("the fate of a record of shard %d is not known", e.Shard)
}

// Type returns "proposal_unknown".
func (e *ProposalUnknown) Type() Type { return "proposal_unknown" }

// Outcome returns OutcomeUnknown.
func (e *ProposalUnknown) Outcome() Outcome { return OutcomeUnknown }

// Retry says when to send the request again.
func (e *ProposalUnknown) Retry() Retry { return Retry{Allowed: true} }

// DiskFailed reports that the data folder cannot take a write.
type DiskFailed struct {
	// Cause is the store's own error.
	Cause error
}

func (e *DiskFailed) Error() string {
	return fmt.Sprintf("data folder: %v", e.Cause)
}

// Type returns "disk_failed".
func (e *DiskFailed) Type() Type { return "disk_failed" }

// Outcome returns NotRun.
func (e *DiskFailed) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *DiskFailed) Retry() Retry { return Retry{Allowed: true} }

// Unwrap returns the cause.
func (e *DiskFailed) Unwrap() error { return e.Cause }
