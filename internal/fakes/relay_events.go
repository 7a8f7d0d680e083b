package fakes

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	eventBuffer     = 1 << 16 // events that may wait for one watcher
	eventsKeepAlive = time.Second
	keepAliveLine   = ":\n\n"
)

// publish sends an event to all watchers. One that fell too far behind is closed. The caller holds the lock.
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

// serveEvents writes all connected proxies, then each event.
func (r *Relay) serveEvents(w http.ResponseWriter, _ *http.Request) {
	events := make(chan event, eventBuffer)
	opening, ok := r.addWatcher(events)
	if !ok {
		breakConnection(w)
		return
	}
	defer r.removeWatcher(events)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	io.WriteString(w, opening)
	flusher.Flush()
	keepAlive := time.NewTicker(eventsKeepAlive)
	defer keepAlive.Stop()
	for {
		select {
		case e, open := <-events:
			if !writeWaiting(w, events, e, open) {
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

// addWatcher registers a watcher, and returns the events of all connected proxies; false while the relay is away.
func (r *Relay) addWatcher(events chan event) (opening string, ok bool) {
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

// writeWaiting writes an event and all that wait behind it; false once the watcher was closed.
func writeWaiting(w io.Writer, events <-chan event, first event, open bool) bool {
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

// breakConnection closes a connection without the end of its answer.
func breakConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if connection, _, err := hijacker.Hijack(); err == nil {
		connection.Close()
	}
}
