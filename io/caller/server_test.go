package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// generatorFunc implements Generator with a function.
type generatorFunc func(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error

func (f generatorFunc) Generate(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error {
	return f(ctx, request, sink)
}

// callerFunc implements dispatch.ServiceCaller with a function.
type callerFunc func(ctx context.Context, call dispatch.Call) (dispatch.CallResult, error)

func (f callerFunc) Call(ctx context.Context, call dispatch.Call) (dispatch.CallResult, error) {
	return f(ctx, call)
}

// greet writes two tokens, "hello " and the name of the account. The prompt "refuse" makes it refuse the request, the
// prompt "fail" makes it fail after the tokens.
func greet(_ context.Context, request dispatch.Request, sink dispatch.Sink) error {
	if request.Prompt == "refuse" {
		return &dispatch.Failure{State: dispatch.StateNotRun, Reason: "too_late", RetryAfter: 1500 * time.Millisecond}
	}
	for i, text := range []string{"hello ", string(request.Account)} {
		if err := sink.WriteToken(fleet.Tokens(i+1), text); err != nil {
			return err
		}
	}
	if request.Prompt == "fail" {
		return &dispatch.Failure{State: dispatch.StateFailed, Reason: dispatch.ReasonTimeout}
	}
	return nil
}

// newServer returns a server with one account and three classes.
func newServer(generate generatorFunc) *Server {
	state := &clusterstate.State{}
	sum := sha256.Sum256([]byte("key"))
	state.Configuration.Set(clusterstate.SingleKey{}, config.Configuration{
		Revision: 1,
		Accounts: map[fleet.AccountID]config.Account{
			"cierzo": {Name: "cierzo", Weight: 1, KeyDigest: hex.EncodeToString(sum[:])},
		},
		Classes: map[fleet.ClassName]config.Class{
			"summary": {Name: "summary", Kind: fleet.KindEngine, Pool: "p", StartTimeout: time.Second, FinishTimeout: time.Hour, MaxPrompt: 100, MaxOutput: 8},
			"filing":  {Name: "filing", Kind: fleet.KindService, Pool: "s", StartTimeout: time.Second, FinishTimeout: time.Minute, AtMostOnce: true},
			"look_up": {Name: "look_up", Kind: fleet.KindService, Pool: "s", StartTimeout: time.Second, FinishTimeout: time.Minute},
		},
	})
	return &Server{
		Entry:     "e",
		State:     state,
		Generator: generate,
		Caller: callerFunc(func(_ context.Context, call dispatch.Call) (dispatch.CallResult, error) {
			return dispatch.CallResult{Body: call.Body}, nil
		}),
	}
}

// post sends one request to the handler of a server.
func post(t *testing.T, s *Server, path, key, idempotency, body string) *httptest.ResponseRecorder {
	t.Helper()
	handler, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Header.Set(idempotencyHeader, idempotency)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

func TestHandlerRefuses(t *testing.T) {
	good := `{"class":"summary","prompt":"hi"}`
	tests := map[string]struct {
		path        string
		key         string
		idempotency string
		body        string
		status      int
		reason      string
	}{
		"no key":              {path: "/v1/requests", body: good, status: 401, reason: "unauthorized"},
		"wrong key":           {path: "/v1/requests", key: "other", body: good, status: 401, reason: "unauthorized"},
		"unknown class":       {path: "/v1/requests", key: "key", body: `{"class":"x","prompt":"hi"}`, status: 400, reason: "unknown_class"},
		"class of a service":  {path: "/v1/requests", key: "key", body: `{"class":"filing","prompt":"hi"}`, status: 400, reason: "unknown_class"},
		"class of a model":    {path: "/v1/calls/summary", key: "key", body: `{}`, status: 400, reason: "unknown_class"},
		"empty prompt":        {path: "/v1/requests", key: "key", body: `{"class":"summary","prompt":""}`, status: 413, reason: "prompt_length"},
		"long prompt":         {path: "/v1/requests", key: "key", body: `{"class":"summary","prompt":"` + strings.Repeat("x", 401) + `"}`, status: 413, reason: "prompt_length"},
		"unknown field":       {path: "/v1/requests", key: "key", body: `{"class":"summary","prompt":"hi","x":1}`, status: 400, reason: "bad_body"},
		"no JSON":             {path: "/v1/requests", key: "key", body: `hello`, status: 400, reason: "bad_body"},
		"two values":          {path: "/v1/requests", key: "key", body: good + good, status: 400, reason: "bad_body"},
		"body too large":      {path: "/v1/requests", key: "key", body: `{"prompt":"` + strings.Repeat("x", maxBodyBytes), status: 413, reason: "body_too_large"},
		"no idempotency key":  {path: "/v1/calls/filing", key: "key", body: `{}`, status: 400, reason: "idempotency_key"},
		"bad idempotency key": {path: "/v1/calls/filing", key: "key", idempotency: "k1", body: `{}`, status: 400, reason: "idempotency_key"},
		"refused in time":     {path: "/v1/requests", key: "key", body: `{"class":"summary","prompt":"refuse","stream":true}`, status: 503, reason: "too_late"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			answer := post(t, newServer(greet), tc.path, tc.key, tc.idempotency, tc.body)
			var body failureBody
			if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if answer.Code != tc.status || body.Error.Reason != tc.reason || body.Error.State != dispatch.StateNotRun {
				t.Errorf("got status %d, body %+v, want status %d, state not_run, reason %s", answer.Code, body.Error, tc.status, tc.reason)
			}
		})
	}
}

func TestHandlerWithoutConfiguration(t *testing.T) {
	s := newServer(greet)
	s.State = &clusterstate.State{}
	answer := post(t, s, "/v1/requests", "key", "", `{"class":"summary","prompt":"hi"}`)
	if answer.Code != http.StatusServiceUnavailable || !strings.Contains(answer.Body.String(), "no_configuration") {
		t.Errorf("got status %d, body %s, want status 503, reason no_configuration", answer.Code, answer.Body)
	}
}

func TestHandlerGivesATimeToComeBack(t *testing.T) {
	answer := post(t, newServer(greet), "/v1/requests", "key", "", `{"class":"summary","prompt":"refuse"}`)
	if got := answer.Header().Get("Retry-After"); got != "2" {
		t.Errorf("got Retry-After %q, want 2", got)
	}
	if !strings.Contains(answer.Body.String(), `"retry_after_ms":1500`) {
		t.Errorf("body %s has no retry_after_ms of 1500", answer.Body)
	}
}

func TestHandlerAnswers(t *testing.T) {
	tests := map[string]struct {
		path string
		body string
		want []string
	}{
		"whole":         {path: "/v1/requests", body: `{"class":"summary","prompt":"hi"}`, want: []string{`"text":"hello cierzo"`}},
		"stream":        {path: "/v1/requests", body: `{"class":"summary","prompt":"hi","stream":true}`, want: []string{`"type":"token"`, `"text":"cierzo"`, `"type":"done"`}},
		"failed stream": {path: "/v1/requests", body: `{"class":"summary","prompt":"fail","stream":true}`, want: []string{`"text":"cierzo"`, `"type":"error"`, `"state":"failed"`}},
		"call":          {path: "/v1/calls/look_up", body: `{"body":{"a":1}}`, want: []string{`"result":{"a":1}`}},
		"call once":     {path: "/v1/calls/filing", body: `{"body":2}`, want: []string{`"result":2`}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			answer := post(t, newServer(greet), tc.path, "key", "019f0000-0000-7000-8000-000000000001", tc.body)
			for _, want := range tc.want {
				if !strings.Contains(answer.Body.String(), want) {
					t.Errorf("answer %s does not contain %s", answer.Body, want)
				}
			}
		})
	}
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects to the listener.
func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.conns <- server
	return client, nil
}

// serve runs a server; the returned function shuts it down and waits until it has stopped.
func serve(t *testing.T, s *Server) (*pipeListener, func()) {
	t.Helper()
	listener := newPipeListener()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ctx, listener) })
	return listener, func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// writeSlowly writes ten tokens, one every 20 seconds.
