package simprotocol

import (
	"math"
	"slices"
	"time"

	"tamarindshore/balancer"
)

// manager is the subset of balancer.Manager's methods that events call.
type manager interface {
	HandleEndpointList(now time.Duration, complete bool, entries []balancer.Endpoint) balancer.Commands
	HandleEndpointListError(now time.Duration) balancer.Commands
	HandleHealthCheck(now time.Duration, server balancer.ServerID, result balancer.HealthCheckResult,
		took time.Duration, load float64) balancer.Commands
	HandleProxyConnected(now time.Duration, proxy balancer.ProxyID, zone balancer.ZoneID, rate float64) balancer.Commands
	HandleProxyDisconnected(now time.Duration, proxy balancer.ProxyID) balancer.Commands
	HandleLoadReport(now time.Duration, report balancer.LoadReport) balancer.Commands
	HandleUsageReport(now time.Duration, usage balancer.UsageReport) balancer.Commands
	HandleBarrierAck(now time.Duration, proxy balancer.ProxyID, barrier balancer.BarrierID) balancer.Commands
	HandleCommandsSent(now time.Duration, barrier balancer.BarrierID)
	HandleTimer(now time.Duration) balancer.Commands
}

// managerCall applies a parsed event to the manager of the instance that it addresses.
type managerCall func(m manager, now time.Duration) balancer.Commands

// ignoreEvent is the managerCall of events that no decision depends on.
func ignoreEvent(manager, time.Duration) balancer.Commands { return balancer.Commands{} }

// eventContext holds what parsing an event needs besides the values on its line.
type eventContext struct {
	startedAt  time.Duration // start of the instance, on the simulator's clock
	classNames []string
	nextLine   func() (string, bool) // reads the next input line: each entry of a list has its own line
}

// eventReader parses the values that follow the instance number in an event. The caller checks for unexpected values at
// the end of the line.
type eventReader func(f *fieldReader, context eventContext) (managerCall, error)

// eventReaders maps the name of each event for a running instance to its reader. The host itself handles the start and
// stop of an instance.
var eventReaders = map[string]eventReader{
	eventEndpointList:      readEndpointList,
	eventTimer:             readTimer,
	eventHealthCheck:       readHealthCheck,
	eventProxyConnected:    readProxyConnected,
	eventProxyDisconnected: readProxyDisconnected,
	eventLoadReport:        readLoadReport,
	eventUsageReport:       readUsageReport,
	eventBarrierAck:        readBarrierAck,
	eventPeerMessage:       readPeerMessage,
	eventSliceUsage:        readSliceUsage,
	eventSliceAssigned:     readSliceAssigned,
	eventStoredWeight:      readStoredWeight,
}

