package faultsim

import (
	"slices"
	"sync"
	"time"
)

// Failure is a script that violates a rule.
type Failure struct {
	Script    Script
	Violation *Violation
}

// SearchSeeds simulates the seeds from first to last on the given number of goroutines. It returns the failure of the
// lowest seed that violates a rule, if any. With simulateAll it simulates all seeds and returns all failures in order of
// their seeds. The failures do not depend on the number of goroutines. progress is called with the number of seeds
// simulated so far, by one goroutine at a time.
func SearchSeeds(s Scenario, first, last uint64, goroutines int, simulateAll bool,
	progress func(simulated int)) (failures []Failure, simulated int) {
	search := &seedSearch{scenario: s, next: first, last: last, simulateAll: simulateAll, progress: progress}
	var workers sync.WaitGroup
	for range goroutines {
		workers.Go(search.work)
	}
	workers.Wait()
	slices.SortFunc(search.failures, func(a, b Failure) int {
		if a.Script.Seed < b.Script.Seed {
			return -1
		}
		return 1
	})
	if !simulateAll && len(search.failures) > 1 {
		search.failures = search.failures[:1]
	}
	return search.failures, search.simulated
}

// seedSearch hands out seeds to its workers.
type seedSearch struct {
	scenario    Scenario
	simulateAll bool
	progress    func(simulated int)

	mu        sync.Mutex // guards the fields below
	next      uint64
	last      uint64
	simulated int
	failures  []Failure
}

// work simulates seeds until none are left.
func (s *seedSearch) work() {
	for {
		seed, more := s.takeSeed()
		if !more {
			return
		}
		script := GenerateScript(s.scenario, seed)
		violation, _ := Run(s.scenario, script, nil)
		s.recordResult(Failure{script, violation})
	}
}

// takeSeed returns the next seed; more is false if none is left.
func (s *seedSearch) takeSeed() (seed uint64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seed = s.next
	s.next++
	return seed, seed <= s.last
}

// recordResult records the result of a seed. Unless all seeds are simulated, no higher seed is started after a failure.
// Lower seeds in progress are finished, so that the lowest failing seed is found.
func (s *seedSearch) recordResult(result Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.simulated++
	s.progress(s.simulated)
	if result.Violation == nil {
		return
	}
	s.failures = append(s.failures, result)
	if !s.simulateAll {
		s.last = min(s.last, result.Script.Seed)
	}
}

// minShrunkDuration is the duration above which Shrink tries to halve a fault's duration.
const minShrunkDuration = time.Second

// Shrink reduces a script that violates a rule to a smaller one that still violates the same rule: it drops faults one by
// one, then halves their durations. It runs at most maxRuns scripts, and returns the smallest failure and the number of
// scripts run.
func Shrink(s Scenario, f Failure, maxRuns int) (Failure, int) {
	shrinker := &shrinker{scenario: s, smallest: f, maxRuns: maxRuns}
	for shrinker.dropFault() {
	}
	for i := range shrinker.smallest.Script.Faults {
		shrinker.shortenFault(i)
	}
	return shrinker.smallest, shrinker.runs
}

// shrinker holds the state of a call of Shrink.
type shrinker struct {
	scenario Scenario
	smallest Failure
	maxRuns  int
	runs     int
}

// try runs a smaller script and keeps it if it violates the same rule. It reports whether the script was kept.
func (s *shrinker) try(script Script) bool {
	if s.runs >= s.maxRuns {
		return false
	}
	s.runs++
	violation, _ := Run(s.scenario, script, nil)
	if violation == nil || violation.Rule != s.smallest.Violation.Rule {
		return false
	}
	s.smallest = Failure{script, violation}
	return true
}

// dropFault drops the first fault that the violation does not need. It reports whether there was one.
func (s *shrinker) dropFault() bool {
	script := s.smallest.Script
	for i := range script.Faults {
		fewer := slices.Delete(slices.Clone(script.Faults), i, i+1)
		if s.try(Script{Seed: script.Seed, Faults: fewer}) {
			return true
		}
	}
	return false
}

// shortenFault halves a fault's duration repeatedly while the script still violates the rule.
func (s *shrinker) shortenFault(i int) {
	for s.smallest.Script.Faults[i].Duration > minShrunkDuration {
		script := s.smallest.Script
		shorter := slices.Clone(script.Faults)
		shorter[i].Duration /= 2
		if !s.try(Script{Seed: script.Seed, Faults: shorter}) {
			return
		}
	}
}
