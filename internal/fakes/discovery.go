package fakes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Entry is one line of the list, in the platform's words.
type Endpoint struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"` // up, draining or removed
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// List is the whole list, or changes of it.
type EndpointList struct {
	Version   int        `json:"generation"`
	Complete  bool       `json:"reset"`
	Endpoints []Endpoint `json:"instances"`
}

// Discovery tells the list to all that watch it.
type Discovery struct {
	Address  string
	OnChange func(at time.Time, e Endpoint) // each change, once it is written to those that watch

	mu      sync.Mutex
	version int
	entries map[string]Endpoint
	order   []string
	changes []EndpointList
	watches map[chan []byte]bool
	server  *http.Server
	silent  bool
	asked   []int // the versions that watches asked from
}

// AskedFrom are the versions that watches asked from so far, in their order.
func (d *Discovery) WatchedVersions() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.asked)
}

// NewDiscovery listens at an address ("127.0.0.1:0" for any port) with the list as it stands.
func NewDiscovery(address string, entries []Endpoint) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), version: 41, entries: map[string]Endpoint{}, watches: map[chan []byte]bool{},
		OnChange: func(time.Time, Endpoint) {}}
	for _, e := range entries {
		d.entries[e.ID], d.order = e, append(d.order, e.ID)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.hosts)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d, nil
}

// Close ends it, and all watches.
func (d *Discovery) Close() { d.server.Close() }

// Whole is the list as it stands.
func (d *Discovery) Snapshot() EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *Discovery) whole() EndpointList {
	l := EndpointList{Version: d.version, Complete: true, Endpoints: []Endpoint{}}
	for _, id := range d.order {
		if e := d.entries[id]; e.Lifecycle != "removed" {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

// Change tells changed entries to all that watch, as one version.
func (d *Discovery) Publish(entries ...Endpoint) {
	d.mu.Lock()
	d.version++
	for _, e := range entries {
		if _, known := d.entries[e.ID]; !known {
			d.order = append(d.order, e.ID)
		}
		d.entries[e.ID] = e
	}
	l := EndpointList{Version: d.version, Endpoints: entries}
	d.changes = append(d.changes, l)
	d.changes = d.changes[max(0, len(d.changes)-1000):]
	line := encode(l)
	if !d.silent {
		for w := range d.watches {
			select {
			case w <- line:
			default: // it stands still; it will ask again
				delete(d.watches, w)
				close(w)
			}
		}
	}
	d.mu.Unlock()
	at := time.Now()
	for _, e := range entries {
		d.OnChange(at, e)
	}
}

// Silence makes it answer nothing and write nothing, or go on.
func (d *Discovery) SetUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
}

func encode(l EndpointList) []byte {
	text, _ := json.Marshal(l)
	return append(text, '\n')
}

func (d *Discovery) hosts(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	if d.silent {
		d.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if r.FormValue("watch") == "" {
		text := encode(d.whole())
		d.mu.Unlock()
		w.Write(text)
		return
	}
	after, _ := strconv.Atoi(r.FormValue("after"))
	d.asked = append(d.asked, after)
	first := d.since(after)
	lines := make(chan []byte, 4096)
	d.watches[lines] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, lines)
		d.mu.Unlock()
	}()
	w.Write(encode(first))
	flush := w.(http.Flusher)
	flush.Flush()
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				return
			}
			w.Write(line)
		case <-idle.C:
			fmt.Fprint(w, "\n")
		case <-r.Context().Done():
			return
		}
		flush.Flush()
	}
}

// since is what changed after a version, or else the whole list.
func (d *Discovery) since(version int) EndpointList {
	if len(d.changes) == 0 && version == d.version {
		return EndpointList{Version: version, Endpoints: []Endpoint{}}
	}
	for i, c := range d.changes {
		if c.Version == version+1 {
			all := EndpointList{Version: d.version, Endpoints: []Endpoint{}}
			for _, later := range d.changes[i:] {
				all.Endpoints = append(all.Endpoints, later.Endpoints...)
			}
			return all
		}
	}
	if version == d.version {
		return EndpointList{Version: version, Endpoints: []Endpoint{}}
	}
	return d.whole()
}
