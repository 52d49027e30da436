//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// addf writes one line.
func (r *record) addf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, err := fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...)); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// sayf writes one line to the record and to standard output.
func (r *record) sayf(format string, arguments ...any) {
	r.addf(format, arguments...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}
