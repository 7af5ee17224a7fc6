package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a run writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
