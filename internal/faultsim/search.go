package faultsim

import (
	"slices"
	"sync"
	"time"
)

// Failure is a script that breaks a rule.
type Failure struct {
	Script    Script
	Violation *Violation
}

// SearchSeeds plays the seeds from first to last on some goroutines, and returns the lowest that breaks a rule; none
// where all rules are kept. With playAll it plays all of them, and returns all failures by seed. The result does not
// depend on the number of goroutines. Progress is called with how many seeds were played, one call at a time.
func SearchSeeds(s Scenario, first, last uint64, goroutines int, playAll bool, progress func(played int)) (failures []Failure, played int) {
	search := &seedSearch{scenario: s, next: first, last: last, playAll: playAll, progress: progress}
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
	if !playAll && len(search.failures) > 1 {
		search.failures = search.failures[:1]
	}
	return search.failures, search.played
}

// seedSearch hands out seeds to its workers.
type seedSearch struct {
	scenario Scenario
	playAll  bool
	progress func(played int)

	mu       sync.Mutex // guards what follows
	next     uint64
	last     uint64
	played   int
	failures []Failure
}

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

// takeSeed gives the next seed; false where none is left.
func (s *seedSearch) takeSeed() (seed uint64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seed = s.next
	s.next++
	return seed, seed <= s.last
}

// recordResult takes the result of a seed. After a failure no later seed is begun; lower ones that are being played go on, so
// that the lowest failure is found.
func (s *seedSearch) recordResult(result Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played++
	s.progress(s.played)
	if result.Violation == nil {
		return
	}
	s.failures = append(s.failures, result)
	if !s.playAll {
		s.last = min(s.last, result.Script.Seed)
	}
}

// minShrunkDuration is the duration that Shrink does not halve further.
const minShrunkDuration = time.Second

// Shrink reduces a script that breaks a rule, as long as the same rule breaks: it drops faults one by one, then halves
// their durations. It plays at most maxRuns scripts, and returns the smallest failure and how many it played.
func Shrink(s Scenario, f Failure, maxRuns int) (Failure, int) {
	shrinker := &shrinker{scenario: s, smallest: f, maxRuns: maxRuns}
	for shrinker.dropFault() {
	}
	for i := range shrinker.smallest.Script.Faults {
		shrinker.shortenFault(i)
	}
	return shrinker.smallest, shrinker.played
}

type shrinker struct {
	scenario Scenario
	smallest Failure
	maxRuns  int
	played   int
}

// try plays a smaller script and takes it over where it breaks the same rule. It reports whether it does.
func (s *shrinker) try(script Script) bool {
	if s.played >= s.maxRuns {
		return false
	}
	s.played++
	violation, _ := Run(s.scenario, script, nil)
	if violation == nil || violation.Rule != s.smallest.Violation.Rule {
		return false
	}
	s.smallest = Failure{script, violation}
	return true
}

// dropFault drops the first fault without which the rule still breaks. It reports whether there is one.
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

// shortenFault halves a fault's duration while the rule still breaks.
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
