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

// Lifecycle values of an endpoint on the wire.
const (
	lifecycleUp      = "up"
	lifecycleRemoved = "removed"
)

// Endpoint is one entry of the endpoint list. The tags are the platform's field names.
type Endpoint struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Lifecycle   string  `json:"lifecycle"` // up, draining or removed
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // start time in Unix milliseconds; 0 if the server started long ago
}

// EndpointList is either the complete endpoint list or a set of changes to it.
type EndpointList struct {
	Version   int        `json:"generation"`
	Complete  bool       `json:"reset"`
	Endpoints []Endpoint `json:"instances"`
}

const (
	firstVersion      = 41   // version of the initial list
	maxChanges        = 1000 // number of past changes kept for watchers that resume
	watchBufferLength = 4096 // maximum number of changes queued for one watcher
	watchKeepAlive    = 2 * time.Second
	discoveryPath     = "/discovery/hosts"
	watchParameter    = "watch"
	versionParameter  = "after"
)

// Discovery serves the endpoint list to clients that read or watch it. Its methods are safe for concurrent use.
type Discovery struct {
	Address  string
	OnChange func(at time.Time, endpoint Endpoint) // called per changed endpoint, after the change is queued for watchers

	mu              sync.Mutex
	version         int
	endpoints       map[string]Endpoint
	order           []string // endpoint IDs in the order of their first appearance
	changes         []EndpointList
	watchers        map[chan []byte]bool
	unresponsive    bool
	watchedVersions []int

	server *http.Server
}

// NewDiscovery starts a discovery service that listens on an address ("127.0.0.1:0" for any port) and serves the given
// endpoints.
func NewDiscovery(address string, endpoints []Endpoint) (*Discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start discovery on %s: %w", address, err)
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
	mux.HandleFunc("GET "+discoveryPath, d.serveHosts)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(listener)
	return d, nil
}

// Close closes the listener and all connections.
func (d *Discovery) Close() { d.server.Close() }

// WatchedVersions returns the versions from which watchers have requested changes so far, in order of the requests.
func (d *Discovery) WatchedVersions() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.watchedVersions)
}

// Snapshot returns the complete current list.
func (d *Discovery) Snapshot() EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

// snapshot returns the complete list without removed endpoints. The caller holds the lock.
func (d *Discovery) snapshot() EndpointList {
	list := EndpointList{Version: d.version, Complete: true, Endpoints: []Endpoint{}}
	for _, id := range d.order {
		if endpoint := d.endpoints[id]; endpoint.Lifecycle != lifecycleRemoved {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// Publish sends changed endpoints to all watchers as one new version.
func (d *Discovery) Publish(endpoints ...Endpoint) {
	d.recordChange(endpoints)
	at := time.Now()
	for _, endpoint := range endpoints {
		d.OnChange(at, endpoint)
	}
}

// recordChange creates a new version and queues it for the watchers. It closes a watcher whose queue is full; the client
// is expected to watch again.
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

// SetUnresponsive makes discovery leave requests unanswered and send no changes to watchers, or ends that.
func (d *Discovery) SetUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = on
}

func encodeList(list EndpointList) []byte {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // every field of a list can be encoded as JSON
	}
	return append(text, '\n')
}

// serveHosts answers with the complete list or serves a watch.
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

// serveWatch writes the changes after the version that the watcher already has, then each new change.
func (d *Discovery) serveWatch(w http.ResponseWriter, request *http.Request) {
	watchedVersion, _ := strconv.Atoi(request.FormValue(versionParameter)) // 0, for the complete list, if missing or invalid
	lines := make(chan []byte, watchBufferLength)
	initial := d.addWatcher(lines, watchedVersion)
	defer d.removeWatcher(lines)
	flusher := w.(http.Flusher)
	w.Write(encodeList(initial))
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

// addWatcher registers a watcher that already has a version, and returns the first list to send to it.
func (d *Discovery) addWatcher(lines chan []byte, watchedVersion int) EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchedVersions = append(d.watchedVersions, watchedVersion)
	d.watchers[lines] = true
	return d.changesAfter(watchedVersion)
}

func (d *Discovery) removeWatcher(lines chan []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watchers, lines)
}

// changesAfter returns the changes after a version, or the complete list if they are no longer kept. The caller holds the
// lock.
func (d *Discovery) changesAfter(version int) EndpointList {
	if version == d.version {
		return EndpointList{Version: version, Endpoints: []Endpoint{}}
	}
	for i, change := range d.changes {
		if change.Version != version+1 {
			continue
		}
		merged := EndpointList{Version: d.version, Endpoints: []Endpoint{}}
		for _, later := range d.changes[i:] {
			merged.Endpoints = append(merged.Endpoints, later.Endpoints...)
		}
		return merged
	}
	return d.snapshot()
}
