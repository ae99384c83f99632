package schedule

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// SharedPrefixBytes is the length of the beginning of a program's first input that
// identifies a shared prefix. Shorter inputs share too little to be worth placing
// together.
const SharedPrefixBytes = 16 << 10

// SharedPrefixKey returns a key for the beginning of a program's prompt. Programs with
// the same model, adapter and first SharedPrefixBytes of input have the same key. The
// key is zero for shorter inputs.
func SharedPrefixKey(model structs.ModelName, adapter string, firstInput []byte) uint64 {
	if len(firstInput) < SharedPrefixBytes {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model) + "\x00" + adapter + "\x00")
	_, _ = digest.Write(firstInput[:SharedPrefixBytes])
	return max(digest.Sum64(), 1)
}

// rendezvousWeight returns the weight of an engine for a key. The engines with the
// highest weights are preferred for the key; every daemon computes the same weights
// without communication.
func rendezvousWeight(key uint64, engine structs.EngineID) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], key)
	digest := xxhash.New()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(string(engine))
	return digest.Sum64()
}
