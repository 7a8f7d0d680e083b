package scale

import (
	"fmt"
	"time"

	"tamarindshore/internal/fakes"
	"tamarindshore/internal/node"
)

// messageSource generates the messages that the fleet of a scenario sends to a manager, one after another.
type messageSource struct {
	scenario        Scenario
	site            fakes.Site
	reportsSent     int
	listVersion     int
	serverOrder     []int // order in which servers change
	nextServerIndex int   // index into serverOrder
	changesSent     int
}

func newMessageSource(scenario Scenario, site fakes.Site) messageSource {
	return messageSource{scenario: scenario, site: site, listVersion: firstVersion}
}

func (s *messageSource) proxyConnected(proxy int) node.Message {
	zone := s.scenario.zoneOfProxy(s.site, proxy)
	text := fmt.Sprintf("id=%d&site=%s&rps=%g&new=1", proxy, zone, s.site.RequestRate)
	return node.Message{Kind: node.ProxyEventMessage, Event: "joined", Text: text}
}

// heartbeats returns the heartbeats of all streams in one second: the relay sends one every second, discovery every other
// second.
func heartbeats(second time.Duration) []node.Message {
	messages := []node.Message{{Kind: node.HeartbeatMessage, Text: ":\n\n"}}
	if second%2 == 0 {
		messages = append(messages, node.Message{Kind: node.HeartbeatMessage, Text: "\n"})
	}
	return messages
}

// nextReport returns the next message of a collector, alternating between a load report on a server and a usage report on
// a proxy.
func (s *messageSource) nextReport() node.Message {
	n := s.reportsSent / 2
	onServer := s.reportsSent%2 == 0
	s.reportsSent++
	if onServer {
		return s.loadReport(n)
	}
	classes := s.site.TrafficClasses
	class := classes[n/s.scenario.Proxies%len(classes)]
	interval := s.reportInterval(s.scenario.Proxies * len(classes))
	return usageReport(n%s.scenario.Proxies, class.Name, requestsPerReport, interval)
}

// loadReport returns the n-th load report. Reports cover each server in turn, from a different zone in each round.
func (s *messageSource) loadReport(n int) node.Message {
	server := n % s.scenario.Servers
	round := n / s.scenario.Servers
	zone := s.site.Zones[(round+server)%len(s.site.Zones)]
	latency := 100 + float64(n%7)
	inFlight := 1 + n%3
	text := fmt.Sprintf("heard site=%s target=%s count=%d fail=0 mean=%.1f over=%.1f util=inflight:%d",
		zone, fakes.ServerID(server), requestsPerReport, latency, milliseconds(s.reportInterval(s.scenario.Servers)), inFlight)
	return node.Message{Kind: node.LoadReportMessage, Text: text}
}

// usageReport returns a report on the requests of one traffic class at one proxy during an interval.
func usageReport(proxy int, class string, requests int, interval time.Duration) node.Message {
	text := fmt.Sprintf("usage id=%d lane=%s count=%d fail=0 over=%.1f", proxy, class, requests, milliseconds(interval))
	return node.Message{Kind: node.UsageReportMessage, Text: text}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// reportInterval returns the time between two reports on the same subject, at most maxReportInterval. The given number of
// subjects, which are servers or pairs of a proxy and a traffic class, are reported on in turn.
func (s *messageSource) reportInterval(subjects int) time.Duration {
	seconds := float64(subjects) / (s.scenario.Reports / 2)
	return min(maxReportInterval, time.Duration(seconds*float64(time.Second)))
}

// nextListChange returns the next change of the endpoint list, made at the given time. Changes alternate: the given number
// of servers drains, then the same servers come back as new processes.
func (s *messageSource) nextListChange(now time.Duration, servers int) node.Message {
	s.listVersion++
	list := fakes.EndpointList{Version: s.listVersion}
	drain := s.changesSent%2 == 0
	s.changesSent++
	for i := range servers {
		server := s.serverOrder[(s.nextServerIndex+i)%len(s.serverOrder)]
		list.Endpoints = append(list.Endpoints, s.changedEndpoint(server, drain, now))
	}
	if !drain {
		s.nextServerIndex += servers // the drained servers have come back
	}
	return node.Message{Kind: node.EndpointListMessage, Text: encodeList(list)}
}

// changedEndpoint returns a server's entry after a change: draining, or up and started at the given time.
func (s *messageSource) changedEndpoint(server int, drain bool, now time.Duration) fakes.Endpoint {
	if drain {
		return s.scenario.endpoint(s.site, server, "draining")
	}
	endpoint := s.scenario.endpoint(s.site, server, "up")
	endpoint.StartedAtMs = scriptEpoch.Add(now).UnixMilli()
	return endpoint
}
