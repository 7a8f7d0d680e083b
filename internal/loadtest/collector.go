package loadtest

import (
	"fmt"

	"tamarindshore/internal/fakes"
)

// messageLoop holds the messages in which one collector reports one second of traffic. They are sent in a loop.
type messageLoop struct {
	zone       string
	data       []byte // all messages, one after another
	endOffsets []int  // offset in data of the end of each message
	next       int    // index of the next message to send
}

// newMessageLoops divides the reports of one second among the collectors of each zone: one load report per server and
// zone, and one usage report per proxy and traffic class.
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

// addLoadReports adds a collector's share of the load reports.
func (l *messageLoop) addLoadReports(site fakes.Site, collector, collectorsPerZone int) {
	attempts := site.RequestRate * float64(site.Proxies) / float64(site.Servers*len(site.Zones))
	for server := collector; server < site.Servers; server += collectorsPerZone {
		latency := 100 + float64(server%7)
		inFlight := 1 + server%3
		l.addMessage("heard site=%s target=%s count=%d fail=0 mean=%.1f over=1000.0 util=inflight:%d",
			l.zone, fakes.ServerID(server), max(1, int(attempts)), latency, inFlight)
	}
}

// addUsageReports adds a collector's share of the usage reports.
func (l *messageLoop) addUsageReports(site fakes.Site, zoneIndex, collector, collectorsPerZone int) {
	for proxy := range site.Proxies {
		inThisZone := proxy%len(site.Zones) == zoneIndex
		ofThisCollector := proxy/len(site.Zones)%collectorsPerZone == collector
		if !inThisZone || !ofThisCollector {
			continue
		}
		for _, class := range site.TrafficClasses {
			requests := int(site.RequestRate*class.TrafficShare + 0.5)
			l.addMessage("usage id=%d lane=%s count=%d fail=0 over=1000.0", proxy, class.Name, max(1, requests))
		}
	}
}

// addMessage formats and appends one message.
func (l *messageLoop) addMessage(format string, values ...any) {
	l.data = fmt.Appendf(l.data, format+"\r\n", values...)
	l.endOffsets = append(l.endOffsets, len(l.data))
}

// nextMessages returns the bytes and the number of the next messages: at most count, and none beyond the end of the loop.
func (l *messageLoop) nextMessages(count int) (data []byte, messages int) {
	start := 0
	if l.next > 0 {
		start = l.endOffsets[l.next-1]
	}
	messages = min(count, len(l.endOffsets)-l.next)
	data = l.data[start:l.endOffsets[l.next+messages-1]]
	l.next = (l.next + messages) % len(l.endOffsets)
	return data, messages
}
