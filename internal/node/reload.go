package node

import (
	"fmt"
	"reflect"
	"strings"

	"tamarindshore/internal/config"
)

// reload moves a running manager to the configuration as it was read again, make before break; false where that is
// invalid, which changes nothing. A stream is opened at a new address at once, while the old upstream serves until the
// new one has sent something. Settings that only count at the start are named in the log. It must never touch what the
// balancer learnt, nor apply a part of a file.
func (n *Node) reload(r *receiver, next config.Config, err error) bool {
	if err == nil {
		err = n.checkEndpointList(next)
	}
	if err != nil {
		n.metrics.add(reloadsFailed, 1)
		n.metrics.logEvent("reload_failed", "error", err)
		return false
	}
	n.reloadKeys()
	n.metrics.add(reloads, 1)
	ignored := ignoredChanges(n.config, next)
	n.metrics.logEvent("reload", "discovery", next.Discovery, "relay", next.Relay, "ignored", strings.Join(ignored, ","))
	if next.Relay != n.config.Relay {
		n.relay.setAddress(next.Relay)
		n.proxyEvents = n.proxyEvents.successor(n.lifetime, next.Relay)
		go r.runProxyEvents(n.proxyEvents)
	}
	if next.Discovery != n.config.Discovery {
		n.endpointWatch = n.endpointWatch.successor(n.lifetime, next.Discovery)
		go n.runWatch(r, n.endpointWatch, true)
	}
	n.config.Relay = next.Relay
	n.config.Discovery = next.Discovery
	return true
}

// checkKnown checks the list that a configuration gives.
func (n *Node) checkEndpointList(next config.Config) error {
	if _, _, err := n.decoder.parseList(next.CachedEndpointList); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// reloadKeys reads the keys of tables again; where they are invalid, those in force stay.
func (n *Node) reloadKeys() {
	if n.router.feed == nil {
		return
	}
	keys, err := readKeys(n.config.KeyFile)
	if err != nil {
		n.metrics.logEvent("keys_reload_failed", "error", err)
		return
	}
	n.router.feed.keys.Store(&keys)
}

// ignoredChanges names the settings that differ and only count at the start.
func ignoredChanges(current, next config.Config) (keys []string) {
	sameSettings := reflect.DeepEqual(current.Balancer, next.Balancer) && reflect.DeepEqual(current.ClassNames, next.ClassNames) &&
		current.ServersReportLoad == next.ServersReportLoad
	for _, setting := range []struct {
		key  string
		same bool
	}{
		{"name", current.Name == next.Name},
		{"listen", current.Listen == next.Listen},
		{"limits", current.Limits == next.Limits},
		{"settings", sameSettings},
	} {
		if !setting.same {
			keys = append(keys, setting.key)
		}
	}
	return keys
}
