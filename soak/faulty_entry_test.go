package soak

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"wisteriadyke/standin/faultproxy"
)

// faultyEntry stands in for an entry and violates one guarantee, to test the oracle.
type faultyEntry struct {
	deployment *deployment
	// editRequest, if not nil, changes the forwarded request. replaceAnswer, if not nil, may send its own answer instead
	// of the endpoint's, and then returns true.
	editRequest   func(r *http.Request)
	replaceAnswer func(w http.ResponseWriter, r *http.Request, answer reply) bool
	// sendTwice forwards each request a second time.
	sendTwice bool
	// target returns the endpoint for a request.
	target func(r *http.Request) *endpoint
}

// reply is an endpoint's answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP forwards one request to the endpoint and its answer to the caller, with the configured violation.
func (s *faultyEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	answer := s.forward(r, body)
	if s.sendTwice {
		answer = s.forward(r, body)
	}
	if s.replaceAnswer != nil && s.replaceAnswer(w, r, answer) {
		return
	}
	for name := range answer.header {
		w.Header().Set(name, answer.header.Get(name))
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

// forward sends a request to its endpoint and returns the answer. It panics with http.ErrAbortHandler, which breaks the
// caller's connection, if the endpoint sends no answer.
func (s *faultyEntry) forward(r *http.Request, body []byte) reply {
	e := s.target(r)
	target := "http://" + e.Public.String() + r.RequestURI
	request, err := http.NewRequestWithContext(r.Context(), r.Method, target, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header = r.Header.Clone()
	request.Header.Del("X-Credential")
	request.Header.Set("X-Tenant", permanentAccount)
	request.Header.Set("X-Expect-Instance", e.ID)
	if s.editRequest != nil {
		s.editRequest(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: text}
}

// runFaultyEntry sends requests through a faulty entry, which the function prepare has configured, until one of each
// kind was not canceled. It returns the violations found by the oracle.
func runFaultyEntry(t *testing.T, prepare func(s *faultyEntry)) []string {
	t.Helper()
	w := newDeployment(t, 0)
	defer w.close()
	s := &faultyEntry{deployment: w, target: func(*http.Request) *endpoint { return w.endpoints[0] }}
	prepare(s)
	server := httptest.NewServer(s)
	defer server.Close()
	proxy := &faultproxy.Proxy{Target: netip.MustParseAddrPort(server.Listener.Addr().String())}
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	w.entries = []*entry{{callers: proxy}}
	defer func() { w.entries = nil }()
	c := newCaller(w, 1)
	sent := make(map[kind]int)
	for sent[kindSafe] == 0 || sent[kindOnce] == 0 || sent[kindStream] == 0 {
		a := c.newAttempt(0)
		if sent[a.kind] > 0 {
			continue
		}
		c.send(a)
		// Some attempts are canceled early at random; send another one instead.
		if !a.cancelled {
			sent[a.kind]++
		}
	}
	c.client.CloseIdleConnections()
	return w.violations()
}

// TestOracleCatchesEachBrokenPromise checks that the oracle reports each guarantee that a faulty entry violates, and
// nothing for an entry without a fault.
func TestOracleCatchesEachBrokenPromise(t *testing.T) {
	tests := map[string]struct {
		prepare func(s *faultyEntry)
		// want is the prefix of a violation that must be found; "" means that none may be found.
		want string
	}{
		"honest": {prepare: func(*faultyEntry) {}},
		"twice":  {prepare: func(s *faultyEntry) { s.sendTwice = true }, want: "twice"},
		"refused after it ran": {want: "refused", prepare: func(s *faultyEntry) {
			s.replaceAnswer = func(w http.ResponseWriter, _ *http.Request, _ reply) bool {
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		}},
		"another answer": {want: "mixed", prepare: func(s *faultyEntry) {
			s.replaceAnswer = func(w http.ResponseWriter, _ *http.Request, answer reply) bool {
				w.Header().Set("X-Response-Seal", answer.header.Get("X-Response-Seal"))
				_, _ = io.WriteString(w, expectedAnswer("somebody"))
				return true
			}
		}},
		"no digest": {want: "mixed", prepare: func(s *faultyEntry) {
			s.replaceAnswer = func(w http.ResponseWriter, _ *http.Request, answer reply) bool {
				_, _ = w.Write(answer.body)
				return true
			}
		}},
		"an event is missing": {want: "order: events", prepare: func(s *faultyEntry) {
			s.replaceAnswer = func(w http.ResponseWriter, r *http.Request, answer reply) bool {
				w.Header().Set("X-Response-Seal", answer.header.Get("X-Response-Seal"))
				dropped := eventText(r.Header.Get("X-Attempt-Id"), 4)
				_, _ = io.WriteString(w, strings.ReplaceAll(string(answer.body), dropped, ""))
				return true
			}
		}},
		"a stream ends early": {want: "order: a stream", prepare: func(s *faultyEntry) {
			s.replaceAnswer = func(w http.ResponseWriter, r *http.Request, answer reply) bool {
				w.Header().Set("X-Response-Seal", answer.header.Get("X-Response-Seal"))
				_, _ = io.WriteString(w, strings.TrimSuffix(string(answer.body),
					eventText(r.Header.Get("X-Attempt-Id"), eventsPerStream)))
				return true
			}
		}},
		"forged account": {want: "unasked", prepare: func(s *faultyEntry) {
			s.editRequest = func(r *http.Request) { r.Header.Set("X-Tenant", "forged") }
		}},
		"key passed on": {want: "unasked", prepare: func(s *faultyEntry) {
			s.editRequest = func(r *http.Request) { r.Header.Set("X-Credential", permanentKey) }
		}},
		"path cleaned": {want: "unasked", prepare: func(s *faultyEntry) {
			s.editRequest = func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/r/a/b", "" }
		}},
		"made up": {want: "unasked: ", prepare: func(s *faultyEntry) {
			s.editRequest = func(r *http.Request) { r.Header.Set("X-Attempt-Id", "nobody's") }
		}},
		"cut": {want: "lost", prepare: func(s *faultyEntry) {
			s.replaceAnswer = func(http.ResponseWriter, *http.Request, reply) bool { panic(http.ErrAbortHandler) }
		}},
		"held": {want: "late", prepare: func(s *faultyEntry) {
			s.replaceAnswer = func(http.ResponseWriter, *http.Request, reply) bool {
				time.Sleep(deadline + deadlineSlack)
				return false
			}
		}},
		"removed key": {want: "keys", prepare: func(s *faultyEntry) {
			s.deployment.removedKeys[permanentKey] = time.Now().Add(-2 * revocationTime)
		}},
		"leaving endpoint": {want: "drain", prepare: func(s *faultyEntry) {
			s.deployment.drainingSince[s.deployment.endpoints[0].ID] = time.Now().Add(-2 * drainTime)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := runFaultyEntry(t, tc.prepare)
			if tc.want == "" {
				if len(found) > 0 {
					t.Errorf("found %v, want no violations", found)
				}
				return
			}
			for _, v := range found {
				if strings.HasPrefix(v, tc.want) {
					return
				}
			}
			t.Errorf("found %v, want a violation with the prefix %q", found, tc.want)
		})
	}
}
