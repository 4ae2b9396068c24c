// Package register registers an endpoint stand-in or an entry in the instance list of the platform stand-in.
package register

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// Durations of a registration.
const (
	// retryInterval is the time between a failed announcement and the next try.
	retryInterval = time.Second
	// callTimeout bounds one request to the platform.
	callTimeout = 2 * time.Second
)

// ErrRefused means that the platform answered with an error status.
var ErrRefused = errors.New("platform refused the registration")

// Registration registers one endpoint or entry in the instance list.
type Registration struct {
	// Platform is the address of the platform stand-in.
	Platform netip.AddrPort
	// Endpoint describes the endpoint, or the entry with KindEntry of package io/platform as its kind, to register.
	Endpoint fleet.Endpoint
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// instanceBody is the wire form of an endpoint or entry.
type instanceBody struct {
	ID          fleet.EndpointID `json:"id"`
	Kind        fleet.Kind       `json:"kind"`
	Pool        fleet.PoolName   `json:"pool"`
	Zone        fleet.Zone       `json:"zone"`
	Address     netip.AddrPort   `json:"address"`
	State       fleet.State      `json:"state"`
	Memory      fleet.Tokens     `json:"memory"`
	ChecksFence bool             `json:"checks_fence"`
}

// Announce adds the endpoint or entry to the list, or updates it, with the given state. It retries every second until
// that succeeds or ctx ends.
func (r *Registration) Announce(ctx context.Context, state fleet.State) error {
	body := instanceBody{
		ID:          r.Endpoint.ID,
		Kind:        r.Endpoint.Kind,
		Pool:        r.Endpoint.Pool,
		Zone:        r.Endpoint.Zone,
		Address:     r.Endpoint.Address,
		State:       state,
		Memory:      r.Endpoint.Memory,
		ChecksFence: r.Endpoint.ChecksFence,
	}
	content, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "announce %s", r.Endpoint.ID)
	}
	for {
		err := r.call(ctx, http.MethodPost, "/control/instances", content)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "announce %s as %s", r.Endpoint.ID, state)
		case <-time.After(retryInterval):
		}
	}
}

// Remove removes the endpoint or entry from the list. It doesn't retry.
func (r *Registration) Remove(ctx context.Context) error {
	path := "/control/instances/" + url.PathEscape(string(r.Endpoint.ID))
	return errors.Wrapf(r.call(ctx, http.MethodDelete, path, nil), "remove %s", r.Endpoint.ID)
}

// call sends one request to the platform. It returns an error that wraps ErrRefused for a status of 300 or above.
func (r *Registration) call(ctx context.Context, method, path string, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := "http://" + r.Platform.String() + path
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(content))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := r.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrapf(ErrRefused, "status %s", response.Status)
	}
	return nil
}
