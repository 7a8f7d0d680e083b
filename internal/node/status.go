package node

// This file serves the status page to operators on an HTTP listener of its own. The operator's settings name its address;
// without that setting there is no listener. It is read-only and must not delay other goroutines.

import (
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ShardStatus is the status of a shard of the decoder pool.
type ShardStatus struct {
	Cores       float64 `json:"cores"`
	Connections int     `json:"connections"`
	BusySeconds float64 `json:"busy_s"` // time spent on the current chunk so far; 0 if idle
}

// Status is the response to GET /status.
type Status struct {
	Name           string           `json:"name"`
	UptimeSeconds  float64          `json:"uptime_s"`
	Ready          bool             `json:"ready"`
	Shards         []ShardStatus    `json:"lanes"`
	SamplesWaiting int              `json:"samples_waiting"`
	List           ListStatus       `json:"list"`
	Counters       map[string]int64 `json:"counters"`
}

// ListStatus is the status of the endpoint list that a manager uses.
type ListStatus struct {
	Version    int64   `json:"version"`
	AgeSeconds float64 `json:"age_s"`     // since discovery last sent or confirmed the list, or since the manager started
	Confirmed  bool    `json:"confirmed"` // whether discovery has sent or confirmed the list since the manager started
}

func (n *Node) currentStatus() Status {
	now := time.Now()
	list := n.watchState.current(now)
	status := Status{
		Name:          n.config.Name,
		UptimeSeconds: roundedSeconds(now.Sub(n.startedAt)),
		Ready:         n.readiness.ready(),
		List:          ListStatus{Version: list.version, AgeSeconds: roundedSeconds(list.age), Confirmed: list.confirmed},
		Counters:      n.metrics.values(),
	}
	if n.decoderPool != nil {
		status.Shards = n.decoderPool.status()
		status.SamplesWaiting = n.decoderPool.samples.len()
	}
	return status
}

// status returns the status of each shard, indexed by shard number.
func (p *decoderPool) status() (shards []ShardStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cores, conns := p.assigner.LoadByShard()
	for i, worker := range p.workers {
		shard := ShardStatus{Cores: cores[i], Connections: conns[i]}
		if busy, working := worker.busyFor(p.now()); working {
			shard.BusySeconds = roundedSeconds(busy)
		}
		shards = append(shards, shard)
	}
	return shards
}

// statusPath is the path of the status page.
const statusPath = "/status"

// startStatus serves the status page on an address until the manager ends.
func (n *Node) startStatus(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &fasthttp.Server{
		Handler:               n.serveStatus,
		Concurrency:           8,
		ReadTimeout:           time.Second,
		WriteTimeout:          time.Second,
		IdleTimeout:           5 * time.Second,
		MaxRequestBodySize:    1 << 10,
		NoDefaultServerHeader: true,
		GetOnly:               true,
		Logger:                discardLogger{},
	}
	go server.Serve(listener) // until the listener is closed
	n.operatorListeners = append(n.operatorListeners, listener)
	return nil
}

func (n *Node) serveStatus(c *fasthttp.RequestCtx) {
	if string(c.Path()) != statusPath {
		c.Error("not found; the status is at "+statusPath, fasthttp.StatusNotFound)
		return
	}
	text, err := json.MarshalIndent(n.currentStatus(), "", "  ")
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.Write(append(text, '\n'))
}

// discardLogger drops the messages that the HTTP library logs about single connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
