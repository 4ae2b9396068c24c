package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/io/boundedbody"
	"wisteriadyke/io/httpserver"
)

const (
	// memoryPerByte is the memory that a byte of a body takes: as received, in the decoder's buffer, as decoded, and encoded
	// again for an endpoint.
	memoryPerByte = 4
	// freeBodyBytes is the length of a body from which on its memory counts against Server.Bodies.
	freeBodyBytes = 4 << 10
	// bodyMemoryRetryAfter is the Retry-After in the refusal of a request whose body finds no memory.
	bodyMemoryRetryAfter = time.Second
)

// readBody decodes the JSON body of a request into the value that into points to. It writes a refusal and returns false
// if the body is invalid, too large or late, or if there is no memory for it. The read deadline is cleared only after a
// complete body, since the server continues to read the body after a refusal. The returned function releases the memory
// of the body; it must be called when the request has ended.
func (s *Server) readBody(ctx iris.Context, into any) (release func(), ok bool) {
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	deadline := time.Now().Add(bodyTimeout)
	_ = control.SetReadDeadline(deadline)
	content, release, err := s.receiveBody(ctx, boundedbody.Upload{
		Body:   http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes),
		Length: ctx.Request().ContentLength, FreeBytes: freeBodyBytes, Factor: memoryPerByte, Deadline: deadline,
		Abort: func() { _ = control.SetReadDeadline(time.Unix(1, 0)) },
	})
	if err != nil {
		refuseBody(ctx, err)
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		release()
		writeRefusal(ctx, iris.StatusBadRequest, reasonBadBody, err.Error())
		return nil, false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		release()
		writeRefusal(ctx, iris.StatusBadRequest, reasonBadBody, "the body goes on behind its JSON value")
		return nil, false
	}
	_ = control.SetReadDeadline(time.Time{})
	return release, true
}

// receiveBody reads a complete body.
func (s *Server) receiveBody(ctx iris.Context, upload boundedbody.Upload) (content []byte, release func(), err error) {
	if s.Bodies == nil {
		return boundedbody.Limits{}.Read(upload.Body)
	}
	content, release, err = s.Bodies.Read(upload)
	if err == nil {
		httpserver.BodyRead(ctx.Request().Context())
	}
	return content, release, err
}

// reasonBadBody is the reason in the refusal of an invalid body.
const reasonBadBody = "bad_body"

// refuseBody writes the refusal of a request whose body could not be read.
func refuseBody(ctx iris.Context, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeRefusal(ctx, iris.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body may have %d bytes", maxBodyBytes))
	case errors.Is(err, boundedbody.ErrNoMemory):
		ctx.Header("Connection", "close")
		writeFailure(ctx, "", &dispatch.Failure{State: dispatch.StateNotRun, Reason: "body_memory", RetryAfter: bodyMemoryRetryAfter})
	case errors.Is(err, os.ErrDeadlineExceeded):
		ctx.Header("Connection", "close")
		writeRefusal(ctx, iris.StatusRequestTimeout, "body_timeout", err.Error())
	default:
		writeRefusal(ctx, iris.StatusBadRequest, reasonBadBody, err.Error())
	}
}
