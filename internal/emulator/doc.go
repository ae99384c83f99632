// Package emulator holds stand-ins for everything outside the system: model
// engines, tool services, the platform's object API and machine list, and the
// weight store. Each serves real HTTP on a loopback port, has a Faults struct
// whose switches take effect at once, and keeps a ledger of what really
// happened, which checks read instead of the word of the system under test.
package emulator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// bytesPerToken is the length of a token of the stand-in engine.
	bytesPerToken = 4
	// digestDigits is the length of a prompt digest in hex digits.
	digestDigits = 16
	// answerAlphabet has 32 letters, so that five random bits pick one.
	answerAlphabet = "abcdefghijklmnopqrstuvwxyz     ."
)

// TokenCount returns the number of tokens of a text: four bytes make one.
func TokenCount(text []byte) int64 {
	return int64((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// PromptDigest returns a digest of the whole prompt, the joined segments. Where
// one segment ends and the next begins makes no difference.
func PromptDigest(segments [][]byte) string {
	hash := sha256.New()
	for _, segment := range segments {
		hash.Write(segment)
	}
	return hex.EncodeToString(hash.Sum(nil))[:digestDigits]
}

// ExpectedAnswer returns what the stand-in engine answers. It is a function of
// its arguments alone: the digest of the whole prompt, a space, and text drawn
// from it. The answer has between half of maxTokens and maxTokens tokens, and
// at least the digest where maxTokens has room for it.
func ExpectedAnswer(model structs.ModelName, adapter string, segments [][]byte, maxTokens int64) []byte {
	return answerFrom(model, adapter, PromptDigest(segments), maxTokens)
}

// answerFrom returns the answer to a prompt with the given digest.
func answerFrom(model structs.ModelName, adapter, digest string, maxTokens int64) []byte {
	if maxTokens <= 0 {
		return nil
	}
	seed := sha256.Sum256([]byte(string(model) + "\x00" + adapter + "\x00" + digest))
	random := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:16])))
	const digestTokens = (digestDigits + 1 + bytesPerToken - 1) / bytesPerToken
	tokens := maxTokens - random.Int64N(maxTokens/2+1)
	tokens = min(max(tokens, digestTokens), maxTokens)
	answer := make([]byte, 0, tokens*bytesPerToken)
	answer = append(answer, digest...)
	answer = append(answer, ' ')
	for int64(len(answer)) < tokens*bytesPerToken {
		answer = append(answer, answerAlphabet[random.IntN(len(answerAlphabet))])
	}
	return answer[:tokens*bytesPerToken]
}
