package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

// note writes one line with the time since the start.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, arguments...)...)
}

// say writes a line to the record and to the output.
func (r *record) say(format string, arguments ...any) {
	r.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
