package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// RecordKind is the kind of event that a record describes.
type RecordKind string

const (
	RecordStart     RecordKind = "start"
	RecordGrant     RecordKind = "grant"
	RecordRelease   RecordKind = "release"
	RecordLease     RecordKind = "lease"
	RecordDrain     RecordKind = "drain"
	RecordExecution RecordKind = "execution"
)

// Record is one line of a record file. Times are CLOCK_BOOTTIME readings in
// nanoseconds, which are comparable between all processes of the machine.
type Record struct {
	Kind        RecordKind `json:"k"`
	At          int64      `json:"t"`
	Started     int64      `json:"s,omitempty"`
	Node        string     `json:"n"`
	Incarnation string     `json:"i,omitempty"`
	Session     uint64     `json:"e,omitempty"`
	Expiry      int64      `json:"x,omitempty"`
	Service     string     `json:"v,omitempty"`
	Shard       uint32     `json:"h,omitempty"`
	Epoch       uint64     `json:"p,omitempty"`
	Run         string     `json:"r,omitempty"`
	Attempt     string     `json:"a,omitempty"`
}

// recorder appends each record with a single write, so that it survives a crash
// of the process.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
}

func openRecorder(path string) (*recorder, error) {
	if path == "" {
		return &recorder{}, nil
	}
	const mode = 0o640
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, mode)
	if err != nil {
		return nil, eris.Wrapf(err, "open record file %s", path)
	}
	return &recorder{file: file}, nil
}

func (r *recorder) write(record Record) {
	if r.file == nil {
		return
	}
	line, err := json.Marshal(record)
	if err != nil {
		panic("encode record: " + err.Error())
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, err := r.file.Write(append(line, '\n')); err != nil {
		// A run can't be checked without complete records.
		panic("write record: " + err.Error())
	}
}

// ReadRecords reads all complete lines of a record file. An unfinished last line is ignored.
func ReadRecords(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrapf(err, "open record file %s", path)
	}
	defer file.Close()
	var records []Record
	reader := bufio.NewReaderSize(file, 1<<20)
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "read record file %s", path)
		}
		var record Record
		if err := json.Unmarshal(line, &record); err != nil {
			return nil, eris.Wrapf(err, "record file %s, line %d", path, len(records)+1)
		}
		records = append(records, record)
	}
}
