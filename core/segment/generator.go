// Package segment serves prompts that need nearly all of the memory of any one engine, or more, by splitting them.
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
	// segmentMemoryShare is the share of the smallest engine's memory that one segment may use.
	segmentMemoryShare = 0.4
	// wholePromptMemoryShare is the share of the largest engine's memory that an unsplit prompt may use; a larger one
	// would block all other requests until the engine is nearly empty.
	wholePromptMemoryShare = 0.85
	// partialAnswerTokens is the maximum length of an engine's answer to one segment.
	partialAnswerTokens fleet.Tokens = 256
	// maxParallelSegments is the largest number of segments of one prompt in flight.
	maxParallelSegments = 4
)

// Next serves a request without splitting its prompt; it is implemented by *dispatch.Dispatcher.
type Next interface {
	// Generate serves one request. The error is a *dispatch.Failure or that of the sink.
	Generate(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error
}

// Generator wraps another generator. It splits a prompt that needs nearly all of the memory of any engine of its pool,
// or more, into segments, sends these to several engines in parallel, and generates the answer from the joined partial
// answers in a final pass. An engine crash affects only the segments on that engine.
type Generator struct {
	// State holds the cluster state, from which the engines' memory is read.
	State *clusterstate.State
	// Next serves the segments, the final pass and all requests that are not split.
	Next Next
}

// Generate serves one request. If the joined partial answers are too long for one engine, they are split again, as long
// as they are shorter than the prompt. The error is a *dispatch.Failure or that of the sink.
func (g *Generator) Generate(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error {
	largest, smallest := g.memoryRange(request.Pool)
	if largest == 0 || fitsWhole(request, largest) || request.MaxTokens+partialAnswerTokens > largest {
		// If no engine has room for the answer, the request is passed on unsplit, so that the owner refuses it before
		// any segment is sent.
		return g.Next.Generate(ctx, request, sink)
	}
	var parts partTracker
	partialAnswers, err := g.answerSegments(ctx, request, fleet.Tokens(float64(smallest)*segmentMemoryShare), &parts)
	if err != nil {
		return parts.failure(err)
	}
	final := request
	final.ID = partID(request.ID, "answer")
	final.Prompt = strings.Join(partialAnswers, "\n")
	final.PromptTokens = dispatch.CountTokens(final.Prompt)
	final.FirstTokenDeadline = request.Deadline
	if final.PromptTokens >= request.PromptTokens {
		return parts.failure(g.Next.Generate(ctx, final, sink))
	}
	return parts.failure(g.Generate(ctx, final, sink))
}

// fitsWhole reports whether an engine with the given memory can serve a request without splitting its prompt.
func fitsWhole(request dispatch.Request, memory fleet.Tokens) bool {
	whole := fleet.Tokens(float64(memory) * wholePromptMemoryShare)
	return request.PromptTokens <= whole && request.PromptTokens+request.MaxTokens <= memory
}

// partTracker records whether any segment of a request may have run.
type partTracker struct {
	ran atomic.Bool
}

// recordResult records the result of one segment. Only a *dispatch.Failure with StateNotRun shows that it has not run.
func (p *partTracker) recordResult(err error) {
	var failure *dispatch.Failure
	if !errors.As(err, &failure) || failure.State != dispatch.StateNotRun {
		p.ran.Store(true)
	}
}

// failure returns the error of the whole request. A *dispatch.Failure gets StateFailed if any segment may have run.
func (p *partTracker) failure(err error) error {
	var failure *dispatch.Failure
	if !errors.As(err, &failure) || !p.ran.Load() {
		return err
	}
	whole := *failure
	whole.State = dispatch.StateFailed
	return &whole
}

// memoryRange returns the largest and the smallest memory of the live engines of a pool, in tokens, or 0 if there are
// none.
func (g *Generator) memoryRange(pool fleet.PoolName) (largest, smallest fleet.Tokens) {
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

// answerSegments splits the prompt into segments of at most size tokens, sends them to engines and returns the partial
// answers in order. The first error cancels the remaining segments.
func (g *Generator) answerSegments(
	ctx context.Context, request dispatch.Request, size fleet.Tokens, parts *partTracker,
) ([]string, error) {
	segments := splitPrompt(request.Prompt, size)
	partialAnswers := make([]string, len(segments))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelSegments)
	for i, s := range segments {
		group.Go(func() error {
			part := request
			part.ID = partID(request.ID, fmt.Sprintf("segment-%d", i+1))
			part.Prompt = s
			part.PromptTokens = dispatch.CountTokens(s)
			part.MaxTokens = partialAnswerTokens
			part.FirstTokenDeadline = request.Deadline
			var answer collector
			err := g.Next.Generate(ctx, part, &answer)
			parts.recordResult(err)
			if err != nil {
				return err
			}
			partialAnswers[i] = answer.text.String()
			return nil
		})
	}
	return partialAnswers, group.Wait()
}

// partID returns the ID of a part of a request; the common prefix groups the parts in the timeline.
func partID(id fleet.RequestID, part string) fleet.RequestID {
	return fleet.RequestID(fmt.Sprintf("%s/%s", id, part))
}

// splitPrompt splits a prompt into the smallest number of segments of at most size tokens and nearly equal length. It
// cuts at byte positions, without regard to characters or words. The size must be positive.
func splitPrompt(prompt string, size fleet.Tokens) []string {
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

// collector is the dispatch.Sink that collects the partial answer to one segment.
type collector struct {
	text strings.Builder
}

// WriteToken appends one piece of the answer.
func (c *collector) WriteToken(_ fleet.Tokens, text string) error {
	c.text.WriteString(text)
	return nil
}
