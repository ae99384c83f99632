package quorum

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// MemberAddressesByZone returns the addresses of the members of all groups, by zone.
func (c *Client) MemberAddressesByZone() map[string][]string {
	zones := make(map[string][]string)
	for _, member := range c.members() {
		zones[member.Zone] = append(zones[member.Zone], member.Address)
	}
	return zones
}

// HasLocalMajority reports whether the own zone alone has a majority of the members that keep
// a program's records.
func (c *Client) HasLocalMajority(program string) bool {
	group := c.group(program)
	here := 0
	for _, member := range group.GetMembers() {
		if member.Zone == c.zone {
			here++
		}
	}
	return group != nil && here >= WriteQuorum(len(group.Members))
}

// LastAnswerTime returns when a replica last answered any call; zero is never.
func (c *Client) LastAnswerTime(address string) time.Time { return c.reach.lastAnswer(address) }

// IsReachable reports whether a replica's machine answers one call: also one that refuses it
// because its process does not run is reached.
func (c *Client) IsReachable(ctx context.Context, address string) bool {
	err := c.probe(ctx, address)
	if !unanswered(err) {
		c.reach.answered(address)
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// lastAnswer returns when a replica last answered any call.
func (r *reach) lastAnswer(address string) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.answers[address]
}
