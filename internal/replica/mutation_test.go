package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// mutation is a deliberate bug in the replicas or in their clients. The simulation must detect each
// of them.
type mutation string

const (
	noMutation               mutation = ""
	skipFsync                mutation = "an fsync is skipped"
	countEmptyReplica        mutation = "an empty replica counts as recovered"
	dropReservation          mutation = "a reservation is acknowledged and dropped"
	readTooFew               mutation = "absence is concluded from one answer too few"
	ignoreSeenIncarnations   mutation = "answers of an earlier incarnation count"
	ignoreEpoch              mutation = "answers of an earlier epoch count"
	dropSeenIncarnations     mutation = "a recovered replica forgets the seen incarnations"
	sumBeforeWrite           mutation = "the sum is read together with the write"
	retireBeforeTransfer     mutation = "a node leaves before its records were transferred"
	recoverFromOne           mutation = "recovery ends after one source"
	copyFromEmptyPredecessor mutation = "a seat is copied from a predecessor that has lost its records"
	countHolderInTransfer    mutation = "the holder of a seat counts before the transfer is complete"
	removeUnrecovered        mutation = "a node that has lost its records leaves a shrinking group"
	oneRoundIgnoresDuration  mutation = "a sum counts in one round regardless of its duration"
	oneRoundIgnoresPending   mutation = "a sum counts in one round although other reservations are pending"
	earlySettlement          mutation = "a turn is settled immediately after its grant"
	recoveredInAnyPartition  mutation = "a node that is recovered in one partition counts in all partitions"
	// The following two prevent a group from recovering, which runLivenessSimulation detects.
	cacheSourceStanding mutation = "the standing of a copied source is not updated"
	noAnnouncements     mutation = "members do not announce their incarnations"
	ignoreRegion        mutation = "a standby of another region takes a seat"
	dropGroupRegion     mutation = "a group loses its region when a proposer does not know regions"
	// The following two were bugs of an earlier version. The first loses no records, but a growing
	// group does not tolerate a disk loss.
	countJoining       mutation = "a new seat counts before it has received any records"
	keepPreviousHolder mutation = "a new holder keeps the seen incarnation of the previous holder"
	// The following concern isolated members, which are removed without a successor.
	forgetRemovedMember mutation = "a removal counts as complete immediately"
	skipExchange        mutation = "a removal is complete before the exchange"
	countStaleJoiner    mutation = "a joined member counts with an outdated copy"
)

// mutationSeeds are the first seeds of the search for rare schedules. A longer search found them.
var mutationSeeds = map[mutation]uint64{
	dropSeenIncarnations: 5000, sumBeforeWrite: 44500, copyFromEmptyPredecessor: 2500, countHolderInTransfer: 7500, removeUnrecovered: 29000,
	closeUnknownAsUnused: 600, countLostVotes: 5400, skipStoreQuery: 2100,
}

// requireDetected runs up to the given number of schedules with each mutation, starting at its seed
// in mutationSeeds, until one of them detects it.
func requireDetected(t *testing.T, seeds uint64, run func(t require.TestingT, seed uint64, m mutation) string, mutations ...mutation) {
	for _, m := range mutations {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			firstSeed := mutationSeeds[m]
			for seed := range seeds {
				if run(t, firstSeed+seed, m) != "" {
					t.Log("seed", firstSeed+seed)
					return
				}
			}
			t.Fatal("mutation not detected")
		})
	}
}
