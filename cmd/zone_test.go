package cmd

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/platform"
)

func TestRacingOperatorsLeaveOneZoneInService(t *testing.T) {
	store := &platform.Server{Store: &platform.Store{}, Instances: &platform.Instances{}, Weights: &platform.Weights{}}
	zones := []string{"a", "b", "c"}
	for _, zone := range zones {
		store.Instances.Put(platform.Instance{ID: "engine-" + zone, Kind: fleet.KindEngine, Zone: fleet.Zone(zone), State: fleet.StateLive})
	}
	handler, err := store.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	codes := make([]int, len(zones))
	group, _ := errgroup.WithContext(context.Background())
	for i, zone := range zones {
		group.Go(func() error {
			var out, errOut bytes.Buffer
			codes[i] = Main([]string{"zone", "drain", zone, "--platform", address}, &out, &errOut)
			return nil
		})
	}
	_ = group.Wait()
	counts := make(map[int]int)
	for _, code := range codes {
		counts[code]++
	}
	if counts[ExitOK] != 2 || counts[ExitInput] != 1 {
		t.Errorf("exit codes %v, want two drained zones and one refusal", codes)
	}
}
