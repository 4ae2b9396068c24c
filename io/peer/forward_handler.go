package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

// ForwardReceiver serves requests that other entries pass on; *dispatch.ForwardReceiver implements it.
type ForwardReceiver interface {
	// Accept decides whether to serve a request to a pool with a payload of the given size in bytes. It returns the reason
	// if not, else a function that must be called when the request has ended.
	Accept(pool fleet.PoolName, payloadBytes int64) (release func(), declined string)
	// Serve serves an accepted request; errors are a *dispatch.Failure or those of the sink.
	Serve(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error
}

// EndpointReach connects to endpoints for other entries; *outlier.Witness implements it.
type EndpointReach interface {
	// Reaches reports whether an incarnation of an endpoint accepts connections; known is false if this entry can't tell.
	Reaches(ctx context.Context, id fleet.EndpointID, incarnation fleet.Incarnation) (reached, known bool)
}

// forwardHandler implements the Forward service.
type forwardHandler struct {
	receiver ForwardReceiver
	reach    EndpointReach
	codec    PayloadCodec
}

// Reach reports whether this entry can connect to an endpoint.
func (h *forwardHandler) Reach(ctx context.Context, m *ReachRequest) (*ReachReply, error) {
	reached, known := h.reach.Reaches(ctx, fleet.EndpointID(m.Endpoint), fleet.Incarnation(m.Incarnation))
	return &ReachReply{Reached: reached, Unknown: !known}, nil
}

// Run serves one request of another entry.
func (h *forwardHandler) Run(stream DRPCForward_RunStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if head == nil {
		return errors.New("forwarded request has no head")
	}
	release, declined := h.receiver.Accept(fleet.PoolName(head.Pool), head.PayloadBytes)
	if declined != "" {
		return stream.Send(&ForwardEvent{Declined: declined})
	}
	defer release()
	received := time.Now()
	if err := stream.Send(&ForwardEvent{Accepted: true}); err != nil {
		return err
	}
	request := fromForwardHead(head, received)
	expiry := time.AfterFunc(time.Until(request.Deadline), func() { _ = stream.Close() })
	payload, err := receivePayload(stream, head.PayloadBytes)
	expiry.Stop()
	if err != nil {
		return err
	}
	if request.Payload, err = h.codec.DecodeRequest(payload); err != nil {
		return errors.Wrap(err, "decode payload")
	}
	sink := &eventSink{stream: stream, codec: h.codec}
	err = h.receiver.Serve(stream.Context(), request, sink)
	if err == nil {
		if err := sink.sendHeader(); err != nil {
			return err
		}
		return stream.Send(&ForwardEvent{})
	}
	var failure *dispatch.Failure
	if !errors.As(err, &failure) {
		return err
	}
	event, err := h.toFailure(failure)
	if err != nil {
		return err
	}
	return stream.Send(event)
}

// receivePayload receives a payload of the given size in bytes, for which memory is set aside.
func receivePayload(stream DRPCForward_RunStream, size int64) ([]byte, error) {
	payload := make([]byte, 0, size)
	for int64(len(payload)) < size {
		m, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		if len(m.Payload) == 0 || int64(len(payload)+len(m.Payload)) > size {
			return nil, errors.New("forwarded payload has the wrong size")
		}
		payload = append(payload, m.Payload...)
	}
	return payload, nil
}

// toFailure converts the final failure of a request.
func (h *forwardHandler) toFailure(failure *dispatch.Failure) (*ForwardEvent, error) {
	m := &ForwardFailure{
		State:          string(failure.State),
		Reason:         failure.Reason,
		RetryAfterUs:   failure.RetryAfter.Microseconds(),
		EarlierUnknown: failure.EarlierUnknown,
		Detail:         failure.Detail,
	}
	if failure.Payload != nil {
		answer, err := h.codec.EncodeAnswer(failure.Payload)
		if err != nil {
			return nil, errors.Wrap(err, "encode failure response")
		}
		m.Answer = answer
	}
	return &ForwardEvent{Failure: m}, nil
}

// fromForwardHead converts the head of a request received at now, without its payload.
func fromForwardHead(m *ForwardHead, now time.Time) dispatch.Request {
	request := dispatch.Request{
		ID:                 fleet.RequestID(m.Request),
		ForwardedBy:        fleet.EntryID(m.Entry),
		Account:            fleet.AccountID(m.Account),
		Weight:             m.Weight,
		Class:              fleet.ClassName(m.Class),
		Pool:               fleet.PoolName(m.Pool),
		Priority:           int(m.Priority),
		Fingerprint:        retry.Fingerprint(m.Fingerprint),
		RetryPolicy:        dispatch.RetryPolicy(m.RetryPolicy),
		MaxAttempts:        int(m.MaxAttempts),
		ResumeAfter:        fleet.Tokens(m.ResumeAfter),
		PromptTokens:       fleet.Tokens(m.PromptTokens),
		MaxTokens:          fleet.Tokens(m.MaxTokens),
		Objective:          microseconds(m.ObjectiveUs),
		PauseObjective:     microseconds(m.PauseObjectiveUs),
		WaitedAfterRefusal: m.WaitedAfterRefusal,
		FirstTokenDeadline: now.Add(microseconds(m.FirstTokenWithinUs)),
		Deadline:           now.Add(microseconds(m.FinishWithinUs)),
	}
	for _, part := range m.SharedParts {
		request.SharedParts = append(request.SharedParts, fleet.PromptPart(part))
	}
	return request
}

// eventSink sends an answer to the entry that passed the request on. It implements dispatch.ResponseHeaderSink.
type eventSink struct {
	stream DRPCForward_RunStream
	codec  PayloadCodec
	// header is the response header that is sent before the first piece.
	header any
}

// SetResponseHeader stores the response header.
func (s *eventSink) SetResponseHeader(header any) {
	s.header = header
}

// WriteToken sends one piece of the answer, after the header if that has not been sent.
func (s *eventSink) WriteToken(position fleet.Tokens, text string) error {
	if err := s.sendHeader(); err != nil {
		return err
	}
	return s.stream.Send(&ForwardEvent{Piece: &ForwardPiece{Position: int64(position), Text: []byte(text)}})
}

// sendHeader sends the response header if there is one that was not sent.
func (s *eventSink) sendHeader() error {
	if s.header == nil {
		return nil
	}
	header, err := s.codec.EncodeAnswer(s.header)
	if err != nil {
		return errors.Wrap(err, "encode response header")
	}
	s.header = nil
	return s.stream.Send(&ForwardEvent{Header: header})
}
