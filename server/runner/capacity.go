package runner

import "dotterelmount.example/lib/batch"

// RunBytes is the memory of a run besides its body: its connection with its buffers, the task
// that reads it, and the text until it is stored.
const RunBytes = 64 << 10

// Capacity bounds the runs in progress by what the host bears. The zero value bears one.
type Capacity struct {
	Runs  int   // connections to upstreams
	Bytes int64 // of memory
}

// load is what the runs in progress use of a capacity.
type load struct {
	capacity Capacity
	runs     int
	bytes    int64
}

// cost returns the memory of a run, in bytes.
func cost(r *batch.Run) int64 { return RunBytes + int64(r.Item.Body.Bytes) }

// fits reports whether a run that costs bytes may start. The first one always may.
func (l *load) fits(bytes int64) bool {
	return l.runs == 0 || l.runs < l.capacity.Runs && l.bytes+bytes <= l.capacity.Bytes
}

func (l *load) add(bytes int64) {
	l.runs++
	l.bytes += bytes
}

func (l *load) remove(bytes int64) {
	l.runs--
	l.bytes -= bytes
}
