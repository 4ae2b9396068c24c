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
	life := `"incarnation":1`
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
		_, _ = w.Write([]byte("{" + life + `,"events":[` + body + "]}"))
	}))
	defer server.Close()
	board := &clusterstate.State{}
	endpoint := fleet.Endpoint{
		ID: "e", Kind: fleet.KindEngine, Pool: "p", Zone: "a", State: fleet.StateLive, Memory: 100_000,
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}
	board.Endpoints.Set("e", endpoint)
	board.Endpoints.Set("far", fleet.Endpoint{ID: "far", Kind: fleet.KindEngine, Zone: "b"})
	poller := &CachePoller{State: board, Zone: "a", Prefixes: &placement.PrefixIndex{}, HTTP: server.Client(), seen: make(map[fleet.EndpointID]cachePosition)}
	policy := &placement.EarliestFinish{Prefixes: poller.Prefixes}
	need := placement.Need{Pool: "p", PromptTokens: 5000, Prefixes: prefixes}
	look := func() fleet.Tokens {
		next, found := poller.next()
		if !found || next.ID != "e" {
			t.Fatalf("next engine %q, want the only one of the zone", next.ID)
		}
		poller.poll(t.Context(), next)
		return policy.Cached("e", need)
	}
	if got := look(); got != 4096 {
		t.Errorf("%d tokens may be held, want 4096", got)
	}
	if got := look(); got != 4096 {
		t.Errorf("%d tokens may be held after a poll without news, want 4096", got)
	}
	life, events = `"incarnation":2`, ""
	look()
	if got := look(); got != 0 {
		t.Errorf("%d tokens may be held by a new life, want 0", got)
	}
}
