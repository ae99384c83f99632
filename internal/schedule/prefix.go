package schedule

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// SharedPrefixBytes is how much of a program's first input names the start that
// it shares with others. Shorter inputs share too little to be worth a place.
const SharedPrefixBytes = 16 << 10

// SharedPrefixKey names the start of a program's prompt. Programs with the same
// model, adapter and first bytes have the same key. It is zero for inputs
// shorter than SharedPrefixBytes.
func SharedPrefixKey(model structs.ModelName, adapter string, firstInput []byte) uint64 {
	if len(firstInput) < SharedPrefixBytes {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model) + "\x00" + adapter + "\x00")
	_, _ = digest.Write(firstInput[:SharedPrefixBytes])
	return max(digest.Sum64(), 1)
}

// rendezvous is the weight of an engine for a key: the engines with the highest
// weights are the key's homes, on every daemon alike and without a message.
func rendezvous(key uint64, engine structs.EngineID) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], key)
	digest := xxhash.New()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(string(engine))
	return digest.Sum64()
}
