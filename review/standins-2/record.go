package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file to which a run writes what was sent, answered and seen. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// write adds a line, which begins with the seconds since the start of the run.
func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// say adds a line and prints it too.
func (r *record) say(format string, values ...any) {
	fmt.Printf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
	r.write(format, values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
