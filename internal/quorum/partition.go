package quorum

import (
	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// PartitionOf returns which of the given number of partitions stores the records of a program.
// The number of partitions never changes, so neither does a program's partition.
func PartitionOf(program string, partitions int) uint32 {
	if partitions <= 1 {
		return 0
	}
	return uint32(xxhash.Sum64String(program) % uint64(partitions))
}

// programOf returns the program that a record belongs to; of a stream, which may have none, its content.
func programOf(record *replicav1.Record) string {
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Reservation:
		return kind.Reservation.Program
	case *replicav1.Record_Settlement:
		return kind.Settlement.Program
	case *replicav1.Record_Turn:
		return kind.Turn.Program
	case *replicav1.Record_Stream:
		return kind.Stream.Content
	}
	return ""
}

// programGroup returns the current group of the partition that stores a program's budget records,
// or nil while it is unknown.
func (c *Client) programGroup(program string) *replicav1.Group {
	groups := c.groups.Groups()
	if len(groups) == 0 {
		return nil
	}
	return groups[PartitionOf(program, unconfinedCount(groups))]
}

// allMembers returns the members of all groups, each node once.
func (c *Client) allMembers() []directory.Replica { return directory.Members(c.groups.Groups()) }

// budgetPartitionCount returns the number of partitions that programs' budgets are distributed
// over.
func (c *Client) budgetPartitionCount() int { return unconfinedCount(c.groups.Groups()) }