func readEndpointList(f *fieldReader, context eventContext) (managerCall, error) {
	scope := f.oneOf(fieldScope, endpointListScopes)
	f.optionalInteger(fieldVersion)
	count := f.optionalInteger(fieldEntries)
	if err := f.end(); err != nil {
		return nil, err
	}
	entries := []balancer.Endpoint{}
	var row fieldReader
	for range count {
		line, ok := context.nextLine()
		if !ok {
			return nil, ErrTruncatedList
		}
		row.reset(line)
		entry, err := readEndpoint(&row, context.startedAt)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	if scope == scopeError {
		return func(m manager, now time.Duration) balancer.Commands { return m.HandleEndpointListError(now) }, nil
	}
	return func(m manager, now time.Duration) balancer.Commands {
		return m.HandleEndpointList(now, scope != scopeChanges, entries)
	}, nil
}

// readEndpoint parses one entry of an endpoint list. A start time that is 0 or absent means that the server has been
// running for a long time.
func readEndpoint(f *fieldReader, startedAt time.Duration) (balancer.Endpoint, error) {
	if f.text(fieldMessage) != messageEndpoint {
		return balancer.Endpoint{}, ErrEndpointExpected
	}
	endpoint := balancer.Endpoint{}
	f.text(fieldCell)
	endpoint.Zone = balancer.ZoneID(f.id(fieldZone))
	if started := f.duration(fieldStarted); started > 0 {
		endpoint.Started = started - startedAt
		endpoint.RecentlyStarted = true
	}
	endpoint.Server = balancer.ServerID(f.id(fieldServer))
	if f.skipAbsent() {
		endpoint.Weight = 1
	} else {
		endpoint.Weight = f.float(fieldWeight)
	}
	endpoint.State = readNamed(f, fieldState, endpointStates)
	f.text(fieldShape)
	return endpoint, f.end()
}

func readTimer(f *fieldReader, _ eventContext) (managerCall, error) {
	f.integer(fieldTimer, 0, math.MaxInt64)
	return func(m manager, now time.Duration) balancer.Commands { return m.HandleTimer(now) }, nil
}

func readHealthCheck(f *fieldReader, _ eventContext) (managerCall, error) {
	server := balancer.ServerID(f.id(fieldServer))
	result := readNamed(f, fieldResult, healthCheckResults)
	took := f.duration(fieldElapsed)
	load := f.load(fieldLoad)
	return func(m manager, now time.Duration) balancer.Commands {
		return m.HandleHealthCheck(now, server, result, took, load)
	}, nil
}

func readProxyConnected(f *fieldReader, _ eventContext) (managerCall, error) {
	rate := f.float(fieldRate)
	f.boolean(fieldFlag)
	proxy := readProxy(f)
	zone := balancer.ZoneID(f.id(fieldZone))
	return func(m manager, now time.Duration) balancer.Commands {
		return m.HandleProxyConnected(now, proxy, zone, rate)
	}, nil
}

func readProxyDisconnected(f *fieldReader, _ eventContext) (managerCall, error) {
	proxy := readProxy(f)
	return func(m manager, now time.Duration) balancer.Commands { return m.HandleProxyDisconnected(now, proxy) }, nil
}

func readLoadReport(f *fieldReader, _ eventContext) (managerCall, error) {
	report := balancer.LoadReport{}
	report.Server = balancer.ServerID(f.id(fieldServer))
	report.Failed = f.count(fieldFailed)
	report.Attempts = f.count(fieldCount)
	report.Latency = f.duration(fieldElapsed)
	report.Interval = f.duration(fieldInterval)
	report.Zone = balancer.ZoneID(f.id(fieldZone))
	report.InFlight = f.load(fieldLoad)
	return func(m manager, now time.Duration) balancer.Commands { return m.HandleLoadReport(now, report) }, nil
}

func readUsageReport(f *fieldReader, context eventContext) (managerCall, error) {
	usage := balancer.UsageReport{}
	usage.Proxy = readProxy(f)
	class := f.oneOf(fieldClass, context.classNames)
	usage.Class = balancer.ClassID(slices.Index(context.classNames, class))
	usage.Requests = f.count(fieldCount)
	usage.Dropped = f.count(fieldFailed)
	usage.Interval = f.duration(fieldInterval)
	return func(m manager, now time.Duration) balancer.Commands { return m.HandleUsageReport(now, usage) }, nil
}

func readBarrierAck(f *fieldReader, _ eventContext) (managerCall, error) {
	proxy := readProxy(f)
	barrier := balancer.BarrierID(f.integer(fieldBarrier, 0, math.MaxUint16))
	f.duration(fieldElapsed)
	return func(m manager, now time.Duration) balancer.Commands { return m.HandleBarrierAck(now, proxy, barrier) }, nil
}

func readPeerMessage(f *fieldReader, _ eventContext) (managerCall, error) {
	f.integer(fieldSender, 0, math.MaxInt32)
	f.text(fieldPayload)
	return ignoreEvent, nil
}

func readSliceUsage(f *fieldReader, context eventContext) (managerCall, error) {
	f.count(fieldCount)
	f.count(fieldFailed)
	readTable(f)
	f.oneOf(fieldClass, context.classNames)
	f.duration(fieldInterval)
	return ignoreEvent, nil
}

func readSliceAssigned(f *fieldReader, _ eventContext) (managerCall, error) {
	f.boolean(fieldFlag)
	readTable(f)
	return ignoreEvent, nil
}

func readStoredWeight(f *fieldReader, _ eventContext) (managerCall, error) {
	f.id(fieldServer)
	f.float(fieldWeight)
	readTable(f)
	return ignoreEvent, nil
}

func readProxy(f *fieldReader) balancer.ProxyID {
	return balancer.ProxyID(f.integer(fieldProxy, 0, math.MaxUint16))
}

func readTable(f *fieldReader) { f.integer(fieldTable, 0, math.MaxUint16) }
