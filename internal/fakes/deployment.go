package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

// anyPort makes a listener choose any free port on loopback.
const anyPort = "127.0.0.1:0"

// statusTimeout limits a request for the manager's counters.
const statusTimeout = 2 * time.Second

// Deployment is a complete deployment on loopback: servers, discovery, a relay and a manager.
type Deployment struct {
	Site           Site
	Servers        []*Server
	Discovery      *Discovery
	Relay          *Relay
	ManagerAddress string
	StatusAddress  string // where the manager serves its counters
	Manager        Manager

	dir           string
	startFunc     StartFunc
	managerStarts uint64
	options       ManagerOptions
}

// StartDeployment starts a deployment and waits until the manager is ready. On failure it closes whatever was started.
func StartDeployment(site Site, options ManagerOptions, start StartFunc) (d *Deployment, err error) {
	d = &Deployment{Site: site, startFunc: start, options: options}
	defer func() {
		if err != nil {
			d.Close()
		}
	}()
	if d.dir, err = os.MkdirTemp("", "tamarindshore-rig-"); err != nil {
		return d, err
	}
	if err := d.startFakes(); err != nil {
		return d, err
	}
	addresses, err := FreeAddresses(2)
	if err != nil {
		return d, err
	}
	d.ManagerAddress = addresses[0]
	d.StatusAddress = addresses[1]
	return d, d.StartManager()
}

// startFakes starts the servers, the relay and discovery. It registers all servers with the relay and reports each change
// of the endpoint list to the relay's rule checker.
func (d *Deployment) startFakes() (err error) {
	if d.Servers, err = NewServers(d.Site); err != nil {
		return err
	}
	var endpoints []Endpoint
	for _, server := range d.Servers {
		endpoints = append(endpoints, server.Entry(lifecycleUp))
	}
	if d.Relay, err = NewRelay(anyPort, d.Site); err != nil {
		return err
	}
	d.Relay.RegisterServers(endpoints...)
	if d.Discovery, err = NewDiscovery(anyPort, endpoints); err != nil {
		return err
	}
	d.Discovery.OnChange = d.Relay.Rules.EndpointChanged
	return nil
}

// StartManager starts the manager with the current endpoint list and waits until it is ready.
func (d *Deployment) StartManager() (err error) {
	d.managerStarts++
	config := ManagerConfig{
		Dir:              d.dir,
		Name:             "n1",
		ListenAddress:    d.ManagerAddress,
		StatusAddress:    d.StatusAddress,
		DiscoveryAddress: d.Discovery.Address,
		RelayAddress:     d.Relay.Address,
		Endpoints:        d.Discovery.Snapshot(),
		Options:          d.options,
	}
	config.Options.Seed += d.managerStarts
	if d.Manager, err = d.Site.StartManager(config, d.startFunc); err != nil {
		return err
	}
	return AwaitReady(d.Manager, d.ManagerAddress, readyTimeout)
}

// Counters fetches the manager's counters from its status address.
func (d *Deployment) Counters() (map[string]int64, error) {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + d.StatusAddress + "/status")
	if err != nil {
		return nil, fmt.Errorf("get the manager's counters from %s: %w", d.StatusAddress, err)
	}
	defer response.Body.Close()
	var status struct {
		Counters map[string]int64 `json:"counters"`
	}
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return nil, fmt.Errorf("decode the manager's counters from %s: %w", d.StatusAddress, err)
	}
	return status.Counters, nil
}

// Close stops everything that was started and removes the temporary files.
func (d *Deployment) Close() {
	if d.Manager != nil {
		d.Manager.Stop(true)
	}
	if d.Discovery != nil {
		d.Discovery.Close()
	}
	if d.Relay != nil {
		d.Relay.Close()
	}
	for _, server := range d.Servers {
		server.Close()
	}
	if d.dir != "" {
		os.RemoveAll(d.dir)
	}
}
