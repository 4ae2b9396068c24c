package engine

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errAbandoned means that a request body was read after its call had failed.
var errAbandoned = errors.New("request body abandoned")

// onceBody is a request body that is sent at most once and knows whether its last byte was handed over.
//
// It hides the type of its content from net/http, so that no request gets a GetBody
// and the transport never replays one.
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

// abandon forbids further reads and returns true if the last byte was never handed over.
func (b *onceBody) abandon() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned = true
	return len(b.content) > 0
}
