package node

import (
	"bytes"
	"errors"
	"strconv"
	"time"
)

// watchPath, with a version appended, is the path at which discovery streams the changes of its list after that version.
const watchPath = "/discovery/hosts?watch=1&after="

// errStaleList ends a watch whose first list is a snapshot older than the list held.
var errStaleList = errors.New("the watch started with a snapshot older than the list held")

// errResync ends a watch so that the next one requests again what this one missed or rejected as stale.
var errResync = errors.New("changes are missing or rejected as stale; the next watch requests them again")

// watchReader reads one watch of discovery's list until the watch ends.
type watchReader struct {
	receiver   *receiver
	up         *upstream
	state      *watchState
	phase      watchPhase
	gapSince   time.Time // when the first change was lost because its line was malformed; zero if no change is missing
	staleSince time.Time // when the first stale list since the last accepted one was received; zero if there was none
}

// watchPhase is the progress of a watch.
type watchPhase int

const (
	watchDialling watchPhase = iota // discovery has not accepted the watch yet
	watchOpened                     // discovery accepted the watch, which has not replaced the previous upstream yet
	watchStarted                    // the first line was received
	watchListed                     // the first list was received
)

// runWatch watches discovery's list at an upstream until the upstream is replaced or the manager ends. If the site pushes
// changes, the watch is always kept open. If the site is polled, a watch is opened each time the balancer requests the
// list, and an endpointListFailed is enqueued when it ends. If requested is true, the first watch is opened without a
// request.
func (n *Node) runWatch(r *receiver, up *upstream, requested bool) {
	read := func() (bool, error) { return r.readWatch(up, n.watchState) }
	if !n.config.Balancer.PollsEndpoints {
		r.runStream(up, "watch", watchBreaks, read)
		return
	}
	defer close(up.done)
	for up.redialCtx.Err() == nil {
		if !requested {
			select {
			case <-up.redialCtx.Done():
				return
			case <-n.router.listRequested:
			}
		}
		requested = false
		err := recoverPanic(r.metrics, "watch", func() error {
			_, err := read()
			return err
		})
		if up.ctx.Err() != nil {
			return
		}
		r.metrics.add(watchBreaks, 1)
		r.metrics.logLimited("watch_closed", "error", err)
		enqueue(endpointListFailed{}, r.inputs, up.ctx.Done())
	}
}

// readWatch opens a watch of discovery's list and reads it until it ends.
func (r *receiver) readWatch(up *upstream, state *watchState) (opened bool, err error) {
	reader := watchReader{receiver: r, up: up, state: state}
	path := watchPath + strconv.FormatInt(state.resumeVersion(), 10)
	request := streamRequest{address: up.address, path: path, idleTimeout: r.limits.EndpointWatchIdleTimeout,
		maxLength: r.limits.MaxEndpointListBytes}
	err = stream(up.ctx, r.limits, request, reader.open, reader.readLine)
	r.logListAge(state)
	return reader.phase >= watchOpened, err
}

// logListAge logs the age of the list in use if it exceeds the idle timeout of the watch, so that short interruptions are
// not logged.
func (r *receiver) logListAge(state *watchState) {
	list := state.current(time.Now())
	if list.age > r.limits.EndpointWatchIdleTimeout {
		r.metrics.logLimited("endpoint_list_age", "version", list.version, "age", roundedSeconds(list.age), "confirmed", list.confirmed)
	}
}

// open is called when discovery has accepted the watch.
func (w *watchReader) open() error {
	w.phase = watchOpened
	w.receiver.metrics.add(watchOpens, 1)
	return nil
}

// readLine handles a line, which is either a list or an empty heartbeat. An error ends the watch.
func (w *watchReader) readLine(line []byte) error {
	if w.phase < watchStarted { // only now, so that the previous upstream is kept if the new one sends nothing
		w.phase = watchStarted
		w.up.takeOver()
	}
	if w.isOverdue(w.gapSince) {
		return errResync
	}
	if w.isOverdue(w.staleSince) {
		w.state.recordStaleWatch()
		return errResync
	}
	if len(bytes.TrimSpace(line)) == 0 {
		w.handleHeartbeat()
		return nil
	}
	isFirst := w.phase < watchListed
	w.phase = watchListed
	list, unknown, err := w.receiver.decoder.parseList(line)
	if err != nil {
		return w.dropList(err)
	}
	w.receiver.metrics.add(unknownNames, int64(unknown))
	if !w.state.accepts(list, isFirst) {
		return w.dropStaleList(list, isFirst)
	}
	return w.acceptList(list)
}

// handleHeartbeat records that discovery confirmed the list held, unless the watch has skipped a list since.
func (w *watchReader) handleHeartbeat() {
	if w.phase == watchListed && w.gapSince.IsZero() && w.staleSince.IsZero() {
		w.state.recordConfirmation(time.Now())
	}
}

// isOverdue reports whether a fault has lasted for at least MaxWatchGap since the given time; a zero time means no fault.
func (w *watchReader) isOverdue(since time.Time) bool {
	return !since.IsZero() && time.Since(since) >= w.receiver.limits.MaxWatchGap
}

// dropList counts a malformed list. The first time, it returns an error, so that another watch requests the list again. If
// the list is malformed there too, the watch goes on, so that later lists are accepted in the meantime.
func (w *watchReader) dropList(err error) error {
	w.receiver.metrics.add(malformedMessages, 1)
	w.receiver.metrics.logLimited("malformed_endpoint_list", "from", w.up.address, "error", err)
	if w.up.noteDecodeError() {
		return err
	}
	w.gapSince = time.Now()
	return nil
}

// dropStaleList counts a list that is older than the one held. It ends a watch that starts with an older snapshot.
func (w *watchReader) dropStaleList(list endpointList, isFirst bool) error {
	w.receiver.metrics.add(staleEndpointLists, 1)
	w.receiver.metrics.logLimited("stale_endpoint_list", "version", list.version, "held", w.state.currentVersion())
	if isFirst && list.snapshot {
		return errStaleList
	}
	if w.staleSince.IsZero() { // if the held version is wrong, all later lists count as stale, for MaxWatchGap at most
		w.staleSince = time.Now()
	}
	return nil
}

// acceptList passes a list to the router. The held version advances only if no earlier change is missing.
func (w *watchReader) acceptList(list endpointList) error {
	w.staleSince = time.Time{}
	list.complete = list.snapshot || w.gapSince.IsZero()
	if list.snapshot || len(list.entries) > 0 { // otherwise the list changes nothing
		w.receiver.metrics.add(endpointLists, 1)
		if !enqueue(list, w.receiver.inputs, w.up.ctx.Done()) {
			return errStopped // the version must not advance, or the next watch would treat this change as stale
		}
	}
	if list.snapshot {
		w.gapSince = time.Time{}
	}
	if w.gapSince.IsZero() {
		w.state.advance(list, time.Now())
		w.up.clearDecodeError()
	}
	return nil
}
