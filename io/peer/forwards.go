package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/io/tcp"
)

const (
	// forwardDialTimeout bounds the time to connect to an entry that is to serve a request.
	forwardDialTimeout = 300 * time.Millisecond
	// acceptTimeout bounds the wait for such an entry to accept or decline the request, which it does at once.
	acceptTimeout = 400 * time.Millisecond
	// forwardAckTimeout is how long data sent to another entry may stay unacknowledged while it serves a request.
	forwardAckTimeout = 2 * time.Second
	// reachTimeout bounds the question whether another entry reaches an endpoint, with its connection.
	reachTimeout = 450 * time.Millisecond
	// payloadPartBytes is the size of the parts in which a payload is sent.
	payloadPartBytes = 256 << 10
	// maxAnswerBytes bounds one message of an answer, the largest of which is a whole body.
	maxAnswerBytes = 8 << 20
)

// errNoPayloadMemory means that other requests that are being passed on take up the memory for their copies.
var errNoPayloadMemory = errors.New("no memory left to pass the request on")

// PayloadCodec encodes the opaque parts of requests and answers.
type PayloadCodec interface {
	// EncodeRequest encodes the payload of a request.
	EncodeRequest(payload any) ([]byte, error)
	// DecodeRequest decodes the payload of a request.
	DecodeRequest(data []byte) (any, error)
	// EncodeAnswer encodes a response header or the failure response of an endpoint.
	EncodeAnswer(answer any) ([]byte, error)
	// DecodeAnswer decodes what EncodeAnswer encoded.
	DecodeAnswer(data []byte) (any, error)
}

// ForwardTransport passes requests on to other entries. It implements dispatch.ForwardClient.
type ForwardTransport struct {
	// Client calls the other entries.
	Client *Client
	// Codec encodes the payloads.
	Codec PayloadCodec
	// Memory bounds the memory of the encoded payloads together, until they are sent; nil means no bound.
	Memory *semaphore.Weighted
}

// Forward lets another entry serve a request and writes its answer to sink, as dispatch.ForwardClient describes. It uses a
// connection of its own, so that a broken one is noticed before the payload is sent.
func (t *ForwardTransport) Forward(ctx context.Context, to fleet.Entry, request dispatch.Request, sink dispatch.Sink) error {
	payload, release, err := t.encode(request)
	if err != nil {
		return notForwarded(err)
	}
	defer release()
	transport, err := t.connect(ctx, to)
	if err != nil {
		return notForwarded(err)
	}
	conn := drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxAnswerBytes},
	}})
	defer func() { _ = conn.Close() }()
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := NewDRPCForwardClient(conn).Run(streamCtx)
	if err != nil {
		return notForwarded(err)
	}
	if err := awaitAcceptance(stream, toForwardHead(request, len(payload), time.Now()), cancel); err != nil {
		return err
	}
	if err := sendPayload(stream, payload); err != nil {
		return mayHaveRun(err)
	}
	release()
	return t.receive(stream, transport, sink)
}

// encode encodes the payload of a request; the returned function releases its memory, and may be called more than once.
func (t *ForwardTransport) encode(request dispatch.Request) (payload []byte, release func(), err error) {
	payload, err = t.Codec.EncodeRequest(request.Payload)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode payload")
	}
	if t.Memory == nil {
		return payload, func() {}, nil
	}
	size := int64(len(payload))
	if !t.Memory.TryAcquire(size) {
		return nil, nil, errNoPayloadMemory
	}
	return payload, sync.OnceFunc(func() { t.Memory.Release(size) }), nil
}

// sendPayload sends an encoded payload in parts.
func sendPayload(stream DRPCForward_RunClient, payload []byte) error {
	for part := range slices.Chunk(payload, payloadPartBytes) {
		if err := stream.Send(&ForwardRequest{Payload: part}); err != nil {
			return err
		}
	}
	return nil
}

// connect connects to another entry.
func (t *ForwardTransport) connect(ctx context.Context, to fleet.Entry) (*tcp.MessageConn, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardDialTimeout)
	defer cancel()
	var conn net.Conn
	var err error
	if t.Client.Dial != nil {
		conn, err = t.Client.Dial(ctx, to.Address)
	} else {
		dialer := &tcp.Dialer{Timeout: forwardDialTimeout, AckTimeout: forwardAckTimeout}
		conn, err = dialer.DialContext(ctx, "tcp", to.Address.String())
	}
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", to.Address)
	}
	return newBoundedConn(conn, t.Client.Memory), nil
}

