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
	// statusPath is the path of an entry's status at its operator address.
	statusPath = "/v1/status"
	// statusInterval is the time between two polls of the entries.
	statusInterval = 200 * time.Millisecond
	// statusTimeout bounds one status request.
	statusTimeout = 2 * time.Second
	// maxStatusBytes is the longest status body that is read.
	maxStatusBytes = 16 << 20
)

// statusBody is the part of an entry's status that publish reads.
type statusBody struct {
	ConfigurationRevision uint64 `json:"configuration_revision"`
}

// waitForRevision waits until each live entry applies the revision or a later one, and returns the number of live
// entries. If ctx ends first, the error names the entries that don't apply it, including those that are not running.
//
// An entry whose address refuses connections is not running and is not waited for, but at least one entry has to
// answer.
func waitForRevision(ctx context.Context, entries []netip.AddrPort, revision uint64) (int, error) {
	client := jsonhttp.NewPooled()
	for {
		lagging, stopped := pollEntries(ctx, client, entries, revision)
		live := len(entries) - len(stopped)
		if len(lagging) == 0 && live > 0 {
			return live, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Errorf("revision %d is accepted but not yet applied at: %s", revision,
				strings.Join(append(lagging, stopped...), ", "))
		case <-time.After(statusInterval):
		}
	}
}

// pollEntries queries all entries once. It returns those that don't apply the revision yet or don't answer, and those
// that don't run, each as its address with the reason.
func pollEntries(
	ctx context.Context, client *http.Client, entries []netip.AddrPort, revision uint64,
) (lagging, stopped []string) {
	for _, entry := range entries {
		found, err := fetchRevision(ctx, client, entry)
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

// fetchRevision returns the configuration revision that an entry reports.
func fetchRevision(ctx context.Context, client *http.Client, entry netip.AddrPort) (uint64, error) {
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
	var status statusBody
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status.ConfigurationRevision, errors.Wrap(err, "status")
}
