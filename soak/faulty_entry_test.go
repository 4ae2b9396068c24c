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

// saboteur stands in for an entry that keeps all promises but one.
type saboteur struct {
	world *world
	// before changes the request that is passed on, and after may answer in place of the endpoint's answer.
	before func(r *http.Request)
	after  func(w http.ResponseWriter, r *http.Request, answer reply) bool
	// twice passes each request on once more.
	twice bool
	// target returns the endpoint that gets a request.
	target func(r *http.Request) *endpoint
}

// reply is what an endpoint answered.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP passes one request on.
func (s *saboteur) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	answer := s.pass(r, body)
	if s.twice {
		answer = s.pass(r, body)
	}
	if s.after != nil && s.after(w, r, answer) {
		return
	}
	for name := range answer.header {
		w.Header().Set(name, answer.header.Get(name))
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

// pass sends a request to the endpoint.
func (s *saboteur) pass(r *http.Request, body []byte) reply {
	e := s.target(r)
	target := "http://" + e.Public.String() + r.RequestURI
	request, err := http.NewRequestWithContext(r.Context(), r.Method, target, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header = r.Header.Clone()
	request.Header.Del("X-Credential")
	request.Header.Set("X-Tenant", lastingAccount)
	request.Header.Set("X-Expect-Instance", e.ID)
	if s.before != nil {
		s.before(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: text}
}

// sabotage runs every kind of request through a saboteur and returns what the oracle finds.
func sabotage(t *testing.T, prepare func(s *saboteur)) []string {
	t.Helper()
	w := newWorld(t, 0)
	defer w.close()
	s := &saboteur{world: w, target: func(*http.Request) *endpoint { return w.endpoints[0] }}
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
		a := c.next(0)
		if sent[a.kind] > 0 {
			continue
		}
		c.send(a)
		// Callers leave early now and then; another one asks in their place.
		if !a.left {
			sent[a.kind]++
		}
	}
	c.client.CloseIdleConnections()
	return w.violations()
}

// TestOracleCatchesEachBrokenPromise lets entries break one promise each.
func TestOracleCatchesEachBrokenPromise(t *testing.T) {
	tests := map[string]struct {
		prepare func(s *saboteur)
		// want begins one of the violations; "" wants none.
		want string
	}{
		"honest": {prepare: func(*saboteur) {}},
		"twice":  {prepare: func(s *saboteur) { s.twice = true }, want: "twice"},
		"refused after it ran": {want: "refused", prepare: func(s *saboteur) {
			s.after = func(w http.ResponseWriter, _ *http.Request, _ reply) bool {
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		}},
		"another answer": {want: "mixed", prepare: func(s *saboteur) {
			s.after = func(w http.ResponseWriter, _ *http.Request, answer reply) bool {
				w.Header().Set("X-Response-Seal", answer.header.Get("X-Response-Seal"))
				_, _ = io.WriteString(w, wholeAnswer("somebody"))
				return true
			}
		}},
		"no digest": {want: "mixed", prepare: func(s *saboteur) {
			s.after = func(w http.ResponseWriter, _ *http.Request, answer reply) bool {
				_, _ = w.Write(answer.body)
				return true
			}
		}},
		"an event is missing": {want: "order: events", prepare: func(s *saboteur) {
			s.after = func(w http.ResponseWriter, r *http.Request, answer reply) bool {
				w.Header().Set("X-Response-Seal", answer.header.Get("X-Response-Seal"))
				dropped := event(r.Header.Get("X-Attempt-Id"), 4)
				_, _ = io.WriteString(w, strings.ReplaceAll(string(answer.body), dropped, ""))
				return true
			}
		}},
		"a stream ends early": {want: "order: a stream", prepare: func(s *saboteur) {
			s.after = func(w http.ResponseWriter, r *http.Request, answer reply) bool {
				w.Header().Set("X-Response-Seal", answer.header.Get("X-Response-Seal"))
				_, _ = io.WriteString(w, strings.TrimSuffix(string(answer.body), event(r.Header.Get("X-Attempt-Id"), streamEvents)))
				return true
			}
		}},
		"forged account": {want: "unasked", prepare: func(s *saboteur) {
			s.before = func(r *http.Request) { r.Header.Set("X-Tenant", "forged") }
		}},
		"key passed on": {want: "unasked", prepare: func(s *saboteur) {
			s.before = func(r *http.Request) { r.Header.Set("X-Credential", lastingKey) }
		}},
		"path cleaned": {want: "unasked", prepare: func(s *saboteur) {
			s.before = func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/r/a/b", "" }
		}},
		"made up": {want: "unasked: ", prepare: func(s *saboteur) {
			s.before = func(r *http.Request) { r.Header.Set("X-Attempt-Id", "nobody's") }
		}},
		"cut": {want: "lost", prepare: func(s *saboteur) {
			s.after = func(http.ResponseWriter, *http.Request, reply) bool { panic(http.ErrAbortHandler) }
		}},
		"held": {want: "late", prepare: func(s *saboteur) {
			s.after = func(http.ResponseWriter, *http.Request, reply) bool {
				time.Sleep(deadline + deadlineSlack)
				return false
			}
		}},
		"removed key": {want: "keys", prepare: func(s *saboteur) {
			s.world.removedKeys[lastingKey] = time.Now().Add(-2 * revokeTime)
		}},
		"leaving endpoint": {want: "drain", prepare: func(s *saboteur) {
			s.world.leaving[s.world.endpoints[0].ID] = time.Now().Add(-2 * drainTime)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := sabotage(t, tc.prepare)
			if tc.want == "" {
				if len(found) > 0 {
					t.Errorf("found %v in an honest run", found)
				}
				return
			}
			for _, v := range found {
				if strings.HasPrefix(v, tc.want) {
					return
				}
			}
			t.Errorf("found %v, want a violation that begins with %q", found, tc.want)
		})
	}
}
