package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/sharedload"
	"wisteriadyke/standin/heap"
)

// startFlood starts a server that sends bytes without end on each connection until the client closes it.
func startFlood(t *testing.T, bytes []byte) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return err
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				for {
					if _, err := conn.Write(bytes); err != nil {
						return nil
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// plainCodec passes payloads on as they are.
type plainCodec struct{}

func (plainCodec) EncodeRequest(any) ([]byte, error)   { return []byte("request"), nil }
func (plainCodec) DecodeRequest(d []byte) (any, error) { return d, nil }
func (plainCodec) EncodeAnswer(any) ([]byte, error)    { return nil, nil }
func (plainCodec) DecodeAnswer(d []byte) (any, error)  { return d, nil }

// discardSink drops the answer.
type discardSink struct{}

func (discardSink) WriteToken(fleet.Tokens, string) error { return nil }

// TestManyPeersThatSendWithoutEnd guards against a faulty entry that sends bytes without end to many calls at once until this
// one is out of memory. Each call must fail by its deadline, and the memory must stay within that of the smallest instance.
func TestManyPeersThatSendWithoutEnd(t *testing.T) {
	const calls, timeout, closeTimeout = 100, 2 * time.Second, time.Second
	part := drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: make([]byte, 32<<10),
	})
	frame := append([]byte{byte(drpcwire.KindMessage) << 1, 1, 1}, drpcwire.AppendVarint(nil, 1<<40)...)
	event, err := proto.Marshal(&ForwardEvent{Accepted: true})
	if err != nil {
		t.Fatal(err)
	}
	accepted := drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Done: true, Data: event,
	})
	for name, bytes := range map[string][]byte{
		"no frames": []byte(strings.Repeat("x", 32<<10)), "a message without end": part,
		"a frame without end": append(frame, make([]byte, 32<<10)...), "accepted, then no frames": append(accepted, strings.Repeat("x", 32<<10)...),
	} {
		t.Run(name, func(t *testing.T) {
			to := startFlood(t, bytes)
			client := NewClient()
			client.Memory = semaphore.NewWeighted(heap.SmallestInstance / 10)
			defer func() { _ = client.Close() }()
			usages := &UsageTransport{Client: client, SuspectRecords: &retry.Suspects{}}
			forwards := &ForwardTransport{Client: client, Codec: plainCodec{}}
			kinds := []func(ctx context.Context) error{
				func(ctx context.Context) error {
					_, err := usages.ReportUsage(ctx, to, sharedload.UsageReport{})
					return err
				},
				func(ctx context.Context) error {
					request := sharedload.ChooseRequest{}
					request.Need.MayWait = true
					_, err := usages.Choose(ctx, to, request)
					return err
				},
				func(ctx context.Context) error {
					return forwards.Forward(ctx, fleet.Entry{Address: to}, dispatch.Request{Deadline: time.Now().Add(timeout)}, discardSink{})
				},
			}
			start := time.Now()
			peak := heap.PeakDuring(func() {
				var group errgroup.Group
				for i := range calls {
					kind := i % len(kinds)
					if name == "accepted, then no frames" {
						kind = len(kinds) - 1
					}
					group.Go(func() error {
						ctx, cancel := context.WithTimeout(t.Context(), timeout)
						defer cancel()
						if err := kinds[kind](ctx); err == nil {
							t.Errorf("call of kind %d succeeded", kind)
						}
						return nil
					})
				}
				_ = group.Wait()
			})
			if peak > heap.SmallestInstance {
				t.Errorf("memory grew to %d MiB, want at most %d", peak>>20, heap.SmallestInstance>>20)
			}
			_ = client.Close()
			if took := time.Since(start); took > timeout+timeout/2 {
				t.Errorf("the calls took %v, want at most %v", took, timeout)
			}
			// DRPC closes the connection of a call that has timed out after the call has returned.
			ctx, cancel := context.WithTimeout(t.Context(), closeTimeout)
			defer cancel()
			if err := client.Memory.Acquire(ctx, heap.SmallestInstance/10); err != nil {
				t.Error("memory for messages was not released")
			}
		})
	}
}
