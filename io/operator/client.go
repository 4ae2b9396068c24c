package operator

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/pkg/errors"

	"wisteriadyke/core/timeline"
	"wisteriadyke/io/jsonhttp"
)

const (
	// maxResponseBytes bounds the body of a response; the rest of a longer one is not read.
	maxResponseBytes = 64 << 20
	// maxEventBytes bounds one event of the timeline; a longer one is an error.
	maxEventBytes = 1 << 20
)

// ErrUnauthorized means that the entry requires the operators' key, and the request had another key or none.
var ErrUnauthorized = errors.New("the operators' key is wrong or missing")

// Client calls the operator port of one entry.
type Client struct {
	// Address is the address of the operator port.
	Address netip.AddrPort
	// Key is the operators' key; "" sends none.
	Key string
	// HTTP sends the requests.
	HTTP *http.Client
}

// Status returns the status of the entry. The error is ErrUnauthorized if the key is rejected.
func (c *Client) Status(ctx context.Context) (Status, error) {
	body, err := c.get(ctx, "/v1/status", nil)
	if err != nil {
		return Status{}, err
	}
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return Status{}, errors.Wrapf(err, "status of %s", c.Address)
	}
	status, err := DecodeStatus(data)
	return status, errors.Wrapf(err, "status of %s", c.Address)
}

// Timeline returns the events of the entry that match the filter. The error is ErrUnauthorized if the key is rejected.
func (c *Client) Timeline(ctx context.Context, filter timeline.Filter) ([]timeline.Event, error) {
	query := url.Values{
		"request":  {string(filter.Request)},
		"endpoint": {string(filter.Endpoint)},
		"account":  {string(filter.Account)},
	}
	body, err := c.get(ctx, "/v1/timeline", query)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	lines := bufio.NewScanner(io.LimitReader(body, maxResponseBytes))
	lines.Buffer(nil, maxEventBytes)
	var events []timeline.Event
	for lines.Scan() {
		event, err := DecodeEvent(lines.Bytes())
		if err != nil {
			return nil, errors.Wrapf(err, "time line of %s", c.Address)
		}
		events = append(events, event)
	}
	return events, errors.Wrapf(lines.Err(), "time line of %s", c.Address)
}

// get sends a GET request and returns the body of the response, which the caller closes. Any status but 200 results in
// an error, ErrUnauthorized for 401.
func (c *Client) get(ctx context.Context, path string, query url.Values) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, jsonhttp.URL(c.Address, path, query), http.NoBody)
	if err != nil {
		return nil, errors.Wrapf(err, "entry at %s", c.Address)
	}
	if c.Key != "" {
		request.Header.Set("Authorization", bearerPrefix+c.Key)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "entry at %s", c.Address)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusUnauthorized {
		return nil, errors.Wrapf(ErrUnauthorized, "entry at %s", c.Address)
	}
	return nil, errors.Errorf("entry at %s answered %s", c.Address, response.Status)
}
