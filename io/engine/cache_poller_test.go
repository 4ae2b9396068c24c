package engine

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

func TestCachePollerTellsPlacement(t *testing.T) {
	prompt := strings.Repeat("x", 5000*BytesPerToken)
	prefixes := PlacementPrefixes(prompt)
	incarnation := `"incarnation":1`
	var rows []string
	for i, p := range prefixes {
		rows = append(rows, fmt.Sprintf(`{"sequence":%d,"kind":"stored","prefix_digest":%q,"tokens":%d}`, i+1, p.Digest, p.Tokens))
	}
	events := strings.Join(rows, ",")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := events
		if r.URL.Query().Get("after") == "3" {
			body = ""
		}
		_, _ = w.Write([]byte("{" + incarnation + `,"events":[` + body + "]}"))
	}))
	defer server.Close()
	state := &clusterstate.State{}
	endpoint := fleet.Endpoint{
		ID: "e", Kind: fleet.KindEngine, Pool: "p", Zone: "a", State: fleet.StateLive, Memory: 100_000,
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}
	state.Endpoints.Set("e", endpoint)
	state.Endpoints.Set("far", fleet.Endpoint{ID: "far", Kind: fleet.KindEngine, Zone: "b"})
	poller := &CachePoller{State: state, Zone: "a", Prefixes: &placement.PrefixIndex{}, HTTP: server.Client(), positions: make(map[fleet.EndpointID]cachePosition)}
	policy := &placement.EarliestFinish{Prefixes: poller.Prefixes}
	need := placement.Need{Pool: "p", PromptTokens: 5000, Prefixes: prefixes}
	pollCached := func() fleet.Tokens {
		next, found := poller.next()
		if !found || next.ID != "e" {
			t.Fatalf("got next engine %q, want the only one of the zone", next.ID)
		}
		poller.poll(t.Context(), next)
		return policy.Cached("e", need)
	}
	if got := pollCached(); got != 4096 {
		t.Errorf("got %d cached tokens, want 4096", got)
	}
	if got := pollCached(); got != 4096 {
		t.Errorf("got %d cached tokens after a poll without new events, want 4096", got)
	}
	incarnation, events = `"incarnation":2`, ""
	pollCached()
	if got := pollCached(); got != 0 {
		t.Errorf("got %d cached tokens in a new incarnation, want 0", got)
	}
}
