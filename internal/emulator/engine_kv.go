package emulator

import (
	"context"
	"encoding/hex"
	"sort"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/engineapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Cache moves between engines as a list of blocks, each after its parent. The
// stand-in sends their digests and takes the time that the bytes would need.

func (h *engineHandler) ExportKV(_ context.Context, params engineapi.ExportKVParams) (*engineapi.KV, error) {
	e := h.engine
	e.mutex.Lock()
	defer e.mutex.Unlock()
	kv := &engineapi.KV{Incarnation: uint64(e.incarnation), Blocks: []engineapi.KVBlock{}}
	kept, held := e.batch.cache.holds[structs.ProgramID(params.Holder)]
	if !held {
		return kv, nil
	}
	for _, b := range parentsFirst(kept) {
		exported := engineapi.KVBlock{Digest: b.digest.String(), Model: string(b.model), Tokens: b.tokens}
		if b.parent != nil {
			exported.Parent = b.parent.digest.String()
		}
		kv.Blocks = append(kv.Blocks, exported)
	}
	return kv, nil
}

// parentsFirst orders a hold's blocks by their depth.
func parentsFirst(kept *hold) []*block {
	blocks := make([]*block, 0, len(kept.blocks))
	for _, b := range kept.blocks {
		blocks = append(blocks, b)
	}
	depth := func(b *block) int {
		count := 0
		for parent := b.parent; parent != nil; parent = parent.parent {
			count++
		}
		return count
	}
	sort.Slice(blocks, func(i, j int) bool {
		if a, b := depth(blocks[i]), depth(blocks[j]); a != b {
			return a < b
		}
		return blocks[i].digest.String() < blocks[j].digest.String()
	})
	return blocks
}

func (h *engineHandler) ImportKV(ctx context.Context, request *engineapi.Import) (*engineapi.Imported, error) {
	e := h.engine
	api, err := engineapi.NewClient(request.Source, engineapi.WithClient(e.config.HTTP))
	if err != nil {
		return nil, problemSource
	}
	kv, err := api.ExportKV(ctx, engineapi.ExportKVParams{Holder: request.Holder})
	if err != nil {
		return nil, problemSource
	}
	var tokens int64
	for _, b := range kv.Blocks {
		tokens += b.Tokens
	}
	if sleep(ctx, e.transferTime(tokens)) != nil {
		return nil, problemSource
	}
	taken, refused := e.importBlocks(request, kv.Blocks)
	if refused != nil {
		return nil, refused
	}
	return &engineapi.Imported{Tokens: taken}, nil
}

func (e *Engine) transferTime(tokens int64) time.Duration {
	timing := e.config.Timing
	return time.Duration(float64(tokens) / timing.KVTokensPerSecond * timing.Scale * float64(time.Second))
}

// importBlocks keeps the blocks as the holder's; those here already are only
// marked. It returns the tokens that were new.
func (e *Engine) importBlocks(request *engineapi.Import, blocks []engineapi.KVBlock) (int64, *engineProblem) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if request.Incarnation != 0 && structs.Incarnation(request.Incarnation) != e.incarnation {
		return 0, problemIncarnation
	}
	now := time.Now()
	cache := e.batch.cache
	holder := structs.ProgramID(request.Holder)
	retainUntil := now.Add(time.Duration(request.RetainMilliseconds) * time.Millisecond)
	kept := cache.hold(holder)
	var taken int64
	for _, b := range blocks {
		digest, ok := parseDigest(b.Digest)
		if !ok {
			return taken, problemSource
		}
		parent, ok := importedParent(cache, b.Parent)
		if !ok {
			continue
		}
		if _, here := cache.blocks[digest]; !here {
			if !cache.makeRoom(b.Tokens, now) {
				return taken, problemCacheFull
			}
			// Making room may have evicted the parent.
			if parent, ok = importedParent(cache, b.Parent); !ok {
				continue
			}
			taken += b.Tokens
		}
		cache.insert(parent, link{digest: digest, tokens: b.Tokens}, structs.ModelName(b.Model), holder, now, retainUntil)
	}
	e.imported += taken
	cache.changed(holder, true, kept.tokens)
	return taken, nil
}

// importedParent returns the block that a digest names; none is named at the
// start of a chain. It reports false when the block is not here.
func importedParent(cache *prefixCache, text string) (*block, bool) {
	if text == "" {
		return nil, true
	}
	digest, ok := parseDigest(text)
	if !ok {
		return nil, false
	}
	parent, here := cache.blocks[digest]
	return parent, here
}

func parseDigest(text string) (chainDigest, bool) {
	var digest chainDigest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return digest, false
	}
	return chainDigest(decoded), true
}
