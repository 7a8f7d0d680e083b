package fakes

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	eventBufferLength = 1 << 16 // maximum number of events queued for one watcher
	eventsKeepAlive   = time.Second
	keepAliveLine     = ":\n\n"
)

// publish queues an event for all watchers and closes a watcher whose queue is full. The caller holds the lock.
func (r *Relay) publish(e event) {
	for watcher := range r.watchers {
		select {
		case watcher <- e:
		default:
			delete(r.watchers, watcher)
			close(watcher)
		}
	}
}

// serveEvents writes an event for each connected proxy, then all further events.
func (r *Relay) serveEvents(w http.ResponseWriter, _ *http.Request) {
	events := make(chan event, eventBufferLength)
	initialEvents, ok := r.addWatcher(events)
	if !ok {
		breakConnection(w)
		return
	}
	defer r.removeWatcher(events)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	io.WriteString(w, initialEvents)
	flusher.Flush()
	keepAlive := time.NewTicker(eventsKeepAlive)
	defer keepAlive.Stop()
	for {
		select {
		case e, open := <-events:
			if !writeQueued(w, events, e, open) {
				breakConnection(w)
				return
			}
		case <-keepAlive.C:
			io.WriteString(w, keepAliveLine)
		case <-r.closed:
			breakConnection(w)
			return
		}
		flusher.Flush()
	}
}

// addWatcher registers a watcher and returns the events of all connected proxies. It returns false while the relay is
// unavailable.
func (r *Relay) addWatcher(events chan event) (initialEvents string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return "", false
	}
	var proxies []string
	for _, p := range r.proxies {
		proxies = append(proxies, connected(p).encode())
	}
	slices.Sort(proxies)
	r.watchers[events] = true
	return strings.Join(proxies, ""), true
}

func (r *Relay) removeWatcher(events chan event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.watchers, events)
}

// writeQueued writes an event and all events queued after it. It returns false if the watcher is closed.
func writeQueued(w io.Writer, events <-chan event, first event, open bool) bool {
	if !open {
		return false
	}
	io.WriteString(w, first.encode())
	for range len(events) {
		next, open := <-events
		if !open {
			return false
		}
		io.WriteString(w, next.encode())
	}
	return true
}

// breakConnection closes the connection before the response is complete.
func breakConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if connection, _, err := hijacker.Hijack(); err == nil {
		connection.Close()
	}
}
