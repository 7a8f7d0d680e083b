package fakes

import (
	"encoding/json"
	"net/http"
	"os"
	"time"
)

// Rig is a whole deployment on loopback: servers, discovery, a relay, and a manager.
type Deployment struct {
	Site           Site
	Servers        []*Server
	Discovery      *Discovery
	Relay          *Relay
	ManagerAddress string // its address
	StatusAddress  string // of its status listener
	Manager        Manager

	dir      string
	begin    StartFunc
	restarts uint64
	how      ManagerOptions
}

// Raise starts all of a rig and waits until the manager is ready. What was started is closed where it fails.
func StartDeployment(site Site, how ManagerOptions, begin StartFunc) (r *Deployment, err error) {
	r = &Deployment{Site: site, begin: begin, how: how}
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
	var entries []Endpoint
	for _, s := range r.Servers {
		entries = append(entries, s.Entry("up"))
	}
	if r.Relay, err = NewRelay("127.0.0.1:0", site); err != nil {
		return r, err
	}
	r.Relay.RegisterServers(entries...)
	if r.Discovery, err = NewDiscovery("127.0.0.1:0", entries); err != nil {
		return r, err
	}
	r.Discovery.OnChange = func(at time.Time, e Endpoint) { r.Relay.Rules.EndpointChanged(at, e) }
	addresses, err := FreeAddresses(2)
	if err != nil {
		return r, err
	}
	r.ManagerAddress, r.StatusAddress = addresses[0], addresses[1]
	return r, r.StartManager()
}

// Begin starts the manager, with the list as it stands, and waits until it is ready.
func (r *Deployment) StartManager() (err error) {
	r.restarts++
	start := ManagerConfig{Dir: r.dir, Name: "n1", ListenAddress: r.ManagerAddress, StatusAddress: r.StatusAddress, DiscoveryAddress: r.Discovery.Address, RelayAddress: r.Relay.Address,
		Endpoints: r.Discovery.Snapshot(), Options: r.how}
	start.Options.Seed += r.restarts
	if r.Manager, err = r.Site.StartManager(start, r.begin); err != nil {
		return err
	}
	return AwaitReady(r.Manager, r.ManagerAddress, readyMost)
}

// Counters are the manager's, by its status listener.
func (r *Deployment) Counters() (map[string]int64, error) {
	c := http.Client{Timeout: 2 * time.Second}
	answer, err := c.Get("http://" + r.StatusAddress + "/status")
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
func (r *Deployment) Close() {
	if r.Manager != nil {
		r.Manager.Stop(true)
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
