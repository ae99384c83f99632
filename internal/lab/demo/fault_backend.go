package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// Spans and shares of the back ends' faults.
const (
	engineDownSpan  = time.Second
	engineStallSpan = 1500 * time.Millisecond
	toolFaultSpan   = 2500 * time.Millisecond
	toolFaultShare  = 0.3
	breakShare      = 0.02
)

func backendFaults() []fault {
	return []fault{
		{"engine-crash", backendLane, crashEngine},
		{"engine-stall", backendLane, stallEngine},
		{"engine-stream-cut", backendLane, cutStreams},
		{"engine-answer-lost", backendLane, loseEngineAnswers},
		{"tool-hang", backendLane, onTools(func(f *emulator.ToolFaults, share float64) { f.HangRatio.Set(share) })},
		{"tool-answer-lost", backendLane, onTools(func(f *emulator.ToolFaults, share float64) { f.LoseAnswer.Set(share) })},
		{"tool-refuse", backendLane, onTools(func(f *emulator.ToolFaults, share float64) { f.RefuseRatio.Set(share) })},
		{"tool-fail", backendLane, onTools(func(f *emulator.ToolFaults, share float64) { f.FailRatio.Set(share) })},
	}
}

func crashEngine(ctx context.Context, b *bench, _ *rand.Rand) error {
	engine := b.busiestEngine()
	engine.Crash()
	pause.For(ctx, engineDownSpan)
	return engine.Restart()
}

func stallEngine(ctx context.Context, b *bench, _ *rand.Rand) error {
	engine := b.busiestEngine()
	engine.Faults.Stall.Store(true)
	defer engine.Faults.Stall.Store(false)
	pause.For(ctx, engineStallSpan)
	return nil
}

func cutStreams(ctx context.Context, b *bench, _ *rand.Rand) error {
	for _, engine := range b.outside.Engines {
		engine.Faults.BreakStream.Set(breakShare)
		defer engine.Faults.BreakStream.Set(0)
	}
	pause.For(ctx, toolFaultSpan)
	return nil
}

func loseEngineAnswers(ctx context.Context, b *bench, _ *rand.Rand) error {
	for _, engine := range b.outside.Engines {
		engine.Faults.LoseAnswer.Set(toolFaultShare)
		defer engine.Faults.LoseAnswer.Set(0)
	}
	pause.For(ctx, toolFaultSpan)
	return nil
}

// onTools sets a share of faulty calls at every tool for a while.
func onTools(set func(*emulator.ToolFaults, float64)) func(context.Context, *bench, *rand.Rand) error {
	return func(ctx context.Context, b *bench, _ *rand.Rand) error {
		for _, tool := range b.outside.Tools {
			set(&tool.Faults, toolFaultShare)
			defer set(&tool.Faults, 0)
		}
		pause.For(ctx, toolFaultSpan)
		return nil
	}
}
