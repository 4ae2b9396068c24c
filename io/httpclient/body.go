package httpclient

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// exchange is one request and its answer on a connection.
type exchange struct {
	// wrote is closed when net/http has written the request or has failed to; the fields below it are set before.
	wrote     chan struct{}
	writeOnce sync.Once
	wroteAt   time.Time
	writeErr  error

	mu   sync.Mutex
	conn *conn
}

// newExchange returns an exchange that has no connection yet.
func newExchange() *exchange {
	return &exchange{wrote: make(chan struct{})}
}

// begin records the connection.
func (e *exchange) begin(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, _ = info.Conn.(*conn)
}

// wroteRequest records that the request was written.
func (e *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	e.writeOnce.Do(func() {
		e.wroteAt, e.writeErr = time.Now(), info.Err
		close(e.wrote)
	})
}

// connection returns the connection.
func (e *exchange) connection() *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn
}

// abort closes the connection, so that no other request uses it.
func (e *exchange) abort() {
	if c := e.connection(); c != nil {
		_ = c.Close()
	}
}

// checkWritten returns an error unless the whole request was written without a failure.
func (e *exchange) checkWritten() error {
	timer := time.NewTimer(writeWait)
	defer timer.Stop()
	select {
	case <-e.wrote:
	case <-timer.C:
		return errors.Wrap(ErrBrokenConnection, "the request was not written")
	}
	if e.writeErr != nil {
		return errors.Wrap(ErrBrokenConnection, e.writeErr.Error())
	}
	c := e.connection()
	if c == nil {
		return nil
	}
	c.awaitWrite(e.wroteAt)
	if c.broken() {
		return ErrBrokenConnection
	}
	return nil
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	response *http.Response
	exchange *exchange
}

// Read reads from the body. Its end is an error if the trailer is malformed, or if the body ends with a connection that has
// failed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := checkFields(b.response.Trailer); err != nil {
		b.exchange.abort()
		return n, err
	}
	if endsWithConnection(b.response) {
		if err := b.exchange.checkWritten(); err != nil {
			return n, err
		}
	}
	return n, io.EOF
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
