package replication

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// Records and snapshots are framed by one byte that names their coding.
const (
	codingPlain byte = 0
	codingZstd  byte = 1
	// compressMinimum is the size below which compression does not pay.
	compressMinimum = 256
	// maxDecodedBytes bounds what one frame may expand to.
	maxDecodedBytes = 4 << 30
	// The encoders bound what compression costs in memory.
	encoderConcurrency = 2
	encoderWindowBytes = 256 << 10
)

// DecodeError reports a record or snapshot that cannot be decoded.
type DecodeError struct {
	// Reason says what is wrong.
	Reason string
}

func (e *DecodeError) Error() string { return fmt.Sprintf("bad frame: %s", e.Reason) }

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		// One turn is too short for matches: the letters alone must compress.
		zstd.WithAllLitEntropyCompression(true),
		zstd.WithEncoderConcurrency(encoderConcurrency), zstd.WithWindowSize(encoderWindowBytes), zstd.WithLowerEncoderMem(true)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(maxWorkers), zstd.WithDecoderLowmem(true)))
)

// must is for constructors whose options are constants of this file.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func encodeRecord(data []byte) []byte {
	if len(data) >= compressMinimum {
		frame := encoder.EncodeAll(data, append(make([]byte, 0, len(data)/2+1), codingZstd))
		if len(frame) <= len(data) {
			return frame
		}
	}
	return append(append(make([]byte, 0, len(data)+1), codingPlain), data...)
}

func decodeRecord(frame []byte) ([]byte, error) {
	if len(frame) == 0 {
		return nil, &DecodeError{Reason: "empty"}
	}
	switch frame[0] {
	case codingPlain:
		return frame[1:], nil
	case codingZstd:
		data, err := decoder.DecodeAll(frame[1:], nil)
		if err != nil {
			return nil, &DecodeError{Reason: err.Error()}
		}
		return data, nil
	}
	return nil, &DecodeError{Reason: "unknown coding"}
}
