package node

import (
	"fmt"
	"reflect"
	"strings"

	"tamarindshore/internal/config"
)

// reload applies a reread configuration to the running manager. It returns false and changes nothing if the configuration
// is invalid; a file is never applied in part. If an address changed, a stream is opened at the new one at once, and the
// old upstream stays in use until the new one has sent its first line. Changed settings that take effect only at a restart
// are named in the log. A reload must never change the balancer's state.
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

// checkEndpointList returns an error if the cached endpoint list of a configuration is invalid.
func (n *Node) checkEndpointList(next config.Config) error {
	if _, _, err := n.decoder.parseList(next.CachedEndpointList); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// reloadKeys rereads the keys that sign versions. If they are invalid, the current keys stay in use.
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

// ignoredChanges returns the keys of the changed settings that take effect only at a restart.
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
