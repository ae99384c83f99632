package engine

import (
	"context"
	"errors"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/engineapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// OrderKind says what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to load or unload a model or adapter, or to change role.
type Order struct {
	// Fence is the sender's token; an engine that has seen a higher one refuses.
	Fence uint64
	// Incarnation is the one that the order is for; 0 for whichever lives.
	Incarnation structs.Incarnation
	Kind        OrderKind
	// IfIdle makes the engine refuse an order that would end streams.
	IfIdle  bool
	Model   structs.ModelName
	Version string
	// Adapter is empty for the model itself.
	Adapter string
	Role    structs.EngineRole
	// WeightsBytes is the size of what is loaded, at the weight store.
	WeightsBytes int64
	// Priority orders loads at the weight store; lower goes first.
	Priority int
}

// KVBlock is a part of a program's cache.
type KVBlock struct {
	Digest string
	// Parent is the block that this one goes on after, or empty.
	Parent string
	Model  structs.ModelName
	Tokens int64
}

// KV is what an engine has of a program's cache, each block after its parent.
type KV struct {
	Incarnation structs.Incarnation
	Blocks      []KVBlock
}

// Tokens returns the tokens of all blocks together.
func (kv KV) Tokens() int64 {
	var tokens int64
	for _, block := range kv.Blocks {
		tokens += block.Tokens
	}
	return tokens
}

// ImportRequest asks an engine to take over a program's cache from another one.
type ImportRequest struct {
	// Incarnation of the engine that imports; 0 for whichever lives.
	Incarnation structs.Incarnation
	Holder      structs.ProgramID
	// Source is the address of the engine that has the cache.
	Source             string
	RetainMilliseconds int64
}

// Order sends an order. A load goes on after the engine took it: the status
// shows when it is done. Errors: *failure.FenceRejected, *failure.EngineGone and
// *failure.EngineUnavailable (not taken), *failure.OrderUnknown (no answer: it
// may have been taken, or still be; orders may be repeated).
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	api, err := c.api(address)
	if err != nil {
		return err
	}
	request := &engineapi.Order{Fence: o.Fence, Kind: engineapi.OrderKind(o.Kind)}
	request.Incarnation.SetTo(uint64(o.Incarnation))
	request.IfIdle.SetTo(o.IfIdle)
	request.Model.SetTo(string(o.Model))
	request.Version.SetTo(o.Version)
	request.Adapter.SetTo(o.Adapter)
	request.Role.SetTo(string(o.Role))
	request.WeightsBytes.SetTo(o.WeightsBytes)
	request.Priority.SetTo(o.Priority)
	traced, sent := traceSent(ctx)
	err = api.PostOrder(traced, request)
	var answer *engineapi.ProblemStatusCode
	if err != nil && !errors.As(err, &answer) && sent.Load() {
		return &failure.OrderUnknown{Engine: address}
	}
	err = translate(address, err)
	if rejected, ok := err.(*failure.FenceRejected); ok {
		rejected.Token = o.Fence
	}
	return err
}

// ExportKV returns what an engine has of a holder's cache. The error is a
// *failure.EngineUnavailable.
func (c *Client) ExportKV(ctx context.Context, address string, holder structs.ProgramID) (KV, error) {
	api, err := c.api(address)
	if err != nil {
		return KV{}, err
	}
	answer, err := api.ExportKV(ctx, engineapi.ExportKVParams{Holder: string(holder)})
	if err != nil {
		return KV{}, translate(address, err)
	}
	kv := KV{Incarnation: structs.Incarnation(answer.Incarnation)}
	for _, block := range answer.Blocks {
		kv.Blocks = append(kv.Blocks, KVBlock{
			Digest: block.Digest,
			Parent: block.Parent,
			Model:  structs.ModelName(block.Model),
			Tokens: block.Tokens,
		})
	}
	return kv, nil
}

// ImportKV makes the engine at address fetch a holder's cache from the source
// engine and keep it as the holder's; the caller has recorded the hold before
// and releases the source after. It returns the tokens taken over. Errors:
// *failure.EngineGone, *failure.EngineUnavailable (a part may have been taken).
func (c *Client) ImportKV(ctx context.Context, address string, r ImportRequest) (int64, error) {
	api, err := c.api(address)
	if err != nil {
		return 0, err
	}
	answer, err := api.ImportKV(ctx, &engineapi.Import{
		Incarnation:        uint64(r.Incarnation),
		Holder:             string(r.Holder),
		Source:             r.Source,
		RetainMilliseconds: r.RetainMilliseconds,
	})
	if err != nil {
		return 0, translate(address, err)
	}
	return answer.Tokens, nil
}
