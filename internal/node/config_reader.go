package node

import (
	"time"

	"tamarindshore/internal/config"
)

// configReader reads the configuration again when it is asked to. It reads in a goroutine of its own: guards against a
// shutdown that waits for a file that never comes. A request that comes meanwhile has it read once more, and an invalid
// configuration is read again a few times: guards against a signal that comes while the file is being written, after
// which no other comes. Its fields belong to the goroutine that calls it; the one that reads only sends to results.
type configReader struct {
	read          func() (config.Config, error)
	maxRetries    int // after each reload
	retryInterval time.Duration

	state       readState
	results     chan readResult
	retriesLeft int
	retry       <-chan time.Time // nil: no retry is due
}

// readState says what a configReader does.
type readState int

const (
	readIdle     readState = iota
	readRunning            // the configuration is being read
	readOutdated           // it is being read, and was asked for again since that began
)

// readResult is the configuration as it was read, or why it could not be.
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

// reload has the configuration read on a signal, with all its retries.
func (c *configReader) reload() {
	c.retriesLeft = c.maxRetries
	c.request()
}

// request has the configuration read; its result comes out of results.
func (c *configReader) request() {
	if c.state != readIdle {
		c.state = readOutdated
		return
	}
	c.state = readRunning
	go func() {
		read, err := c.read()
		c.results <- readResult{config: read, err: err} // there is room: one read runs at a time
	}()
}

// finish must be called after each result, with whether the configuration was valid.
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
