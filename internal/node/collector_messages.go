package node

import (
	"tamarindshore/balancer"
	"tamarindshore/internal/sharding"
)

// collectorMessage is what a line of a collector says. The set is closed: ping, collectorName and the samples.
type collectorMessage interface{ isCollectorMessage() }

// ping asks for a pong, as a sign of life.
type ping struct{}

// collectorName says which zone a connection's collector reports for.
type collectorName struct{ zone balancer.ZoneID }

// sample is a collector's message that the router handles: a load report or a usage report.
type sample interface {
	collectorMessage
	input
	counts() sampleCounts
	queued() sharding.Sample
}

// loadReport is a collector's report on one server.
type loadReport struct{ balancer.LoadReport }

// usageReport is a collector's report on one proxy.
type usageReport struct{ balancer.UsageReport }

func (ping) isCollectorMessage()          {}
func (collectorName) isCollectorMessage() {}
func (loadReport) isCollectorMessage()    {}
func (usageReport) isCollectorMessage()   {}

func (in loadReport) handleBy(r *router)  { r.handleLoadReport(in.LoadReport) }
func (in usageReport) handleBy(r *router) { r.handleUsageReport(in.UsageReport) }

// queued is the sample as it waits for the router, where several cores decode.
func (in loadReport) queued() sharding.Sample { return sharding.LoadSample{LoadReport: in.LoadReport} }
func (in usageReport) queued() sharding.Sample {
	return sharding.UsageSample{UsageReport: in.UsageReport}
}

// sampleCounts is how many samples of each kind were received.
type sampleCounts struct {
	reports      int64
	reportedLoad int64 // reports that tell the requests in flight
	usages       int64
}

func (in loadReport) counts() sampleCounts {
	counts := sampleCounts{reports: 1}
	if in.InFlight >= 0 {
		counts.reportedLoad = 1
	}
	return counts
}

func (usageReport) counts() sampleCounts { return sampleCounts{usages: 1} }

func (c *sampleCounts) add(more sampleCounts) {
	c.reports += more.reports
	c.reportedLoad += more.reportedLoad
	c.usages += more.usages
}

func (c sampleCounts) addTo(m *metrics) {
	m.add(reportsIn, c.reports)
	m.add(loadsIn, c.reportedLoad)
	m.add(usagesIn, c.usages)
}
