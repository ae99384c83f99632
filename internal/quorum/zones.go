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
	for _, member := range c.allMembers() {
		zones[member.Zone] = append(zones[member.Zone], member.Address)
	}
	return zones
}

// HasLocalMajority reports whether the client's own zone contains a majority of the members that
// store a program's budget records.
func (c *Client) HasLocalMajority(program string) bool {
	group := c.programGroup(program)
	local := 0
	for _, member := range group.GetMembers() {
		if member.Zone == c.zone {
			local++
		}
	}
	return group != nil && local >= WriteQuorum(len(group.Members))
}

// LastAnswerTime returns when a replica last answered any call; zero means never.
func (c *Client) LastAnswerTime(address string) time.Time {
	return c.reachability.lastAnswerTime(address)
}

// IsReachable reports whether a replica's machine answers a call. A refused connection counts as
// reachable: the machine is up, but the process does not run.
func (c *Client) IsReachable(ctx context.Context, address string) bool {
	err := c.probe(ctx, address)
	if !isUnanswered(err) {
		c.reachability.recordAnswer(address)
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// lastAnswerTime returns when a replica last answered any call; zero means never.
func (r *reachability) lastAnswerTime(address string) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lastAnswers[address]
}
