package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/internal/config"
)

// streamRequest says which endless answer is requested, and how it is read.
type streamRequest struct {
	address      string
	path         string
	idleTimeout  time.Duration
	maxLength    int           // bytes of a line
	readInterval time.Duration // 0: what comes is read at once
}

// errNoStream is the error of an answer that is no stream.
var errNoStream = errors.New("the answer is no stream")

// stream requests a path and hands each line of the endless answer to handleLine, without its line end. The answer must
// begin within limits.StreamOpenTimeout and then bring a line within the idle timeout each time: guards against a new
// connection that is as silent as the last, while there is time for another. It returns why it ended, soon after ctx
// does; an error of opened or handleLine ends it too.
func stream(ctx context.Context, limits config.Limits, wanted streamRequest, opened func() error, handleLine func(line []byte) error) error {
	conn, err := dial(ctx, limits, wanted.address, limits.StreamOpenTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	client := newClient(limits, wanted.address, conn, true)
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + wanted.address + wanted.path)
	if err := client.Do(request, response); err != nil {
		return err
	}
	defer func() {
		conn.Close() // first, so that nothing of an endless answer is read on
		response.CloseBodyStream()
	}()
	if response.StatusCode() != fasthttp.StatusOK || response.BodyStream() == nil {
		return fmt.Errorf("%w: status %d", errNoStream, response.StatusCode())
	}
	if err := opened(); err != nil {
		return err
	}
	conn.startIdleTimeout(wanted.idleTimeout)
	conn.pace = newReadPace(wanted.readInterval)
	return readLines(response.BodyStream(), func() int { return wanted.maxLength }, func(line []byte) error {
		conn.extendDeadline()
		return handleLine(line)
	})
}

// runStream opens a stream again whenever it ends: at once where it had opened for a while, else with a jittered backoff,
// until its upstream is cancelled or replaced. It counts and logs each end under the stream's name.
func (r *receiver) runStream(up *upstream, name string, breaks counter, open func() (opened bool, err error)) {
	defer close(up.done)
	for attempts := 0; up.redialCtx.Err() == nil; attempts++ {
		began := time.Now()
		opened := false
		err := recoverPanic(r.metrics, name, func() (err error) {
			opened, err = open()
			return err
		})
		if up.ctx.Err() != nil {
			return
		}
		lasted := time.Since(began)
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

// waitBackoff waits for a random time within the bounds of the backoff; false where it is stopped meanwhile.
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

// roundedSeconds gives a duration in seconds, cut to the millisecond.
func roundedSeconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }
