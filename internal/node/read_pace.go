package node

import "time"

// readPace spaces the reads of a connection, so that messages which come shortly after one another are read together:
// to be woken for a read costs a process far more than one message more in it. All connections are read at the same
// instants, the multiples of the interval, so that one wake-up serves them all. A first read, and one after a read that
// filled its buffer, are made at once.
type readPace struct {
	interval time.Duration // 0: each read is made at once
	waits    bool          // before the next read
	now      func() time.Time
	sleep    func(time.Duration)
}

func newReadPace(interval time.Duration) readPace {
	return readPace{interval: interval, now: time.Now, sleep: time.Sleep}
}

// beforeRead waits until the next read is due.
func (p *readPace) beforeRead() {
	if p.interval == 0 || !p.waits {
		return
	}
	sinceInstant := time.Duration(p.now().UnixNano()) % p.interval
	p.sleep(p.interval - sinceInstant)
}

// afterRead notes how much of a buffer a read filled.
func (p *readPace) afterRead(read, size int) { p.waits = read < size }
