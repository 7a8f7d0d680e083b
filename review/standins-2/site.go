package main

import (
	"encoding/json"
	"time"
)

// The figures of the site: those of the deployment akl-dispatch at a small size.
const (
	commandsPerSecond = 8600.0
	queueCapacity     = 8600.0
	messageOverhead   = 4.0
	emptyLimit        = 2100 * time.Millisecond // domain.emptyForUs
	drainGrace        = 2000 * time.Millisecond // rules.drainGraceUs
	warmAfter         = 16 * time.Second        // rules.warmAfterUs
	socketSlack       = 300 * time.Millisecond  // by which the time limits are longer on sockets
	firstAnswerSlack  = time.Second             // time limits begin no sooner after the first answer
	requestsPerProxy  = 13.0                    // per second, over all classes
)

// class is a traffic class of the site.
type class struct {
	name     string
	share    float64 // of the requests
	repeat   string
	aim      time.Duration
	deadline time.Duration
	worth    float64
	homeOnly bool // requests go only to servers in the zone of the proxy
}

// site is what the manager is told about the deployment.
type site struct {
	zones   []zone
	classes []class
}

// zone is a zone of the site, with the numbers of its servers and of its proxies.
type zone struct {
	name             string
	servers, proxies int
}

// proxies returns the number of all proxies.
func (s site) proxies() (n int) {
	for _, z := range s.zones {
		n += z.proxies
	}
	return n
}

// settings returns the settings object of the manager's configuration.
func (s site) settings() map[string]any {
	var zones []string
	for _, z := range s.zones {
		zones = append(zones, z.name)
	}
	var classes []map[string]any
	var homeOnly, writes []bool
	for _, c := range s.classes {
		classes = append(classes, map[string]any{
			"name": c.name, "aimUs": c.aim.Microseconds(), "hardLimitUs": c.deadline.Microseconds(), "worth": c.worth,
			"repeat": c.repeat, "group": "all", "lateShare": 0.1, "windowUs": 5000000,
		})
		homeOnly = append(homeOnly, c.homeOnly)
		writes = append(writes, c.repeat == "at_most_once")
	}
	return map[string]any{
		"zones": zones, "classes": classes, "membershipMode": "push", "peersTotal": 1, "me": 0, "family": "control",
		"weightSource": "rough", "worthBy": "request", "shapes": []string{"fast", "base"},
		"report": map[string]any{"how": "piggyback", "fields": []string{"outstanding"}},
		"limits": map[string]any{"connIdleUs": 15000000, "connectTimeoutUs": 300000, "cpuUsPerS": 400000, "maxStreams": 32,
			"peerMessages": false, "probing": true},
		"domain": map[string]any{
			"admit": "share", "byZone": false, "egressPerS": commandsPerSecond, "emptyForUs": emptyLimit.Microseconds(),
			"envelope": messageOverhead, "homeOnly": homeOnly, "initialSet": 12, "keepsWritingUs": 2500000, "lineFee": 0.02,
			"messagesMost": 0, "movePrice": 0.01, "oneOwner": false, "outlierAfter": 8, "parkUs": 300000,
			"periodUs": 1000000, "pick": "weighted", "propagationUs": 218000, "proxies": s.proxies(),
			"queueCap": queueCapacity, "ranges": 0, "reloadSpanUs": 10000000, "reportsPerS": 600, "socketsMin": 194,
			"tryAims": 0.8, "usualHow": 1, "worstTransitUs": 545000, "writeClasses": writes, "writeLifeUs": 4020000,
		},
		"rules": map[string]any{"askEveryUs": 10000000, "coldFrom": 0.15, "drainGraceUs": drainGrace.Microseconds(),
			"overloadFactor": 2.5, "overloadForUs": 2000000, "warmAfterUs": warmAfter.Microseconds()},
	}
}

// configuration returns the manager's configuration file.
func (s site) configuration(listen, discovery, relay string, known endpointList, seed string) []byte {
	text, err := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": seed,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"store":    map[string]any{"address": relay},
		"known":    known,
		"settings": s.settings(),
	}, "", " ")
	if err != nil {
		panic(err) // every value can be encoded
	}
	return text
}
