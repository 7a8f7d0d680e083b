package fakes

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

func joinedEvent(p *proxy) string {
	return fmt.Sprintf("event: joined\ndata: id=%d&site=%s&rps=%g&new=1\n\n", p.id, p.zone, p.rate)
}

func (r *Relay) tell(event string) {
	for n := range r.news {
		select {
		case n <- event:
		default: // it fell too far behind
			delete(r.news, n)
			close(n)
		}
	}
}

func (r *Relay) stream(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	if r.away {
		r.mu.Unlock()
		cutOff(w)
		return
	}
	events := make(chan string, 1<<16)
	var standing []string
	for _, p := range r.proxies {
		standing = append(standing, joinedEvent(p))
	}
	slices.Sort(standing)
	r.news[events] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.news, events)
		r.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher)
	io.WriteString(w, strings.Join(standing, ""))
	flush.Flush()
	alive := time.NewTicker(time.Second)
	defer alive.Stop()
	for {
		select {
		case e, ok := <-events:
			io.WriteString(w, e)
			for n := len(events); ok && n > 0; n-- { // each that is taken is written
				if e, ok = <-events; ok {
					io.WriteString(w, e)
				}
			}
			if !ok {
				cutOff(w)
				return
			}
		case <-alive.C:
			io.WriteString(w, ":\n\n")
		case <-r.over:
			cutOff(w)
			return
		}
		flush.Flush()
	}
}

// cutOff breaks a connection without an end of its answer.
func cutOff(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			c.Close()
		}
	}
}
