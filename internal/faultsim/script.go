package faultsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tamarindshore/internal/sexp"
)

// Kind is what may befall a run.
type FaultKind int

const (
	Crash               FaultKind = iota // servers die and come back cold
	Unresponsive                         // servers say nothing, and come back as they were
	SlowServers                          // servers run slower
	ServerErrors                         // servers fail quickly
	Drain                                // servers are drained, end and come back fresh
	ZoneOutage                           // all servers of a zone die and come back cold
	ZonePartition                        // flows from a zone to others fail
	ReportsLost                          // no reports come
	RelayUnreachable                     // the relay takes no calls
	ResponsesLost                        // calls are carried out or not, and not answered
	SlowChannel                          // the relay sends slower
	ManagerRestart                       // the manager restarts with the list as last held
	ManagerStall                         // the manager stands still
	ProxyReconnect                       // proxies lose their streams and join again
	WrongEndpointList                    // the list calls running servers gone, and then up again
	DuplicateReports                     // reports come twice
	DelayedEndpointList                  // the list is late by seconds more
	Rollback                             // staff go back to a version, and resume
)

var kinds = []string{"crash", "silence", "slow", "errors", "drain", "zone-lost", "zone-cut", "deaf", "unreachable", "lost-answers",
	"slow-channel", "restart", "stall", "rejoin", "wrong-list", "doubled", "late-list", "rollback"}

// String is the name of a kind.
func (k FaultKind) String() string { return kinds[k] }

// Fault is one thing that befalls a run.
type Fault struct {
	Kind         FaultKind
	At, Duration time.Duration
	Fraction     float64 // of the servers or proxies
	TargetSeed   uint64  // who that is
}

// Script is what befalls a run, by time. The seed settles all other chance.
type Script struct {
	Seed   uint64
	Faults []Fault
}

// Draw makes a script from a seed.
func GenerateScript(s Scenario, seed uint64) Script {
	chance := rand.New(rand.NewPCG(seed, 0x5eed))
	sum := 0.0
	for k := range kinds {
		sum += s.FaultWeights[FaultKind(k)]
	}
	script := Script{Seed: seed}
	for range s.FaultCount[0] + chance.IntN(s.FaultCount[1]-s.FaultCount[0]+1) {
		x, kind := chance.Float64()*sum, FaultKind(0)
		for k := range kinds {
			if x -= s.FaultWeights[FaultKind(k)]; x < 0 {
				kind = FaultKind(k)
				break
			}
		}
		at := 2*time.Second + time.Duration(chance.Float64()*float64(s.FaultPhase*2/3))
		script.Faults = append(script.Faults, Fault{Kind: kind, At: at.Round(time.Millisecond), Duration: (time.Second + time.Duration(chance.Float64()*float64(s.FaultPhase/3))).Round(time.Millisecond),
			Fraction: float64(5+chance.IntN(36)) / 100, TargetSeed: chance.Uint64() >> 32})
	}
	slices.SortStableFunc(script.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return script
}

// String is a script as a replay file holds it.
func (s Script) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "(replay\n  (seed %d)", s.Seed)
	for _, f := range s.Faults {
		fmt.Fprintf(&out, "\n  (%s (at %v) (for %v) (part %g) (whom %d))", f.Kind, f.At, f.Duration, f.Fraction, f.TargetSeed)
	}
	return out.String() + ")\n"
}

// ParseScript reads a replay file.
func ParseScript(name string, text []byte) (s Script, err error) {
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return s, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "replay" {
		return s, fmt.Errorf("%s:1: one form (replay ...) is due", name)
	}
	seed := func(to *uint64) func(n *sexp.Node) error {
		return func(n *sexp.Node) error {
			x := 0
			err := n.Int(&x, 0, 1<<62)
			*to = uint64(x)
			return err
		}
	}
	keys := []sexp.Key{{Name: "seed", Required: true, Read: seed(&s.Seed)}}
	for k, kind := range kinds {
		keys = append(keys, sexp.Key{Name: kind, Repeated: true, Read: func(n *sexp.Node) error {
			f := Fault{Kind: FaultKind(k)}
			err := sexp.Read(n, n.Args(),
				sexp.Key{Name: "at", Required: true, Read: func(n *sexp.Node) error { return n.Duration(&f.At, 0, time.Hour) }},
				sexp.Key{Name: "for", Required: true, Read: func(n *sexp.Node) error { return n.Duration(&f.Duration, 0, time.Hour) }},
				sexp.Key{Name: "part", Required: true, Read: func(n *sexp.Node) error { return n.Float(&f.Fraction, 0, 1) }},
				sexp.Key{Name: "whom", Required: true, Read: seed(&f.TargetSeed)})
			s.Faults = append(s.Faults, f)
			return err
		}})
	}
	return s, sexp.Read(nodes[0], nodes[0].Args(), keys...)
}