func writeSlowly(ctx context.Context, _ dispatch.Request, sink dispatch.Sink) error {
	for i := range 10 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Second):
		}
		if err := sink.WriteToken(fleet.Tokens(i+1), "x"); err != nil {
			return err
		}
	}
	return nil
}

// rawBody is the body of a streamed request.
const rawBody = `{"class":"summary","prompt":"hi","stream":true}`

// rawHeader is the request header for rawBody.
var rawHeader = fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n", len(rawBody))

// stream sends a streamed request over the listener and returns the response.
func stream(t *testing.T, listener *pipeListener) *http.Response {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: listener.dial, DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://entry/v1/requests", strings.NewReader(rawBody))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key")
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestAnswerOutlastsTheBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, stop := serve(t, newServer(writeSlowly))
		response := stream(t, listener)
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(response.Body)
		if err != nil || strings.Count(string(answer), `"token"`) != 10 || !strings.Contains(string(answer), `"done"`) {
			t.Errorf("got answer %q, error %v, want a complete answer", answer, err)
		}
		stop()
	})
}

func TestShutdownFinishesWhatHasBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, stop := serve(t, newServer(writeSlowly))
		response := stream(t, listener)
		defer func() { _ = response.Body.Close() }()
		var answer []byte
		var group errgroup.Group
		group.Go(func() (err error) {
			answer, err = io.ReadAll(response.Body)
			return err
		})
		stop()
		if err := group.Wait(); err != nil || !strings.Contains(string(answer), `"done"`) {
			t.Errorf("got answer %q, error %v, want a complete answer", answer, err)
		}
	})
}

func TestSlowReaderIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		endless := func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) error {
			for i := 1; ; i++ {
				if err := sink.WriteToken(fleet.Tokens(i), strings.Repeat("x", 1<<16)); err != nil {
					ended <- err
					return err
				}
			}
		}
		listener, stop := serve(t, newServer(endless))
		conn, err := listener.dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, _ = io.WriteString(conn, rawHeader+rawBody)
		if err := <-ended; err == nil {
			t.Error("the answer ended without an error")
		}
		if elapsed := time.Since(start); elapsed > 2*writeTimeout {
			t.Errorf("answer to a caller that reads nothing ended after %s, want at most twice writeTimeout", elapsed)
		}
		_ = conn.Close()
		stop()
	})
}

func TestSlowSenderIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, stop := serve(t, newServer(greet))
		conn, err := listener.dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, _ = io.WriteString(conn, rawHeader+rawBody[:1])
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if elapsed := time.Since(start); elapsed > 2*bodyTimeout {
			t.Errorf("request of a caller that sends no body ended after %s, want at most twice bodyTimeout", elapsed)
		}
		if err == nil && response.StatusCode != http.StatusRequestTimeout {
			t.Errorf("got status %d, want 408", response.StatusCode)
		}
		_ = conn.Close()
		stop()
	})
}

func TestCallerGoneEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan error, 1)
		waiting := func(ctx context.Context, _ dispatch.Request, _ dispatch.Sink) error {
			<-ctx.Done()
			cancelled <- ctx.Err()
			return ctx.Err()
		}
		listener, stop := serve(t, newServer(waiting))
		conn, err := listener.dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, rawHeader+rawBody)
		synctest.Wait()
		_ = conn.Close()
		if err := <-cancelled; !errors.Is(err, context.Canceled) {
			t.Errorf("got request error %v, want a cancelled context", err)
		}
		stop()
	})
}
