package node

import (
	"tamarindshore/balancer"
	"tamarindshore/internal/sharding"
)

// collectorMessage is a decoded line of a collector: a ping, a collectorIdentity or a sample. There are no other
// implementations.
type collectorMessage interface{ isCollectorMessage() }

// ping asks the manager for a pong, to check that it is alive.
type ping struct{}

// collectorIdentity names the zone that a connection's collector reports for.
type collectorIdentity struct{ zone balancer.ZoneID }

// sample is a collector's message that is passed on to the router: a load report or a usage report.
type sample interface {
	collectorMessage
	input
	counts() sampleCounts
	shardingSample() sharding.Sample
}

// loadReport is a collector's report on one server.
type loadReport struct{ balancer.LoadReport }

// usageReport is a collector's report on one proxy.
type usageReport struct{ balancer.UsageReport }

func (ping) isCollectorMessage()              {}
func (collectorIdentity) isCollectorMessage() {}
func (loadReport) isCollectorMessage()        {}
func (usageReport) isCollectorMessage()       {}

func (in loadReport) handleBy(r *router)  { r.handleLoadReport(in.LoadReport) }
func (in usageReport) handleBy(r *router) { r.handleUsageReport(in.UsageReport) }

// shardingSample returns the sample in the form that sampleQueue holds, which is used when several cores decode.
func (in loadReport) shardingSample() sharding.Sample {
	return sharding.LoadSample{LoadReport: in.LoadReport}
}
func (in usageReport) shardingSample() sharding.Sample {
	return sharding.UsageSample{UsageReport: in.UsageReport}
}

// sampleCounts holds the number of samples received, by kind.
type sampleCounts struct {
	loadReports  int64
	withInFlight int64 // load reports that state the requests in flight
	usageReports int64
}

func (in loadReport) counts() sampleCounts {
	counts := sampleCounts{loadReports: 1}
	if in.InFlight >= 0 {
		counts.withInFlight = 1
	}
	return counts
}

func (usageReport) counts() sampleCounts { return sampleCounts{usageReports: 1} }

func (c *sampleCounts) add(more sampleCounts) {
	c.loadReports += more.loadReports
	c.withInFlight += more.withInFlight
	c.usageReports += more.usageReports
}

func (c sampleCounts) addTo(m *metrics) {
	m.add(reportsIn, c.loadReports)
	m.add(loadsIn, c.withInFlight)
	m.add(usagesIn, c.usageReports)
}
