package node

import (
	"bytes"
	"errors"
	"strconv"
	"time"
)

// watchPath is where discovery streams its list, from a version on.
const watchPath = "/discovery/hosts?watch=1&after="

// errStaleList ends a watch that opens with a list older than the one held.
var errStaleList = errors.New("an older list than the one held")

// errResync ends a watch so that the next one asks again for what is missing.
var errResync = errors.New("what is missing is asked for again")

// watchReader reads discovery's watch once, to its end.
type watchReader struct {
	receiver   *receiver
	up         *upstream
	state      *watchState
	phase      watchPhase
	gapSince   time.Time // when something that could not be read began to be missing; zero: nothing is
	staleSince time.Time // when the first of only older lists was received; zero: newer ones are
}

// watchPhase says how far a watch has come.
type watchPhase int

const (
	watchDialling watchPhase = iota
	watchOpened              // discovery accepted it; it has not replaced the previous upstream yet
	watchStarted             // a line was received
	watchListed              // the first list was received
)

// runWatch keeps discovery's watch open at an upstream, until that is replaced or the manager ends: always where the site
// pushes changes, else where the balancer requests the list, with one endpointListFailed for each watch that ends. With
// requested the first watch is opened without a request.
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

// readWatch reads discovery's watch once, to its end.
func (r *receiver) readWatch(up *upstream, state *watchState) (opened bool, err error) {
	reader := watchReader{receiver: r, up: up, state: state}
	path := watchPath + strconv.FormatInt(state.resumeVersion(), 10)
	wanted := streamRequest{address: up.address, path: path, idleTimeout: r.limits.EndpointWatchIdleTimeout, maxLength: r.limits.MaxEndpointListBytes}
	err = stream(up.ctx, r.limits, wanted, reader.open, reader.readLine)
	r.logListAge(state)
	return reader.phase >= watchOpened, err
}

// logListAge logs how old the list is that the manager goes on with, where that is more than a break of the watch.
func (r *receiver) logListAge(state *watchState) {
	held := state.held(time.Now())
	if held.age > r.limits.EndpointWatchIdleTimeout {
		r.metrics.logLimited("endpoint_list_age", "version", held.version, "age", roundedSeconds(held.age), "confirmed", held.confirmed)
	}
}

// open notes that discovery accepted the watch.
func (w *watchReader) open() error {
	w.phase = watchOpened
	w.receiver.metrics.add(watchOpens, 1)
	return nil
}

// readLine handles one line, which holds a list or is a heartbeat; an error ends the watch.
func (w *watchReader) readLine(line []byte) error {
	if w.phase < watchStarted { // guards against giving up the previous upstream for one that sends nothing
		w.phase = watchStarted
		w.up.takeOver()
	}
	if w.isOverdue(w.gapSince) {
		return errResync
	}
	if w.isOverdue(w.staleSince) {
		w.state.noteStaleWatch()
		return errResync
	}
	if len(bytes.TrimSpace(line)) == 0 {
		w.noteHeartbeat()
		return nil
	}
	opening := w.phase < watchListed
	w.phase = watchListed
	list, unknown, err := w.receiver.decoder.parseList(line)
	if err != nil {
		return w.dropList(err)
	}
	w.receiver.metrics.add(unknownNames, int64(unknown))
	if !w.state.accepts(list, opening) {
		return w.dropStaleList(list, opening)
	}
	return w.acceptList(list)
}

// noteHeartbeat notes that discovery confirms the list that is held, unless something of it is missing.
func (w *watchReader) noteHeartbeat() {
	if w.phase == watchListed && w.gapSince.IsZero() && w.staleSince.IsZero() {
		w.state.noteConfirmed(time.Now())
	}
}

// isOverdue tells whether a fault that has lasted since some time has lasted for too long.
func (w *watchReader) isOverdue(since time.Time) bool {
	return !since.IsZero() && time.Since(since) >= w.receiver.limits.MaxWatchGap
}

// dropList counts a list that could not be read. It is requested again by another watch; where it was malformed there
// too, what follows is accepted meanwhile.
func (w *watchReader) dropList(err error) error {
	w.receiver.metrics.add(malformedMessages, 1)
	w.receiver.metrics.logLimited("malformed_endpoint_list", "from", w.up.address, "error", err)
	if w.up.noteDecodeError() {
		return err
	}
	w.gapSince = time.Now()
	return nil
}

// dropStaleList counts a list that is older than the one held.
func (w *watchReader) dropStaleList(list endpointList, opening bool) error {
	w.receiver.metrics.add(staleEndpointLists, 1)
	w.receiver.metrics.logLimited("stale_endpoint_list", "version", list.generation, "held", w.state.heldVersion())
	if opening && list.snapshot {
		return errStaleList
	}
	if w.staleSince.IsZero() { // guards against all that follows a version that was never true counting as old
		w.staleSince = time.Now()
	}
	return nil
}

// acceptList hands a list on. The version held advances only where nothing before it is missing.
func (w *watchReader) acceptList(list endpointList) error {
	w.staleSince = time.Time{}
	list.complete = list.snapshot || w.gapSince.IsZero()
	if list.snapshot || len(list.entries) > 0 { // else nothing has changed
		w.receiver.metrics.add(endpointLists, 1)
		if !enqueue(list, w.receiver.inputs, w.up.ctx.Done()) {
			return errStopped // it is not held: guards against a change that the next watch takes for an old one
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
