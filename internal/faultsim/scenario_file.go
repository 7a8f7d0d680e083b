package faultsim

import (
	"os"
	"path/filepath"
	"time"

	"tamarindshore/internal/sexp"
)

const (
	scenarioForm    = "scenario"
	minScenarioTime = time.Millisecond
	maxScenarioTime = time.Hour
)

// ReadScenario reads a scenario file of the form (scenario (key value) ...). Missing keys have the values of
// DefaultScenario. Errors name the file, the line and the key.
func ReadScenario(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	return ParseScenario(filepath.Base(path), text)
}

// ParseScenario parses the text of a scenario file. Errors contain name as the name of the file.
func ParseScenario(name string, text []byte) (Scenario, error) {
	s := DefaultScenario()
	form, err := sexp.ReadForm(name, text, scenarioForm, s.keys()...)
	if err != nil {
		return s, err
	}
	if s.FaultCount.Max < s.FaultCount.Min {
		return s, form.Errorf("faults: most %d is less than least %d", s.FaultCount.Max, s.FaultCount.Min)
	}
	return s, nil
}

// keys returns the keys of a scenario file, with the bounds of their values.
func (s *Scenario) keys() []sexp.Key {
	return []sexp.Key{
		sexp.IntKey("zones", &s.Zones, 1, 16),
		sexp.IntKey("servers", &s.Servers, 1, 5000),
		sexp.IntKey("proxies", &s.Proxies, 1, 20000),
		sexp.FloatKey("rate", &s.RequestRate, 0.01, 1e4),
		sexp.FloatKey("capacity", &s.ServerCapacity, 0.1, 1e5),
		durationKey("service", &s.ServiceTime),
		durationRangeKey("reports-late", &s.ReportDelay),
		durationRangeKey("list-late", &s.ListDelay),
		durationRangeKey("transit", &s.MessageDelay),
		sexp.FloatKey("lines-per-s", &s.CommandsPerSecond, 10, 1e7),
		sexp.FloatKey("queue-lines", &s.QueueCapacity, 10, 1e7),
		sexp.IntKey("messages", &s.MaxMessages, 0, 1000),
		sexp.FloatKey("cold-share", &s.ColdCapacity, 0.01, 1),
		durationKey("warm-after", &s.WarmUpDuration),
		durationKey("drain-grace", &s.DrainGracePeriod),
		durationKey("bare-for", &s.MaxTimeWithoutServer),
		sexp.FloatKey("overload-factor", &s.OverloadFactor, 1, 100),
		durationKey("overload-for", &s.MaxOverloadTime),
		durationKey("length", &s.FaultPhase),
		durationKey("settle", &s.SettlePhase),
		countRangeKey("faults", &s.FaultCount, 0, 50),
		{Name: "weights", Read: s.readFaultWeights},
	}
}

// readFaultWeights reads the weights of kinds of faults. Kinds that are not listed keep their weight.
func (s *Scenario) readFaultWeights(node *sexp.Node) error {
	var keys []sexp.Key
	for _, kind := range FaultKinds() {
		keys = append(keys, sexp.Key{Name: kind.String(), Read: func(node *sexp.Node) error {
			weight := 0.0
			err := node.Float(&weight, 0, 100)
			s.FaultWeights[kind] = weight
			return err
		}})
	}
	return sexp.Read(node, node.Args(), keys...)
}

// durationKey returns a key whose value is a duration.
func durationKey(name string, value *time.Duration) sexp.Key {
	return sexp.DurationKey(name, value, minScenarioTime, maxScenarioTime)
}

// Keys of a range's bounds.
const (
	keyLeast = "least"
	keyMost  = "most"
)

// countRangeKey returns a key whose value is a range of integers. It does not check that Min is at most Max: the caller
// does.
func countRangeKey(name string, value *CountRange, least, most int) sexp.Key {
	return sexp.Section(name,
		sexp.IntKey(keyLeast, &value.Min, least, most),
		sexp.IntKey(keyMost, &value.Max, least, most))
}

// durationRangeKey returns a key whose value is a range of durations.
func durationRangeKey(name string, value *DurationRange) sexp.Key {
	bounds := sexp.Section(name,
		durationKey(keyLeast, &value.Min),
		durationKey(keyMost, &value.Max))
	return sexp.Key{Name: name, Read: func(node *sexp.Node) error {
		if err := bounds.Read(node); err != nil {
			return err
		}
		if value.Max < value.Min {
			return node.Errorf("%s: most %v is less than least %v", name, value.Max, value.Min)
		}
		return nil
	}}
}
