package fakes

import (
	"encoding/json"
	"net/http"
	"os"
	"time"
)

// Rig is a whole deployment on loopback: servers, discovery, a relay, and a manager.
type Rig struct {
	Site      Site
	Servers   []*Server
	Discovery *Discovery
	Relay     *Relay
	Manager   string // its address
	Status    string // of its status listener
	Daemon    Daemon

	dir      string
	begin    Begin
	restarts uint64
	how      How
}

// Raise starts all of a rig and waits until the manager is ready. What was started is closed where it fails.
func Raise(site Site, how How, begin Begin) (r *Rig, err error) {
	r = &Rig{Site: site, begin: begin, how: how}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if r.dir, err = os.MkdirTemp("", "tamarindshore-rig-"); err != nil {
		return r, err
	}
	if r.Servers, err = NewServers(site); err != nil {
		return r, err
	}
	var entries []Entry
	for _, s := range r.Servers {
		entries = append(entries, s.Entry("up"))
	}
	if r.Relay, err = NewRelay("127.0.0.1:0", site); err != nil {
		return r, err
	}
	r.Relay.Knows(entries...)
	if r.Discovery, err = NewDiscovery("127.0.0.1:0", entries); err != nil {
		return r, err
	}
	r.Discovery.Told = func(at time.Time, e Entry) { r.Relay.Rules.Told(at, e) }
	addresses, err := FreeAddresses(2)
	if err != nil {
		return r, err
	}
	r.Manager, r.Status = addresses[0], addresses[1]
	return r, r.Begin()
}

// Begin starts the manager, with the list as it stands, and waits until it is ready.
func (r *Rig) Begin() (err error) {
	r.restarts++
	start := ManagerStart{Dir: r.dir, Name: "n1", Listen: r.Manager, Status: r.Status, Discovery: r.Discovery.Address, Relay: r.Relay.Address,
		List: r.Discovery.Whole(), How: r.how}
	start.How.Seed += r.restarts
	if r.Daemon, err = r.Site.StartManager(start, r.begin); err != nil {
		return err
	}
	return AwaitReady(r.Daemon, r.Manager, readyMost)
}

// Counters are the manager's, by its status listener.
func (r *Rig) Counters() (map[string]int64, error) {
	c := http.Client{Timeout: 2 * time.Second}
	answer, err := c.Get("http://" + r.Status + "/status")
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var told struct {
		Counters map[string]int64 `json:"counters"`
	}
	err = json.NewDecoder(answer.Body).Decode(&told)
	return told.Counters, err
}

// Close ends all that was started and removes its files.
func (r *Rig) Close() {
	if r.Daemon != nil {
		r.Daemon.Stop(true)
	}
	if r.Discovery != nil {
		r.Discovery.Close()
	}
	if r.Relay != nil {
		r.Relay.Close()
	}
	for _, s := range r.Servers {
		s.Close()
	}
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}
