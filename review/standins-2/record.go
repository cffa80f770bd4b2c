package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start of the
// case in milliseconds.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecorder(dir string) (*recorder, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, w: bufio.NewWriter(file)}, nil
}

// since returns the time since the start of the case in milliseconds.
func (r *recorder) since(at time.Time) int64 { return at.Sub(r.start).Milliseconds() }

// note writes a line about what happens now.
func (r *recorder) note(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%6d ", r.since(now))
	_, _ = fmt.Fprintf(r.w, format, args...)
	_ = r.w.WriteByte('\n')
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