// awaitAcceptance sends the head of a request and waits until it is accepted; cancel aborts the stream if that takes too
// long. Without the payload, the other entry can't run the request.
func awaitAcceptance(stream DRPCForward_RunClient, head *ForwardHead, cancel context.CancelFunc) error {
	timer := time.AfterFunc(acceptTimeout, cancel)
	defer timer.Stop()
	if err := stream.Send(&ForwardRequest{Head: head}); err != nil {
		return notForwarded(err)
	}
	event, err := stream.Recv()
	switch {
	case err != nil:
		return notForwarded(err)
	case !event.Accepted:
		return &dispatch.AttemptError{Certainty: dispatch.CertainRefused, Code: event.Declined, Err: errors.New("entry declined: " + event.Declined)}
	case !timer.Stop():
		return notForwarded(errors.New("entry accepted too late"))
	}
	return nil
}

// receive writes the answer of another entry to sink until it ends.
func (t *ForwardTransport) receive(stream DRPCForward_RunClient, transport *tcp.MessageConn, sink dispatch.Sink) error {
	for {
		event, err := stream.Recv()
		if err != nil {
			return mayHaveRun(err)
		}
		transport.StartMessage()
		switch {
		case event.Failure != nil:
			return t.fromFailure(event.Failure)
		case event.Header != nil:
			header, err := t.Codec.DecodeAnswer(event.Header)
			if err != nil {
				return mayHaveRun(errors.Wrap(err, "decode response header"))
			}
			if withHeader, ok := sink.(dispatch.ResponseHeaderSink); ok {
				withHeader.SetResponseHeader(header)
			}
		case event.Piece != nil:
			if err := sink.WriteToken(fleet.Tokens(event.Piece.Position), string(event.Piece.Text)); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// fromFailure converts the final failure of a request at another entry.
func (t *ForwardTransport) fromFailure(m *ForwardFailure) error {
	failure := &dispatch.Failure{
		State:          dispatch.State(m.State),
		Reason:         m.Reason,
		RetryAfter:     microseconds(m.RetryAfterUs),
		EarlierUnknown: m.EarlierUnknown,
		Detail:         m.Detail,
	}
	if m.Answer == nil {
		return failure
	}
	answer, err := t.Codec.DecodeAnswer(m.Answer)
	if err != nil {
		return mayHaveRun(errors.Wrap(err, "decode failure response"))
	}
	failure.Payload = answer
	return failure
}

// Reaches asks another entry whether it can connect to an endpoint; known is false if it can't tell or doesn't answer.
func (t *ForwardTransport) Reaches(ctx context.Context, asked fleet.Entry, endpoint fleet.Endpoint) (reached, known bool) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	reply, err := NewDRPCForwardClient(t.Client.shortCallConn(ctx, asked.Address)).Reach(ctx, &ReachRequest{
		Endpoint: string(endpoint.ID), Incarnation: uint64(endpoint.Incarnation),
	})
	if err != nil || reply.Unknown {
		return false, false
	}
	return reply.Reached, true
}

// notForwarded returns the error for a request that another entry did not receive.
func notForwarded(err error) error {
	return &dispatch.AttemptError{Certainty: dispatch.CertainNotRun, Err: errors.Wrap(err, "forward")}
}

// mayHaveRun returns the error for a request whose answer from another entry broke off.
func mayHaveRun(err error) error {
	return &dispatch.AttemptError{Certainty: dispatch.Uncertain, Err: errors.Wrap(err, "forward")}
}

// toForwardHead converts a request to its message, with deadlines relative to now.
func toForwardHead(r dispatch.Request, payloadBytes int, now time.Time) *ForwardHead {
	head := &ForwardHead{
		Entry:              string(r.ForwardedBy),
		Request:            []byte(r.ID),
		Account:            string(r.Account),
		Weight:             r.Weight,
		Class:              string(r.Class),
		Pool:               string(r.Pool),
		Priority:           int64(r.Priority),
		Fingerprint:        string(r.Fingerprint),
		RetryPolicy:        int64(r.RetryPolicy),
		MaxAttempts:        int64(r.MaxAttempts),
		ResumeAfter:        int64(r.ResumeAfter),
		PromptTokens:       int64(r.PromptTokens),
		MaxTokens:          int64(r.MaxTokens),
		ObjectiveUs:        r.Objective.Microseconds(),
		PauseObjectiveUs:   r.PauseObjective.Microseconds(),
		WaitedAfterRefusal: r.WaitedAfterRefusal,
		FirstTokenWithinUs: r.FirstTokenDeadline.Sub(now).Microseconds(),
		FinishWithinUs:     r.Deadline.Sub(now).Microseconds(),
		PayloadBytes:       int64(payloadBytes),
	}
	for _, part := range r.SharedParts {
		head.SharedParts = append(head.SharedParts, []byte(part))
	}
	return head
}
