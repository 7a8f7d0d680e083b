package node

import (
	"time"

	"tamarindshore/internal/config"
)

// configReader rereads the configuration on request. It reads in a goroutine of its own, so that a read that blocks does
// not delay the shutdown. A request during a read causes one more read after it. An invalid configuration is read again
// a few times, because the signal may have come while the file was being written, and no other signal may follow. The
// fields belong to the goroutine that calls the methods; the reading goroutine only sends to results.
type configReader struct {
	read          func() (config.Config, error)
	maxRetries    int // for each reload
	retryInterval time.Duration

	state       readState
	results     chan readResult
	retriesLeft int
	retry       <-chan time.Time // fires when the next retry is due; nil: none is planned
}

// readState is the state of a configReader.
type readState int

const (
	readIdle     readState = iota
	readRunning            // a read is in progress
	readOutdated           // a read is in progress, and another was requested since it began
)

// readResult is the configuration that was read, or the error of the read.
type readResult struct {
	config config.Config
	err    error
}

func newConfigReader(read func() (config.Config, error), limits config.Limits) *configReader {
	return &configReader{
		read:          read,
		maxRetries:    limits.ReloadRetries,
		retryInterval: limits.ReloadRetryInterval,
		results:       make(chan readResult, 1),
	}
}

// reload starts a read in response to a reload signal, and restores the full number of retries.
func (c *configReader) reload() {
	c.retriesLeft = c.maxRetries
	c.request()
}

// request starts a read, or requests another one after the read in progress. The result is sent to results.
func (c *configReader) request() {
	if c.state != readIdle {
		c.state = readOutdated
		return
	}
	c.state = readRunning
	go func() {
		read, err := c.read()
		c.results <- readResult{config: read, err: err} // never blocks: only one read runs at a time
	}()
}

// finish must be called after each result; valid is whether the configuration was valid. It starts the next read if one
// was requested in the meantime, or else plans a retry if the configuration was invalid and retries are left.
func (c *configReader) finish(valid bool) {
	outdated := c.state == readOutdated
	c.state = readIdle
	c.retry = nil
	switch {
	case outdated:
		c.request()
	case !valid && c.retriesLeft > 0:
		c.retriesLeft--
		c.retry = time.After(c.retryInterval)
	}
}
