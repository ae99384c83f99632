package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// fenceHolder is the value of a fence object. The object's version, a revision
// of the whole platform, is the token: no two holders ever have the same, and a
// later holder's is higher, also where groups of a zone were divided anew.
type fenceHolder struct {
	Daemon structs.NodeID `json:"daemon"`
	// Nonce tells this taking of the fence from others, so that it can be found
	// when the answer to it was lost.
	Nonce uint64 `json:"nonce"`
}

// fenceKey returns the platform's key of a group's fence.
func fenceKey(g group) string {
	if g.count == 1 {
		return "fence/" + string(g.zone)
	}
	return fmt.Sprintf("fence/%s/%d-of-%d", g.zone, g.index, g.count)
}

// takeFence takes a group's fence by compare-and-swap and returns the token.
// Errors: *failure.VersionConflict (another one took it at the same time),
// *failure.PlatformUnavailable.
func takeFence(ctx context.Context, objects Objects, g group, self structs.NodeID) (uint64, error) {
	key := fenceKey(g)
	held, err := objects.Get(ctx, key)
	if err != nil && !failure.IsType(err, "object_not_found") {
		return 0, err
	}
	mine := fenceHolder{Daemon: self, Nonce: rand.Uint64()}
	// A struct of a string and a number always has a JSON form.
	value, _ := json.Marshal(mine)
	version, err := objects.Put(ctx, key, held.Version, value)
	if failure.IsType(err, "platform_unavailable") {
		return readBackFence(ctx, objects, key, mine, err)
	}
	return version, err
}

// readBackFence settles a Put whose answer is missing: the fence is ours when
// the object has our nonce.
func readBackFence(ctx context.Context, objects Objects, key string, mine fenceHolder, cause error) (uint64, error) {
	found, err := objects.Get(ctx, key)
	if err != nil {
		return 0, cause
	}
	if holderOf(found) != mine {
		return 0, cause
	}
	return found.Version, nil
}

func holderOf(object platform.Object) fenceHolder {
	var holder fenceHolder
	if json.Unmarshal(object.Value, &holder) != nil {
		return fenceHolder{}
	}
	return holder
}

// fenceState is what the platform says of a token.
type fenceState int

const (
	fenceHeld fenceState = iota
	fenceLost
	// fenceUnknown: the platform gave no answer.
	fenceUnknown
)

// checkFence reports whether a token is still the last one taken.
func checkFence(ctx context.Context, objects Objects, g group, token uint64) fenceState {
	found, err := objects.Get(ctx, fenceKey(g))
	switch {
	case failure.IsType(err, "object_not_found"):
		return fenceLost
	case err != nil:
		return fenceUnknown
	case found.Version != token:
		return fenceLost
	default:
		return fenceHeld
	}
}
