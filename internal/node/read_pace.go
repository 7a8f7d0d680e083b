package node

import "time"

// readPace delays the reads of a connection so that messages which arrive shortly after one another are read together:
// a wake-up costs the process far more than one more message per read. All connections are read at the same times, the
// multiples of the interval, so that one wake-up serves all of them. The first read, and a read after one that filled its
// buffer, are not delayed.
type readPace struct {
	interval  time.Duration // 0: reads are not delayed
	delayNext bool          // the next read waits for a multiple of the interval
	now       func() time.Time
	sleep     func(time.Duration)
}

func newReadPace(interval time.Duration) readPace {
	return readPace{interval: interval, now: time.Now, sleep: time.Sleep}
}

// beforeRead waits until the next read may be made.
func (p *readPace) beforeRead() {
	if p.interval == 0 || !p.delayNext {
		return
	}
	sinceMultiple := time.Duration(p.now().UnixNano()) % p.interval
	p.sleep(p.interval - sinceMultiple)
}

// afterRead records whether a read filled its buffer. If it did, more data may be waiting, so the next read is not delayed.
func (p *readPace) afterRead(read, size int) { p.delayNext = read < size }
