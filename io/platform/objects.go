package platform

import (
	"context"
	"net/http"
)

// objectPath is the path under which objects are kept.
const objectPath = "/v1/objects/"

// PutObject stores an object.
//
// It returns ErrUnavailable if nothing was stored and ErrUnknownOutcome if it may have been.
func (c *Client) PutObject(ctx context.Context, key string, content []byte) error {
	if content == nil {
		content = []byte{}
	}
	_, err := c.write(ctx, http.MethodPut, objectPath+key, content)
	return err
}

// GetObject returns an object, ErrNotFound or ErrUnavailable.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	response, err := c.send(ctx, http.MethodGet, objectPath+key, nil, nil)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	if err := refusal(response); err != nil {
		return nil, err
	}
	return response.Body, nil
}

// DeleteObject removes an object, if it is there.
//
// It returns ErrUnavailable if nothing was removed and ErrUnknownOutcome if it may have been.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	_, err := c.write(ctx, http.MethodDelete, objectPath+key, nil)
	return err
}
