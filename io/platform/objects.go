package platform

import (
	"context"
	"net/http"
)

// objectPath is the prefix of the URL path of an object.
const objectPath = "/v1/objects/"

// PutObject stores an object.
//
// It returns ErrUnavailable or ErrRejected if nothing was stored, and ErrUnknownOutcome if the object may have been
// stored.
func (c *Client) PutObject(ctx context.Context, key string, content []byte) error {
	if content == nil {
		content = []byte{}
	}
	_, err := c.write(ctx, http.MethodPut, objectPath+key, content)
	return err
}

// GetObject returns the content of an object. The error is ErrNotFound if there is none, ErrUnavailable while the
// platform is unavailable, and another error of this package for an unexpected status.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	response, err := c.send(ctx, http.MethodGet, objectPath+key, nil, nil)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	if err := responseError(response); err != nil {
		return nil, err
	}
	return response.Body, nil
}

// DeleteObject removes an object if it exists.
//
// It returns ErrUnavailable or ErrRejected if nothing was removed, and ErrUnknownOutcome if the object may have been
// removed.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	_, err := c.write(ctx, http.MethodDelete, objectPath+key, nil)
	return err
}
