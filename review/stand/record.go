package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. Times are seconds since its start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(file), file: file, began: time.Now()}, nil
}

// at returns the seconds from the start of the record to a time.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// note writes one line with the present time.
func (r *record) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

// noteAt writes one line with a given time.
func (r *record) noteAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{r.at(t)}, args...)...)
	r.out.Flush()
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}
