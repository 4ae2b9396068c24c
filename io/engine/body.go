package engine

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errAbandoned is returned to a read of the request body after its call has failed.
var errAbandoned = errors.New("request body abandoned")

// onceBody is a request body that can be read once and records whether it was read to its end.
//
// It hides the type of its content from net/http, so that the request gets no GetBody
// and the transport never replays it.
type onceBody struct {
	mu        sync.Mutex
	content   []byte
	abandoned bool
}

// Read implements io.Reader.
func (b *onceBody) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.abandoned {
		return 0, errAbandoned
	}
	if len(b.content) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, b.content)
	b.content = b.content[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error {
	return nil
}

// abandon disables further reads and reports whether the body was not read to its end.
func (b *onceBody) abandon() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned = true
	return len(b.content) > 0
}
