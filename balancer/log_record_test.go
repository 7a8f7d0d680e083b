package balancer

import (
	"slices"
	"testing"
	"time"
)

// recordFields are the field names of each event in their order. Operators and their tools read them by name.
var recordFields = map[LogEvent][]string{
	EventServerEjected:    {"server", "unresponsive_seconds", "cause"},
	EventServerRestored:   {"server"},
	EventServerDegraded:   {"server", "health", "failed", "attempts", "latency_seconds", "peer_latency_seconds", "peer_failure_rate"},
	EventSlowStartPaused:  {"below", "failure_rate", "reporting", "peers"},
	EventZonePair:         {"from", "to", "closed", "usual_latency_seconds"},
	EventAdmissionLimit:   {"limit", "offered", "delivered", "load", "failure_rate"},
	EventZonesPartitioned: {"partitions", "servers", "connection_uses"},
	EventDrainDelayed:     {"server", "waited_seconds", "waiting", "cause", "messages"},
	EventWarmingCapacity:  {"share", "warming_up"},
	EventEmptyTable:       {"table", "zone_local", "waited_seconds", "cause", "targets", "warming_up"},
}

// eventCases has, for each event, a decision that logs it and the expected record.
var eventCases = map[LogEvent]struct {
	cause func(m *Manager)
	want  string
}{
	EventServerEjected: {
		func(m *Manager) {
			m.now = 3 * time.Second
			m.eject(m.server("a0"), serverUnresponsive)
		},
		"event=server_ejected server=a0 unresponsive_seconds=3.0 cause=unresponsive",
	},
	EventServerRestored: {
		func(m *Manager) { m.endEjection(m.server("a0")) },
		"event=server_restored server=a0",
	},
	EventServerDegraded: {
		func(m *Manager) {
			m.server("a0").health = 0.51
			m.report("a0", 10, 9, 3*time.Second)
			m.updateHealth(m.server("a0"), baseline{latency: 0.2, failureRate: 0.1, servers: 3})
		},
		"event=server_degraded server=a0 health=0.41 failed=9 attempts=10 latency_seconds=2.53 peer_latency_seconds=0.20 peer_failure_rate=0.10",
	},
	EventSlowStartPaused: {
		func(m *Manager) {
			for _, s := range m.servers {
				m.report(s.id, 20, 15, time.Second)
			}
			m.updateSlowStart()
		},
		"event=slow_start_paused below=1.0 failure_rate=0.75 reporting=6 peers=6",
	},
	EventZonePair: {
		func(m *Manager) {
			for range pairConsecutiveSamples {
				m.zonePairs[0][1].record(LoadReport{Attempts: 10, Failed: 9, Latency: 250 * time.Millisecond})
			}
			m.updateZonePairs()
		},
		"event=zone_pair from=a to=b closed=true usual_latency_seconds=0.25",
	},
	EventAdmissionLimit: {
		func(m *Manager) {
			m.now = 4 * time.Second
			m.healthChecks = false
			m.admission.baselineLoad = 0.1
			for _, s := range m.servers {
				m.report(s.id, 50, 10, 1500*time.Millisecond)
			}
			m.updateAdmissionLimit()
		},
		"event=admission_limit limit=221 offered=80 delivered=240 load=0.86 failure_rate=0.20",
	},
	EventZonesPartitioned: {
		func(m *Manager) {
			m.proxyCount = 60
			m.managerCount = 1
			m.idleTimeout = time.Second
			for _, p := range m.proxies {
				p.announcedRate = 1
			}
			for range 20 {
				m.servers = append(m.servers, &server{id: "extra", zone: 0})
			}
			m.partitionZones()
		},
		"event=zones_partitioned partitions=3 servers=13 connection_uses=1",
	},
	EventDrainDelayed: {
		func(m *Manager) {
			m.now = 10 * time.Second
			m.proxies[0].messageTimes = slices.Repeat([]time.Duration{9 * time.Second}, 19)
			m.servers[0].state = Draining
			m.servers[0].leavingSince = 8400 * time.Millisecond
			m.logDelayedDrain()
		},
		"event=drain_delayed server=a0 waited_seconds=1.6 waiting=1 cause=message_limit messages=19",
	},
	EventWarmingCapacity: {
		func(m *Manager) {
			m.now = 3 * time.Second
			for _, s := range m.servers {
				s.warmingUp = true
			}
			m.redistribute()
			m.redistribute()
		},
		"event=warming_capacity share=0.52 warming_up=6",
	},
	EventEmptyTable: {
		func(m *Manager) {
			m.now = 10 * time.Second
			clear(m.tables[0].publishedWeights)
			for _, s := range m.servers {
				s.warmingUp = true
			}
			m.logEmptyTables()
			m.now += tickInterval
			m.logEmptyTables()
		},
		"event=empty_table table=0 zone_local=false waited_seconds=1.0 cause=warm_up targets=3 warming_up=3",
	},
}

func TestLogRecordFieldsAndValues(t *testing.T) {
	for event, names := range recordFields {
		t.Run(string(event), func(t *testing.T) {
			m := newTestManager(3)
			eventCases[event].cause(m)
			if len(m.commands.LogRecords) != 1 {
				t.Fatalf("got log records %v, want exactly one", m.commands.LogRecords)
			}
			record := m.commands.LogRecords[0]
			var got []string
			for _, field := range record.Fields {
				got = append(got, field.Name)
			}
			if !slices.Equal(got, names) {
				t.Errorf("got fields %q, want %q", got, names)
			}
			if record.String() != eventCases[event].want {
				t.Errorf("got record %q, want %q", record, eventCases[event].want)
			}
		})
	}
}

func TestEmptyTablesAreLoggedWithTheirCause(t *testing.T) {
	for want, empty := range map[emptyTableCause]func(m *Manager){
		emptyWithoutTargets:   func(m *Manager) { clear(m.tables[0].targetShares) },
		emptyUntilRestore:     func(m *Manager) { m.tables[0].publishedWeights["a0"] = 100 },
		emptyByMessageLimit:   func(m *Manager) { m.publication.noteBlocked(blockedChange{1, 1}, true) },
		emptyByQueue:          func(m *Manager) { m.publication.noteBlocked(blockedChange{1, 1}, false) },
		emptyUntilServersWarm: func(m *Manager) { m.server("a0").warmingUp = true; m.server("a1").warmingUp = true },
		emptyUntilPublished:   func(m *Manager) {},
	} {
		t.Run(string(want), func(t *testing.T) {
			m := newTestManager(2)
			m.server("a0").withdrawn = true
			clear(m.tables[0].publishedWeights)
			empty(m)
			if got := m.emptyTableCause(m.tables[0], m.endpointTargets(m.tables[0])); got != want {
				t.Errorf("got cause %q, want %q", got, want)
			}
		})
	}
}
