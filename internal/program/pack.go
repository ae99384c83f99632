package program

import (
	"fmt"

	"github.com/klauspost/compress/zstd"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Packed texts begin with one byte that names their encoding. The leader packs
// a text once; the journal, the replicas' memory and snapshots carry it packed.
const (
	encodingPlain byte = 0
	encodingZstd  byte = 1

	// packThreshold is the size in bytes below which packing saves too little.
	packThreshold = 256
	// packWindow is how far back, in bytes, the encoder looks for repeats.
	packWindow = 256 << 10
	// maxUnpackedBytes bounds what one packed text may expand to.
	maxUnpackedBytes = 64 << 20
)

// BadEncoding reports a packed text that cannot be unpacked.
type BadEncoding struct {
	Encoding byte
	Cause    error
}

func (e *BadEncoding) Error() string {
	return fmt.Sprintf("packed text of encoding %d: %v", e.Encoding, e.Cause)
}

// Type returns "bad_encoding".
func (e *BadEncoding) Type() failure.Type { return "bad_encoding" }

// Outcome returns OutcomeUnknown: the text belongs to a call that was accepted.
func (e *BadEncoding) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry returns that a repeat cannot succeed.
func (e *BadEncoding) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the decoder's own error.
func (e *BadEncoding) Unwrap() error { return e.Cause }

// The codecs are shared by all machines of a process; EncodeAll and DecodeAll
// are safe for concurrent use and keep no state between texts.
var (
	packer = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindow), zstd.WithLowerEncoderMem(true)))
	unpacker = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxUnpackedBytes), zstd.WithDecoderConcurrency(0)))
)

// must panics on options that the codec does not take, at start.
func must[T any](codec T, err error) T {
	if err != nil {
		panic(err)
	}
	return codec
}

// pack encodes a text for records; an empty text stays empty.
func pack(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	if len(text) >= packThreshold {
		packed := packer.EncodeAll(text, []byte{encodingZstd})
		if len(packed) <= len(text) {
			return packed
		}
	}
	return append([]byte{encodingPlain}, text...)
}

// unpack is the inverse of pack. The error is a *BadEncoding.
func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	switch packed[0] {
	case encodingPlain:
		return append([]byte(nil), packed[1:]...), nil
	case encodingZstd:
		text, err := unpacker.DecodeAll(packed[1:], nil)
		if err != nil {
			return nil, &BadEncoding{Encoding: packed[0], Cause: err}
		}
		return text, nil
	default:
		return nil, &BadEncoding{Encoding: packed[0]}
	}
}
