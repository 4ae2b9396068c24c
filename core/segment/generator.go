// Package segment serves prompts that take nearly all memory of any one engine, or more.
package segment

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

const (
	// memoryShare is the part of the smallest engine's memory that one segment may take.
	memoryShare = 0.4
	// wholeShare is the part of the largest engine's memory that a prompt may take in one piece; a larger one would
	// hold up all others until the engine is nearly empty.
	wholeShare = 0.85
	// readingTokens is the length of the reading that an engine makes of one segment.
	readingTokens fleet.Tokens = 256
	// segmentsAtOnce bounds the segments of one prompt that are read at the same time.
	segmentsAtOnce = 4
)

// Next serves a request that fits an engine; *dispatch.Dispatcher is one.
type Next interface {
	// Generate serves one request; an error is a *dispatch.Failure or that of the sink.
	Generate(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error
}

// Generator wraps another generator. A prompt that takes nearly all memory of any engine of its pool, or more, is cut
// into segments, which are read side by side on several engines, and a last pass answers from their readings. A crash
// costs the segment that it hit. It reads the endpoints of the blackboard.
type Generator struct {
	// State holds the endpoints.
	State *clusterstate.State
	// Next serves the segments, the last pass and all requests that fit.
	Next Next
}

// Generate serves one request; an error is a *dispatch.Failure or that of the sink.
func (g *Generator) Generate(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error {
	largest, smallest := g.memory(request.Pool)
	if largest == 0 || fits(request, largest) || request.MaxTokens+readingTokens > largest {
		// An answer that no engine has room for is refused by the owner, before any segment is read.
		return g.Next.Generate(ctx, request, sink)
	}
	var parts parts
	readings, err := g.read(ctx, request, fleet.Tokens(float64(smallest)*memoryShare), &parts)
	if err != nil {
		return parts.failure(err)
	}
	last := request
	last.ID = partID(request.ID, "answer")
	last.Prompt = strings.Join(readings, "\n")
	last.PromptTokens = dispatch.CountTokens(last.Prompt)
	last.FirstTokenDeadline = request.Deadline
	if last.PromptTokens >= request.PromptTokens {
		return parts.failure(g.Next.Generate(ctx, last, sink))
	}
	return parts.failure(g.Generate(ctx, last, sink))
}

// fits tells whether an engine reads the prompt of a request in one piece.
func fits(request dispatch.Request, memory fleet.Tokens) bool {
	whole := fleet.Tokens(float64(memory) * wholeShare)
	return request.PromptTokens <= whole && request.PromptTokens+request.MaxTokens <= memory
}

// parts knows whether any part of a request has run.
type parts struct {
	ran atomic.Bool
}

// ended notes how one part ended.
func (p *parts) ended(err error) {
	var failure *dispatch.Failure
	if !errors.As(err, &failure) || failure.State != dispatch.StateNotRun {
		p.ran.Store(true)
	}
}

// failure returns the failure of the whole request, which has run if any part has.
func (p *parts) failure(err error) error {
	var failure *dispatch.Failure
	if !errors.As(err, &failure) || !p.ran.Load() {
		return err
	}
	whole := *failure
	whole.State = dispatch.StateFailed
	return &whole
}

// memory returns the largest and the smallest memory of the engines of a pool, or 0 if there is none.
func (g *Generator) memory(pool fleet.PoolName) (largest, smallest fleet.Tokens) {
	for _, endpoint := range g.State.Endpoints.Snapshot().Rows {
		if endpoint.Pool != pool || endpoint.Kind != fleet.KindEngine || endpoint.State != fleet.StateLive {
			continue
		}
		largest = max(largest, endpoint.Memory)
		if smallest == 0 || endpoint.Memory < smallest {
			smallest = endpoint.Memory
		}
	}
	return largest, smallest
}

// read returns the readings of all segments in their order.
func (g *Generator) read(ctx context.Context, request dispatch.Request, size fleet.Tokens, parts *parts) ([]string, error) {
	segments := cut(request.Prompt, size)
	readings := make([]string, len(segments))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(segmentsAtOnce)
	for i, s := range segments {
		group.Go(func() error {
			part := request
			part.ID = partID(request.ID, fmt.Sprintf("segment-%d", i+1))
			part.Prompt = s
			part.PromptTokens = dispatch.CountTokens(s)
			part.MaxTokens = readingTokens
			part.FirstTokenDeadline = request.Deadline
			var reading collector
			err := g.Next.Generate(ctx, part, &reading)
			parts.ended(err)
			if err != nil {
				return err
			}
			readings[i] = reading.text.String()
			return nil
		})
	}
	return readings, group.Wait()
}

// partID names a part of a request, so that the time line shows them together.
func partID(id fleet.RequestID, part string) fleet.RequestID {
	return fleet.RequestID(fmt.Sprintf("%s/%s", id, part))
}

// cut divides a prompt into the fewest segments of at most size tokens and nearly equal length.
func cut(prompt string, size fleet.Tokens) []string {
	tokens := dispatch.CountTokens(prompt)
	count := (tokens + size - 1) / size
	length := int((tokens+count-1)/count) * dispatch.BytesPerToken
	var segments []string
	for len(prompt) > length {
		segments = append(segments, prompt[:length])
		prompt = prompt[length:]
	}
	return append(segments, prompt)
}

// collector collects the reading of one segment.
type collector struct {
	text strings.Builder
}

// WriteToken adds one piece of the reading.
func (c *collector) WriteToken(_ fleet.Tokens, text string) error {
	c.text.WriteString(text)
	return nil
}
