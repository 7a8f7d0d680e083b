package node

// This file answers operators at an HTTP listener of their own, which the operator's settings name; without them there is
// none. It must never change anything, nor hold up other goroutines.

import (
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ShardStatus is one shard of the decoder pool.
type ShardStatus struct {
	Cores       float64 `json:"cores"`
	Connections int     `json:"connections"`
	BusySeconds float64 `json:"busy_s"` // with the present chunk; 0: it waits
}

// Status is what GET /status answers.
type Status struct {
	Name           string           `json:"name"`
	UptimeSeconds  float64          `json:"uptime_s"`
	Ready          bool             `json:"ready"`
	Shards         []ShardStatus    `json:"lanes"`
	SamplesWaiting int              `json:"samples_waiting"`
	List           ListStatus       `json:"list"`
	Counters       map[string]int64 `json:"counters"`
}

// ListStatus is the endpoint list that a manager uses.
type ListStatus struct {
	Version    int64   `json:"version"`
	AgeSeconds float64 `json:"age_s"`     // since discovery sent or confirmed it, or since the manager started with it
	Confirmed  bool    `json:"confirmed"` // by discovery, since the manager started
}

func (n *Node) currentStatus() Status {
	now := time.Now()
	held := n.watchState.held(now)
	status := Status{
		Name:          n.config.Name,
		UptimeSeconds: roundedSeconds(now.Sub(n.startedAt)),
		Ready:         n.readiness.ready(),
		List:          ListStatus{Version: held.version, AgeSeconds: roundedSeconds(held.age), Confirmed: held.confirmed},
		Counters:      n.metrics.values(),
	}
	if n.decoderPool != nil {
		status.Shards = n.decoderPool.status()
		status.SamplesWaiting = n.decoderPool.samples.len()
	}
	return status
}

// status gives the state of each shard, by its number.
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

// statusPath is where operators get the status.
const statusPath = "/status"

// startStatus serves the status at an address until the manager ends.
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
		c.Error("known is "+statusPath, fasthttp.StatusNotFound)
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

// discardLogger drops what the HTTP library logs about single connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
