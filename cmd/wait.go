package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/io/jsonhttp"
)

const (
	// statusPath is where an entry's operator address tells its state.
	statusPath = "/v1/status"
	// statusInterval is the time between two looks at an entry.
	statusInterval = 200 * time.Millisecond
	// statusTimeout bounds one look at an entry.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds the answer of an entry.
	maxStatusBytes = 16 << 20
)

// wireStatus is the part of an entry's state that publish looks at.
type wireStatus struct {
	ConfigurationRevision uint64 `json:"configuration_revision"`
}

// waitForRevision returns the number of live entries when each has the revision or a later one in force.
//
// An entry whose address refuses connections is not running and not waited for; at least one has to answer.
func waitForRevision(ctx context.Context, entries []netip.AddrPort, revision uint64) (int, error) {
	client := jsonhttp.NewPooled()
	for {
		lagging, stopped := lookAtEntries(ctx, client, entries, revision)
		live := len(entries) - len(stopped)
		if len(lagging) == 0 && live > 0 {
			return live, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Errorf("revision %d is accepted but not yet in force at: %s", revision,
				strings.Join(append(lagging, stopped...), ", "))
		case <-time.After(statusInterval):
		}
	}
}

// lookAtEntries returns which entries don't have the revision and which don't run.
func lookAtEntries(
	ctx context.Context, client *http.Client, entries []netip.AddrPort, revision uint64,
) (lagging, stopped []string) {
	for _, entry := range entries {
		found, err := entryRevision(ctx, client, entry)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			stopped = append(stopped, fmt.Sprintf("%s (not running)", entry))
		case err != nil:
			lagging = append(lagging, fmt.Sprintf("%s (no answer)", entry))
		case found < revision:
			lagging = append(lagging, fmt.Sprintf("%s (revision %d)", entry, found))
		}
	}
	return lagging, stopped
}

// entryRevision asks an entry for the revision of its configuration.
func entryRevision(ctx context.Context, client *http.Client, entry netip.AddrPort) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, jsonhttp.URL(entry, statusPath, nil), nil)
	if err != nil {
		return 0, errors.Wrap(err, "status")
	}
	if key := os.Getenv(operatorKeyVariable); key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "status")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("status: HTTP status %d", response.StatusCode)
	}
	var status wireStatus
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status.ConfigurationRevision, errors.Wrap(err, "status")
}
