package node

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"tamarindshore/balancer"
)

// instance is a server in discovery's list, as encoded on the wire.
type instance struct {
	InstanceID  string   `json:"instanceId"`
	HostPort    string   `json:"hostPort"`
	Zone        string   `json:"zone"`
	Lifecycle   string   `json:"lifecycle"`
	Weight      *float64 `json:"weight"`
	StartedAtMs int64    `json:"startedAtMs"`
}

// Lifecycle states of an instance.
const (
	lifecycleUp       = "up"
	lifecycleDraining = "draining"
	lifecycleRemoved  = "removed"
)

// maxWeight is the maximum weight of a server.
const maxWeight = 1e9

var errMissingGeneration error = &fieldError{field: "generation", problem: "is missing"}

// parseList decodes a snapshot of the list or changes to it. Entries of unknown zones are ignored and counted in unknown.
// The error for an invalid field names the field.
func (d *decoder) parseList(text []byte) (list endpointList, unknown int, err error) {
	var message struct {
		Generation *int64     `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []instance `json:"instances"`
	}
	if err := json.Unmarshal(text, &message); err != nil {
		return list, 0, err
	}
	if message.Generation == nil {
		return list, 0, errMissingGeneration
	}
	return d.checkList(*message.Generation, message.Reset, message.Instances)
}

// checkList validates the servers of a list. Entries of unknown zones are ignored and counted in unknown.
func (d *decoder) checkList(version int64, snapshot bool, instances []instance) (list endpointList, unknown int, err error) {
	list = endpointList{version: version, snapshot: snapshot, addresses: map[balancer.ServerID]string{}, instances: instances}
	for i, server := range instances {
		entry, err := d.checkInstance(server)
		if err == errUnknownName {
			unknown++
			continue
		}
		if err != nil {
			return endpointList{}, 0, fmt.Errorf("instances[%d].%w", i, err)
		}
		list.entries = append(list.entries, entry)
		if server.HostPort != "" { // a removed server may lack its address; the known one is kept for health checks
			list.addresses[entry.Server] = server.HostPort
		}
	}
	return list, unknown, nil
}

// checkInstance validates a server of the list. The error is errUnknownName if its zone is unknown.
func (d *decoder) checkInstance(server instance) (entry balancer.Endpoint, err error) {
	entry = balancer.Endpoint{Server: balancer.ServerID(server.InstanceID), Weight: 1}
	switch server.Lifecycle {
	case lifecycleUp:
	case lifecycleDraining:
		entry.State = balancer.Draining
	case lifecycleRemoved:
		entry.State = balancer.Removed
	default:
		return entry, &fieldError{"lifecycle", fmt.Sprintf("%q is not up, draining or removed", server.Lifecycle)}
	}
	if server.InstanceID == "" || strings.ContainsAny(server.InstanceID, ",; \t\r\n") {
		return entry, &fieldError{"instanceId", fmt.Sprintf("%q is empty or contains white space, a comma or a semicolon", server.InstanceID)}
	}
	if server.Weight != nil {
		entry.Weight = *server.Weight
	}
	if entry.Weight < 0 || entry.Weight > maxWeight {
		return entry, &fieldError{"weight", fmt.Sprintf("%v is not between 0 and 1e9", entry.Weight)}
	}
	zone, ok := d.zones[server.Zone]
	if !ok {
		return entry, errUnknownName
	}
	entry.Zone = zone
	if server.StartedAtMs > 0 {
		entry.Started = time.UnixMilli(server.StartedAtMs).Sub(d.startedAt.Round(0))
		entry.RecentlyStarted = true
	}
	return entry, nil
}
