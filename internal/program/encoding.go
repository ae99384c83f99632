package program

import (
	"fmt"

	"github.com/klauspost/compress/zstd"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Encoded texts begin with one byte that identifies the encoding. The leader
// encodes a text once. The journal, the replicas' memory and the snapshots
// hold the encoded form.
const (
	encodingPlain byte = 0
	encodingZstd  byte = 1

	// minCompressedTextBytes is the size below which compression saves too
	// little.
	minCompressedTextBytes = 256
	// zstdWindowBytes is how far back the encoder looks for repetitions.
	zstdWindowBytes = 256 << 10
	// maxDecodedTextBytes is the maximum size of a decoded text.
	maxDecodedTextBytes = 64 << 20
)

// BadEncoding reports an encoded text that cannot be decoded.
type BadEncoding struct {
	Encoding byte
	Cause    error
}

func (e *BadEncoding) Error() string {
	return fmt.Sprintf("packed text of encoding %d: %v", e.Encoding, e.Cause)
}

// Type returns "bad_encoding".
func (e *BadEncoding) Type() failure.Type { return "bad_encoding" }

// Outcome returns failure.OutcomeUnknown because the text belongs to an
// accepted call.
func (e *BadEncoding) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry returns the zero value: a retry cannot succeed.
func (e *BadEncoding) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the decoder's error.
func (e *BadEncoding) Unwrap() error { return e.Cause }

// All machines of a process share the codecs. EncodeAll and DecodeAll are safe
// for concurrent use and keep no state between texts.
var (
	zstdEncoder = mustCodec(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindowBytes), zstd.WithLowerEncoderMem(true)))
	zstdDecoder = mustCodec(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedTextBytes), zstd.WithDecoderConcurrency(0)))
)

// mustCodec panics at startup if the codec rejects its options.
func mustCodec[T any](codec T, err error) T {
	if err != nil {
		panic(err)
	}
	return codec
}

// encodeText encodes a text for records. An empty text stays empty.
func encodeText(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	if len(text) >= minCompressedTextBytes {
		encoded := zstdEncoder.EncodeAll(text, []byte{encodingZstd})
		if len(encoded) <= len(text) {
			return encoded
		}
	}
	return append([]byte{encodingPlain}, text...)
}

// decodeText is the inverse of encodeText. The error is a *BadEncoding.
func decodeText(encoded []byte) ([]byte, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	switch encoded[0] {
	case encodingPlain:
		return append([]byte(nil), encoded[1:]...), nil
	case encodingZstd:
		text, err := zstdDecoder.DecodeAll(encoded[1:], nil)
		if err != nil {
			return nil, &BadEncoding{Encoding: encoded[0], Cause: err}
		}
		return text, nil
	default:
		return nil, &BadEncoding{Encoding: encoded[0]}
	}
}
