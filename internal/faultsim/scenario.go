// Package faultsim plays seeded faults against the decisions on a virtual clock and looks at every rule after each step.
// scenario.go says how large a fleet is and which faults may befall it; script.go draws faults from a seed and writes
// them down; world.go is the fleet, its relay and its discovery; rules.go judges; search.go goes through seeds and
// makes a script smaller. The same seed gives the same run. It must never be imported by the daemon.
package faultsim

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/sexp"
)

// Scenario is a fleet, its rules and what may befall it.
type Scenario struct {
	Zones, Servers, Proxies int
	Rate, Capacity          float64       // flows a second of a proxy, and of a warm server
	Service                 time.Duration // of a flow at a server at rest
	ReportsLate             [2]time.Duration
	ListLate                [2]time.Duration
	Transit                 [2]time.Duration // of a message
	LinesPerS, QueueLines   float64
	Messages                int // to a proxy within 10 s; 0: no limit
	ColdShare               float64
	WarmAfter               time.Duration
	DrainGrace, BareFor     time.Duration
	OverloadFactor          float64
	OverloadFor             time.Duration
	Length, Settle          time.Duration // of a run with its faults, and after the last of them
	Faults                  [2]int        // how many befall a run
	Weights                 map[Kind]float64
}

// Usual is the standard scenario.
func Usual() Scenario {
	ms := time.Millisecond
	s := Scenario{Zones: 3, Servers: 15, Proxies: 18, Rate: 6, Capacity: 14, Service: 150 * ms,
		ReportsLate: [2]time.Duration{380 * ms, 1600 * ms}, ListLate: [2]time.Duration{500 * ms, 3000 * ms}, Transit: [2]time.Duration{80 * ms, 300 * ms},
		LinesPerS: 1300, QueueLines: 2600, ColdShare: 0.2, WarmAfter: 16 * time.Second, DrainGrace: 1500 * ms, BareFor: 3 * time.Second,
		OverloadFactor: 3, OverloadFor: 2 * time.Second, Length: 40 * time.Second, Settle: 25 * time.Second, Faults: [2]int{1, 5},
		Weights: map[Kind]float64{}}
	for k := range kinds {
		s.Weights[Kind(k)] = 1
	}
	return s
}

// Fleet is one manager's part of a large fleet, made smaller: a channel that sends four lines a proxy and second behind a
// queue that holds a quarter of a minute's, and troubles of the relay, its calls and the streams.
func Fleet() Scenario {
	s := Usual()
	s.Zones, s.Servers, s.Proxies, s.Rate, s.Capacity = 2, 60, 300, 1, 9
	s.LinesPerS, s.QueueLines, s.ColdShare, s.DrainGrace, s.BareFor = 1300, 20000, 0.15, 20*time.Second, 10*time.Second
	s.Length, s.Settle, s.Faults = 30*time.Second, 40*time.Second, [2]int{3, 6}
	for k := range s.Weights {
		s.Weights[k] = 0
	}
	for k, w := range map[Kind]float64{Silence: 2, Drain: 1, ZoneCut: 2, Unreachable: 3, LostAnswers: 3, SlowChannel: 2, Restart: 1, Stall: 1, Rejoin: 3} {
		s.Weights[k] = w
	}
	return s
}

// Terms are those of a manager in this scenario.
func (s Scenario) Terms() balancer.Settings {
	t := balancer.Settings{
		Classes: []balancer.TrafficClass{
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent},
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3},
		},
		HealthChecks: true, AdmissionUnit: balancer.AdmitShare, DefaultRetryPolicy: balancer.RetryIfNotExecuted, ColdCapacity: s.ColdShare, WarmUpDuration: s.WarmAfter,
		Proxies: s.Proxies, IdleTimeout: 15 * time.Second, QueueCapacity: s.QueueLines, CommandsPerSecond: s.LinesPerS, MessageOverhead: 4, CommandPrice: 0.05,
		MaxMessages: s.Messages, MessageWindow: 10 * time.Second,
	}
	for z := range s.Zones {
		t.Zones = append(t.Zones, balancer.ZoneID(fmt.Sprint("z", z)))
	}
	return t
}

// ReadScenario reads a file of the form (scenario (key value) ...); what it does not say is as in the usual one.
func ReadScenario(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	return ParseScenario(filepath.Base(path), text)
}

// ParseScenario reads a scenario's text.
func ParseScenario(name string, text []byte) (Scenario, error) {
	s := Usual()
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return s, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "scenario" {
		return s, fmt.Errorf("%s:1: one form (scenario ...) is due", name)
	}
	whole := func(key string, to *int, least, most int) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error { return n.Int(to, least, most) }}
	}
	number := func(key string, to *float64, least, most float64) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error { return n.Float(to, least, most) }}
	}
	span := func(key string, to *time.Duration) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error { return n.Duration(to, time.Millisecond, time.Hour) }}
	}
	between := func(key string, to *[2]time.Duration) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error {
			if err := sexp.Read(n, n.Args(), span("least", &to[0]), span("most", &to[1])); err != nil {
				return err
			}
			if to[1] < to[0] {
				return n.Errorf("%s: most is under least", key)
			}
			return nil
		}}
	}
	err = sexp.Read(nodes[0], nodes[0].Args(),
		whole("zones", &s.Zones, 1, 16), whole("servers", &s.Servers, 1, 5000), whole("proxies", &s.Proxies, 1, 20000),
		number("rate", &s.Rate, 0.01, 1e4), number("capacity", &s.Capacity, 0.1, 1e5), span("service", &s.Service),
		between("reports-late", &s.ReportsLate), between("list-late", &s.ListLate), between("transit", &s.Transit),
		number("lines-per-s", &s.LinesPerS, 10, 1e7), number("queue-lines", &s.QueueLines, 10, 1e7), whole("messages", &s.Messages, 0, 1000),
		number("cold-share", &s.ColdShare, 0.01, 1), span("warm-after", &s.WarmAfter), span("drain-grace", &s.DrainGrace), span("bare-for", &s.BareFor),
		number("overload-factor", &s.OverloadFactor, 1, 100), span("overload-for", &s.OverloadFor), span("length", &s.Length), span("settle", &s.Settle),
		sexp.Key{Name: "faults", Read: func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(), whole("least", &s.Faults[0], 0, 50), whole("most", &s.Faults[1], 0, 50))
		}},
		sexp.Key{Name: "weights", Read: func(n *sexp.Node) error {
			var keys []sexp.Key
			for k, name := range kinds {
				keys = append(keys, sexp.Key{Name: name, Read: func(n *sexp.Node) error {
					w := 0.0
					err := n.Float(&w, 0, 100)
					s.Weights[Kind(k)] = w
					return err
				}})
			}
			return sexp.Read(n, n.Args(), keys...)
		}})
	if err == nil && s.Faults[1] < s.Faults[0] {
		err = nodes[0].Errorf("faults: most is under least")
	}
	return s, err
}
