package replication

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// The first byte of an encoded record or snapshot names its encoding.
const (
	encodingRaw  byte = 0
	encodingZstd byte = 1
	// minCompressBytes is the size below which compression does not reduce the
	// size enough to justify its cost.
	minCompressBytes = 256
	// maxDecoderMemoryBytes bounds the decoded size of one frame.
	maxDecoderMemoryBytes = 4 << 30
	// These limits bound the memory that compression uses.
	encoderConcurrency = 2
	encoderWindowBytes = 256 << 10
)

// DecodeError reports a record or snapshot that cannot be decoded.
type DecodeError struct {
	// Reason says what is wrong.
	Reason string
}

func (e *DecodeError) Error() string { return fmt.Sprintf("cannot decode frame: %s", e.Reason) }

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		// A single turn contains too few repetitions for matches, so literals
		// must be entropy coded.
		zstd.WithAllLitEntropyCompression(true),
		zstd.WithEncoderConcurrency(encoderConcurrency), zstd.WithWindowSize(encoderWindowBytes), zstd.WithLowerEncoderMem(true)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecoderMemoryBytes), zstd.WithDecoderConcurrency(maxWorkers), zstd.WithDecoderLowmem(true)))
)

// must panics on an error. It is only for constructors whose options are
// constants.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func encodeFrame(data []byte) []byte {
	if len(data) >= minCompressBytes {
		frame := encoder.EncodeAll(data, append(make([]byte, 0, len(data)/2+1), encodingZstd))
		if len(frame) <= len(data) {
			return frame
		}
	}
	return append(append(make([]byte, 0, len(data)+1), encodingRaw), data...)
}

func decodeFrame(frame []byte) ([]byte, error) {
	if len(frame) == 0 {
		return nil, &DecodeError{Reason: "empty"}
	}
	switch frame[0] {
	case encodingRaw:
		return frame[1:], nil
	case encodingZstd:
		data, err := decoder.DecodeAll(frame[1:], nil)
		if err != nil {
			return nil, &DecodeError{Reason: err.Error()}
		}
		return data, nil
	}
	return nil, &DecodeError{Reason: "unknown encoding"}
}
