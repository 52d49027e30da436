//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start in seconds.
type record struct {
	startedAt time.Time

	mutex sync.Mutex
	file  *os.File
	lines *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, lines: bufio.NewWriter(file)}, nil
}

func (r *record) note(format string, values ...any) {
	since := time.Since(r.startedAt).Seconds()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.lines, "%9.4f "+format+"\n", append([]any{since}, values...)...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
