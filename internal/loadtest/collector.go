package loadtest

import (
	"fmt"

	"tamarindshore/internal/fakes"
)

// messageLoop is what one collector reports within a second: its messages are sent over and over.
type messageLoop struct {
	zone string
	text []byte // of one round
	ends []int  // where each message ends in it
	next int    // the message that is sent next
}

// newMessageLoops shares all reports of a second among the collectors of each zone: a load report for each server and
// zone, and a usage report for each proxy and traffic class.
func newMessageLoops(site fakes.Site, collectorsPerZone int) []*messageLoop {
	var loops []*messageLoop
	for zoneIndex, zone := range site.Zones {
		for collector := range collectorsPerZone {
			loop := &messageLoop{zone: zone}
			loop.addLoadReports(site, collector, collectorsPerZone)
			loop.addUsageReports(site, zoneIndex, collector, collectorsPerZone)
			loops = append(loops, loop)
		}
	}
	return loops
}

// addLoadReports adds a collector's part of the load reports.
func (l *messageLoop) addLoadReports(site fakes.Site, collector, collectorsPerZone int) {
	attempts := site.RequestRate * float64(site.Proxies) / float64(site.Servers*len(site.Zones))
	for server := collector; server < site.Servers; server += collectorsPerZone {
		latency := 100 + float64(server%7)
		inFlight := 1 + server%3
		l.add("heard site=%s target=%s count=%d fail=0 mean=%.1f over=1000.0 util=inflight:%d",
			l.zone, fakes.ServerID(server), max(1, int(attempts)), latency, inFlight)
	}
}

// addUsageReports adds a collector's part of the usage reports.
func (l *messageLoop) addUsageReports(site fakes.Site, zoneIndex, collector, collectorsPerZone int) {
	for proxy := range site.Proxies {
		inZone := proxy%len(site.Zones) == zoneIndex
		ofCollector := proxy/len(site.Zones)%collectorsPerZone == collector
		if !inZone || !ofCollector {
			continue
		}
		for _, class := range site.TrafficClasses {
			requests := int(site.RequestRate*class.TrafficShare + 0.5)
			l.add("usage id=%d lane=%s count=%d fail=0 over=1000.0", proxy, class.Name, max(1, requests))
		}
	}
}

// add adds one message.
func (l *messageLoop) add(format string, values ...any) {
	l.text = fmt.Appendf(l.text, format+"\r\n", values...)
	l.ends = append(l.ends, len(l.text))
}

// take gives the bytes of the next messages, at most count and up to the end of the round, and how many they are.
func (l *messageLoop) take(count int) (text []byte, taken int) {
	start := 0
	if l.next > 0 {
		start = l.ends[l.next-1]
	}
	taken = min(count, len(l.ends)-l.next)
	text = l.text[start:l.ends[l.next+taken-1]]
	l.next = (l.next + taken) % len(l.ends)
	return text, taken
}
