package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

// anyPort is an address on loopback with any free port.
const anyPort = "127.0.0.1:0"

// statusTimeout is how long a manager may take to answer for its counters.
const statusTimeout = 2 * time.Second

// Deployment is a whole deployment on loopback: servers, discovery, a relay and a manager.
type Deployment struct {
	Site           Site
	Servers        []*Server
	Discovery      *Discovery
	Relay          *Relay
	ManagerAddress string
	StatusAddress  string // of the manager's status listener
	Manager        Manager

	dir     string
	start   StartFunc
	starts  uint64
	options ManagerOptions
}

// StartDeployment starts a deployment and waits until the manager is ready. What was started is closed where it fails.
func StartDeployment(site Site, options ManagerOptions, start StartFunc) (d *Deployment, err error) {
	d = &Deployment{Site: site, start: start, options: options}
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

// startFakes starts servers, relay and discovery. The relay knows all servers, and its rules each change of the list.
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

// StartManager starts the manager, with the list as it stands, and waits until it is ready.
func (d *Deployment) StartManager() (err error) {
	d.starts++
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
	config.Options.Seed += d.starts
	if d.Manager, err = d.Site.StartManager(config, d.start); err != nil {
		return err
	}
	return AwaitReady(d.Manager, d.ManagerAddress, readyTimeout)
}

// Counters reads the manager's counters from its status listener.
func (d *Deployment) Counters() (map[string]int64, error) {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + d.StatusAddress + "/status")
	if err != nil {
		return nil, fmt.Errorf("ask the manager for its counters: %w", err)
	}
	defer response.Body.Close()
	var status struct {
		Counters map[string]int64 `json:"counters"`
	}
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return nil, fmt.Errorf("read the manager's counters: %w", err)
	}
	return status.Counters, nil
}

// Close ends all that was started and removes its files.
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
