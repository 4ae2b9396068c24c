package jsonhttp

import (
	"errors"
	"net/http"
	"testing"

	"wisteriadyke/standin/brokenconn"
)

// TestAnswersThatAreNotTrusted lets a peer answer a long request with a part of an answer before the connection fails, or
// with a malformed head. Neither may count as an answer, since the request may have run.
func TestAnswersThatAreNotTrusted(t *testing.T) {
	tests := map[string]string{
		"reset":  "HTTP/1.1 200 OK\r\n\r\n{}",
		"status": "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}",
		"name":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 2\r\n\r\n{}",
	}
	for name, answer := range tests {
		for order, endFirst := range map[string]bool{"write_first": false, "end_first": true} {
			t.Run(name+"/"+order, func(t *testing.T) {
				client := NewWithTransport(&http.Transport{DialContext: brokenconn.Dial(answer, endFirst)})
				response, err := Do(t.Context(), client, http.MethodPost, "http://127.0.0.1:1/x", make([]byte, 1<<20))
				var failure *Error
				if !errors.As(err, &failure) || failure.Certainty != Unanswered {
					t.Errorf("got status %d, %q, error %v, want an unanswered request", response.Status, response.Body, err)
				}
			})
		}
	}
}
