package node

// Status answers staff at a listener of their own, off unless the operator's settings name its address: what the
// manager is, its counters and its lanes. It must never change anything, and never hold up another stage.

import (
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ShardStatus is one lane as staff see it.
type ShardStatus struct {
	Cores       float64 `json:"cores"`
	Connections int     `json:"connections"`
	BusySeconds float64 `json:"busy_s"` // at the piece in hand; 0: it waits
}

// Status is what a manager tells of itself.
type Status struct {
	Name           string           `json:"name"`
	UptimeSeconds  float64          `json:"uptime_s"`
	Ready          bool             `json:"ready"`
	Shards         []ShardStatus    `json:"lanes"`
	SamplesWaiting int              `json:"samples_waiting"`
	List           ListStatus       `json:"list"`
	Counters       map[string]int64 `json:"counters"`
}

// ListStatus is the server list that a manager goes by, as staff see it.
type ListStatus struct {
	Version    int64   `json:"version"`
	AgeSeconds float64 `json:"age_s"`     // since discovery told it or stood by it, or since the manager began with it
	Confirmed  bool    `json:"confirmed"` // by discovery, since the manager began
}

func (n *Node) currentStatus() Status {
	s := Status{Name: n.config.Name, UptimeSeconds: roundedSeconds(time.Since(n.startedAt)), Counters: map[string]int64{}}
	for c, name := range counterNames {
		s.Counters[name] = n.metrics.counts[c].Load()
	}
	s.Ready = n.readiness.ready()
	held := n.watchState.held(time.Now())
	s.List = ListStatus{Version: held.version, AgeSeconds: roundedSeconds(held.age), Confirmed: held.confirmed}
	if h := n.decoderPool; h != nil {
		h.mu.Lock()
		cores, conns := h.assigner.LoadByShard()
		for i, w := range h.workers {
			l := ShardStatus{Cores: cores[i], Connections: conns[i]}
			if busy, working := w.busyFor(h.now()); working {
				l.BusySeconds = roundedSeconds(busy)
			}
			s.Shards = append(s.Shards, l)
		}
		h.mu.Unlock()
		s.SamplesWaiting = h.samples.len()
	}
	return s
}

// startStatus listens at an address until the manager ends.
func (n *Node) startStatus(address string) error {
	at, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &fasthttp.Server{
		Concurrency: 8, ReadTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: 5 * time.Second,
		MaxRequestBodySize: 1 << 10, NoDefaultServerHeader: true, GetOnly: true, Logger: discardLogger{},
		Handler: func(c *fasthttp.RequestCtx) {
			if string(c.Path()) != "/status" {
				c.Error("known is /status", fasthttp.StatusNotFound)
				return
			}
			text, err := json.MarshalIndent(n.currentStatus(), "", "  ")
			if err != nil {
				c.Error(err.Error(), fasthttp.StatusInternalServerError)
				return
			}
			c.SetContentType("application/json")
			c.Write(append(text, '\n'))
		},
	}
	go server.Serve(at)
	n.operatorListeners = append(n.operatorListeners, at)
	return nil
}

// discardLogger drops what the HTTP library says of single connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
