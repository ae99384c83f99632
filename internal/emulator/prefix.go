package emulator

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// chainDigest identifies a prefix: a model, an adapter and the segments up to
// and including one.
type chainDigest [16]byte

func (d chainDigest) String() string { return hex.EncodeToString(d[:]) }

// link is one segment of a prompt with the prefix that it ends.
type link struct {
	digest chainDigest
	tokens int64
}

// rootDigest starts the chain of a model and adapter at one version.
func rootDigest(model structs.ModelName, version, adapter string) chainDigest {
	return truncated(sha256.Sum256([]byte(string(model) + "\x00" + version + "\x00" + adapter)))
}

// extend returns the digest of the prefix one segment longer.
func (d chainDigest) extend(segment []byte) chainDigest {
	hash := sha256.New()
	hash.Write(d[:])
	hash.Write(segment)
	return chainDigest(hash.Sum(nil)[:len(d)])
}

func truncated(sum [sha256.Size]byte) chainDigest {
	return chainDigest(sum[:len(chainDigest{})])
}

// chain returns the links of a prompt.
func chain(root chainDigest, segments [][]byte) []link {
	links := make([]link, 0, len(segments))
	digest := root
	for _, segment := range segments {
		digest = digest.extend(segment)
		links = append(links, link{digest: digest, tokens: TokenCount(segment)})
	}
	return links
}

// PrefixHistory remembers which prefixes were computed for which program, on
// any of the engines that share it. Prefilling one of them again is waste.
type PrefixHistory struct {
	mutex    sync.Mutex
	computed map[computedPrefix]struct{}
}

type computedPrefix struct {
	holder structs.ProgramID
	digest chainDigest
}

// NewPrefixHistory returns an empty history.
func NewPrefixHistory() *PrefixHistory {
	return &PrefixHistory{computed: map[computedPrefix]struct{}{}}
}

func (h *PrefixHistory) add(holder structs.ProgramID, digest chainDigest) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.computed[computedPrefix{holder, digest}] = struct{}{}
}

func (h *PrefixHistory) has(holder structs.ProgramID, digest chainDigest) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, found := h.computed[computedPrefix{holder, digest}]
	return found
}
