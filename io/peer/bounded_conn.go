package peer

import (
	"net"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/io/tcp"
)

const (
	// memoryPerByte is the memory that a byte of an incomplete message takes, at most: buffers double as they grow, and the
	// message is copied from one to another.
	memoryPerByte = 4
	// freeMessageBytes is the memory of a message up to which it takes nothing of Client.Memory; usual ones have some
	// kilobytes.
	freeMessageBytes = memoryPerByte * 64 << 10
)

// newBoundedConn returns a connection whose incomplete messages take from memory; nil means no bound.
func newBoundedConn(conn net.Conn, memory *semaphore.Weighted) *tcp.MessageConn {
	return tcp.NewMessageConn(conn, tcp.MessageCost{FreeBytes: freeMessageBytes, PerByte: memoryPerByte}, memory)
}
