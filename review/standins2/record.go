package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of one case. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes one line with the time since the start of the case.
func (r *record) add(kind, format string, arguments ...any) {
	r.addAt(time.Now(), kind, format, arguments...)
}

// addAt is like add for something that happened at a given time.
func (r *record) addAt(at time.Time, kind, format string, arguments ...any) {
	line := fmt.Sprintf("%9.3f s  %-7s %s\n", at.Sub(r.started).Seconds(), kind, fmt.Sprintf(format, arguments...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	if kind == "result" {
		fmt.Print(line)
	}
}

// close closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
