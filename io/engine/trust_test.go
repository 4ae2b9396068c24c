package engine_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"wisteriadyke/io/engine"
)

// TestMalformedHeads lets an engine refuse an attempt with a malformed head. The attempt may have run.
func TestMalformedHeads(t *testing.T) {
	const refusal = "Content-Length: 33\r\n\r\n" + `{"error": {"code": "overloaded"}}`
	tests := map[string]string{
		"status": "HTTP/1.1 999 Trouble\r\n" + refusal,
		"name":   "HTTP/1.1 503 Full\r\nX a: b\r\n" + refusal,
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			client, _ := newTestClient(t, func(conn net.Conn, reader *bufio.Reader) {
				if readRequest(reader) {
					_, _ = io.WriteString(conn, answer)
				}
			})
			_, err := client.Generate(t.Context(), engine.Request{AttemptID: "a", Prompt: "p"})
			if err == nil || engine.CertainlyNotRun(err) {
				t.Errorf("error %v, want one that doesn't exclude that the attempt ran", err)
			}
		})
	}
}
