package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is one entry of discovery's list.
type endpoint struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// Lifecycles of an endpoint.
const (
	up       = "up"
	draining = "draining"
	removed  = "removed"
)

type endpointList struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []endpoint `json:"instances"`
}

// discovery serves the list of endpoints, and its changes to watchers.
type discovery struct {
	address string
	rec     *record
	onTold  func(at time.Time, changed []endpoint) // called after changes were written to the manager

	mu       sync.Mutex
	list     map[string]endpoint
	order    []string
	changes  []endpointList // the change that led to generation i+firstGeneration+1
	watchers map[chan struct{}]bool
}

const firstGeneration = 41

func newDiscovery(rec *record, endpoints []endpoint) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: listener.Addr().String(), rec: rec, list: map[string]endpoint{}, watchers: map[chan struct{}]bool{}}
	for _, e := range endpoints {
		d.list[e.ID] = e
		d.order = append(d.order, e.ID)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serve)
	go http.Serve(listener, mux)
	return d, nil
}

// whole returns the complete list.
func (d *discovery) whole() endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := endpointList{Generation: firstGeneration + len(d.changes), Reset: true, Instances: []endpoint{}}
	for _, id := range d.order {
		if d.list[id].Lifecycle != removed {
			list.Instances = append(list.Instances, d.list[id])
		}
	}
	return list
}

// publish adds a change of the list and wakes the watchers.
func (d *discovery) publish(changed ...endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range changed {
		if _, known := d.list[e.ID]; !known {
			d.order = append(d.order, e.ID)
		}
		d.list[e.ID] = e
	}
	d.changes = append(d.changes, endpointList{Generation: firstGeneration + len(d.changes) + 1, Instances: changed})
	for w := range d.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// since returns the changes after a generation.
func (d *discovery) since(generation int) []endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes[min(len(d.changes), generation-firstGeneration):]
}

func (d *discovery) serve(w http.ResponseWriter, request *http.Request) {
	encoder := json.NewEncoder(w) // writes a line feed after each value
	if request.FormValue("watch") == "" {
		encoder.Encode(d.whole())
		return
	}
	after, err := strconv.Atoi(request.FormValue("after"))
	current := firstGeneration + len(d.since(firstGeneration))
	wake := make(chan struct{}, 1)
	d.mu.Lock()
	d.watchers[wake] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.watchers, wake)
	}()
	flusher := http.NewResponseController(w)
	if err != nil || after < firstGeneration || after > current {
		list := d.whole()
		encoder.Encode(list)
		d.told(list)
		after = list.Generation
	} else if after == current {
		encoder.Encode(endpointList{Generation: after, Instances: []endpoint{}})
	}
	flusher.Flush()
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		for _, change := range d.since(after) {
			if encoder.Encode(change) != nil || flusher.Flush() != nil {
				return
			}
			after = change.Generation
			d.told(change)
		}
		select {
		case <-request.Context().Done():
			return
		case <-wake:
		case <-heartbeat.C:
			if _, err := w.Write([]byte("\n")); err != nil || flusher.Flush() != nil {
				return
			}
		}
	}
}

func (d *discovery) told(list endpointList) {
	for _, e := range list.Instances {
		d.rec.write("list %d tells: %s %s started=%d", list.Generation, e.ID, e.Lifecycle, e.StartedAt)
	}
	d.onTold(time.Now(), list.Instances)
}
