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

// Lifecycle states of an endpoint, as the platform names them.
const (
	lifecycleUp      = "up"
	lifecycleRemoved = "removed"
)

// Endpoint is one entry of the endpoint list, with the platform's names on the wire.
type Endpoint struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"` // up, draining or removed
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"` // Unix milliseconds; 0: long ago
}

// EndpointList is the complete endpoint list, or changes of it.
type EndpointList struct {
	Version   int        `json:"generation"`
	Complete  bool       `json:"reset"`
	Endpoints []Endpoint `json:"instances"`
}

const (
	firstVersion     = 41   // of the list that discovery starts with
	maxChanges       = 1000 // that discovery remembers, for watchers that resume
	watchBuffer      = 4096 // changes that may wait for one watcher
	watchKeepAlive   = 2 * time.Second
	discoveryHosts   = "/discovery/hosts"
	watchParameter   = "watch"
	versionParameter = "after"
)

// Discovery serves the endpoint list to all that read or watch it. All its methods may be called at any time.
type Discovery struct {
	Address  string
	OnChange func(at time.Time, endpoint Endpoint) // called for each change, once it is queued for the watchers

	mu              sync.Mutex
	version         int
	endpoints       map[string]Endpoint
	order           []string // ids, as first listed
	changes         []EndpointList
	watchers        map[chan []byte]bool
	unresponsive    bool
	watchedVersions []int

	server *http.Server
}

// NewDiscovery listens at an address ("127.0.0.1:0" for any port) with a list.
func NewDiscovery(address string, endpoints []Endpoint) (*Discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start discovery: %w", err)
	}
	d := &Discovery{
		Address:   listener.Addr().String(),
		OnChange:  func(time.Time, Endpoint) {},
		version:   firstVersion,
		endpoints: map[string]Endpoint{},
		watchers:  map[chan []byte]bool{},
	}
	for _, endpoint := range endpoints {
		d.endpoints[endpoint.ID] = endpoint
		d.order = append(d.order, endpoint.ID)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discoveryHosts, d.serveHosts)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(listener)
	return d, nil
}

// Close ends the listener and all watches.
func (d *Discovery) Close() { d.server.Close() }

// WatchedVersions returns the versions from which watchers asked for changes so far, in order.
func (d *Discovery) WatchedVersions() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.watchedVersions)
}

// Snapshot returns the complete list as it stands.
func (d *Discovery) Snapshot() EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

// snapshot is the complete list, without removed endpoints. The caller holds the lock.
func (d *Discovery) snapshot() EndpointList {
	list := EndpointList{Version: d.version, Complete: true, Endpoints: []Endpoint{}}
	for _, id := range d.order {
		if endpoint := d.endpoints[id]; endpoint.Lifecycle != lifecycleRemoved {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// Publish sends changed endpoints to all watchers, as one version.
func (d *Discovery) Publish(endpoints ...Endpoint) {
	d.recordChange(endpoints)
	at := time.Now()
	for _, endpoint := range endpoints {
		d.OnChange(at, endpoint)
	}
}

// recordChange makes a new version and queues it for the watchers. One that fell too far behind is closed; it will
// watch again.
func (d *Discovery) recordChange(endpoints []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, endpoint := range endpoints {
		if _, known := d.endpoints[endpoint.ID]; !known {
			d.order = append(d.order, endpoint.ID)
		}
		d.endpoints[endpoint.ID] = endpoint
	}
	change := EndpointList{Version: d.version, Endpoints: endpoints}
	d.changes = append(d.changes, change)
	d.changes = d.changes[max(0, len(d.changes)-maxChanges):]
	if d.unresponsive {
		return
	}
	line := encodeList(change)
	for watcher := range d.watchers {
		select {
		case watcher <- line:
		default:
			delete(d.watchers, watcher)
			close(watcher)
		}
	}
}

// SetUnresponsive has discovery answer and write nothing, or go on.
func (d *Discovery) SetUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = on
}

func encodeList(list EndpointList) []byte {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // a list has no value that can't be encoded
	}
	return append(text, '\n')
}

// serveHosts answers with the complete list, or serves a watch.
func (d *Discovery) serveHosts(w http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	unresponsive := d.unresponsive
	d.mu.Unlock()
	switch {
	case unresponsive:
		<-request.Context().Done()
	case request.FormValue(watchParameter) == "":
		w.Write(encodeList(d.Snapshot()))
	default:
		d.serveWatch(w, request)
	}
}

// serveWatch writes what changed after the version that the watcher holds, then each change.
func (d *Discovery) serveWatch(w http.ResponseWriter, request *http.Request) {
	held, _ := strconv.Atoi(request.FormValue(versionParameter)) // a watcher without a version gets the complete list
	lines := make(chan []byte, watchBuffer)
	opening := d.addWatcher(lines, held)
	defer d.removeWatcher(lines)
	flusher := w.(http.Flusher)
	w.Write(encodeList(opening))
	flusher.Flush()
	keepAlive := time.NewTicker(watchKeepAlive)
	defer keepAlive.Stop()
	for {
		select {
		case line, open := <-lines:
			if !open {
				return
			}
			w.Write(line)
		case <-keepAlive.C:
			fmt.Fprint(w, "\n")
		case <-request.Context().Done():
			return
		}
		flusher.Flush()
	}
}

// addWatcher registers a watcher that holds a version, and returns what it is to read first.
func (d *Discovery) addWatcher(lines chan []byte, held int) EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchedVersions = append(d.watchedVersions, held)
	d.watchers[lines] = true
	return d.changesAfter(held)
}

func (d *Discovery) removeWatcher(lines chan []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watchers, lines)
}

// changesAfter is what changed after a version, or the complete list where that is not known any more. The caller
// holds the lock.
func (d *Discovery) changesAfter(version int) EndpointList {
	if version == d.version {
		return EndpointList{Version: version, Endpoints: []Endpoint{}}
	}
	for i, change := range d.changes {
		if change.Version != version+1 {
			continue
		}
		all := EndpointList{Version: d.version, Endpoints: []Endpoint{}}
		for _, later := range d.changes[i:] {
			all.Endpoints = append(all.Endpoints, later.Endpoints...)
		}
		return all
	}
	return d.snapshot()
}
