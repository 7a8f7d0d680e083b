package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/internal/config"
)

// streamRequest describes a request whose response is an endless stream of lines.
type streamRequest struct {
	address      string
	path         string
	idleTimeout  time.Duration
	maxLength    int           // maximum length of a line in bytes
	readInterval time.Duration // interval of the read pace; 0: reads are not delayed
}

// errNoStream is wrapped by the error for a response whose status is not 200 OK or that has no body to stream.
var errNoStream = errors.New("not a streaming response")

// stream sends a request and passes each line of the endless response to handleLine, without its line ending. It calls opened
// once the response has begun. The response must begin within limits.StreamOpenTimeout, so that time is left for another
// attempt if the new connection is as silent as the last one. After that, each line must arrive within the idle timeout.
// stream returns the reason for its end: the stream ended, ctx is done, or opened or handleLine returned an error.
func stream(ctx context.Context, limits config.Limits, spec streamRequest, opened func() error, handleLine func(line []byte) error) error {
	conn, err := dial(ctx, limits, spec.address, limits.StreamOpenTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	client := newClient(limits, spec.address, conn, true)
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + spec.address + spec.path)
	if err := client.Do(request, response); err != nil {
		return err
	}
	defer func() {
		conn.Close() // first, because CloseBodyStream would read on from an endless response
		response.CloseBodyStream()
	}()
	if response.StatusCode() != fasthttp.StatusOK || response.BodyStream() == nil {
		return fmt.Errorf("%w: status %d", errNoStream, response.StatusCode())
	}
	if err := opened(); err != nil {
		return err
	}
	conn.startIdleTimeout(spec.idleTimeout)
	conn.pace = newReadPace(spec.readInterval)
	return readLines(response.BodyStream(), func() int { return spec.maxLength }, func(line []byte) error {
		conn.extendDeadline()
		return handleLine(line)
	})
}

// runStream opens a stream, and reopens it whenever it ends, until its upstream is canceled or replaced. The first
// reopening is immediate, as is that of a stream that was open for longer than MaxBackoff; others wait for a jittered
// backoff. Each end is counted and logged under the name of the stream.
func (r *receiver) runStream(up *upstream, name string, breaks counter, open func() (opened bool, err error)) {
	defer close(up.done)
	for attempts := 0; up.redialCtx.Err() == nil; attempts++ {
		startedAt := time.Now()
		opened := false
		err := recoverPanic(r.metrics, name, func() (err error) {
			opened, err = open()
			return err
		})
		if up.ctx.Err() != nil {
			return
		}
		lasted := time.Since(startedAt)
		r.metrics.add(breaks, 1)
		r.metrics.logLimited(name+"_closed", "lasted", roundedSeconds(lasted), "opened", opened, "error", err)
		if opened && lasted > r.limits.MaxBackoff {
			attempts = 0
		}
		if attempts > 0 && !r.waitBackoff(up.redialCtx.Done()) {
			return
		}
	}
}

// waitBackoff waits for a random time between MinBackoff and MaxBackoff. It returns false if stop is closed first.
func (r *receiver) waitBackoff(stop <-chan struct{}) bool {
	r.mu.Lock()
	spread := r.jitter.Float64()
	r.mu.Unlock()
	wait := r.limits.MinBackoff + time.Duration(spread*float64(r.limits.MaxBackoff-r.limits.MinBackoff))
	select {
	case <-time.After(wait):
		return true
	case <-stop:
		return false
	}
}

// roundedSeconds returns a duration in seconds, rounded down to the millisecond.
func roundedSeconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }
