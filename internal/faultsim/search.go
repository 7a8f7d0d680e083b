package faultsim

import (
	"sync"
	"sync/atomic"
)

// Found is a seed that broke a rule.
type Failure struct {
	Script    Script
	Violation *Violation
}

// Seeds plays seeds from first to last on so many cores, and gives the lowest that broke a rule; nil where none did.
// Where goOn is set all are played and all breaks come back, by seed. Progress is called with how many are done, one
// call at a time.
func SearchSeeds(s Scenario, first, last uint64, cores int, goOn bool, progress func(done int)) (all []Failure, played int) {
	var next, done atomic.Uint64
	next.Store(first)
	var stop atomic.Uint64
	stop.Store(last)
	found := map[uint64]Failure{}
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range cores {
		workers.Go(func() {
			for {
				seed := next.Add(1) - 1
				if seed > stop.Load() {
					return
				}
				script := GenerateScript(s, seed)
				broken, _ := Run(s, script, nil)
				mu.Lock()
				progress(int(done.Add(1)))
				if broken == nil {
					mu.Unlock()
					continue
				}
				found[seed] = Failure{script, broken}
				if !goOn && seed < stop.Load() {
					stop.Store(seed) // lower ones that are under way end first: the lowest is found whatever the cores
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	for seed := first; seed <= last && len(all) < len(found); seed++ {
		if f, broke := found[seed]; broke {
			if all = append(all, f); !goOn {
				break
			}
		}
	}
	return all, int(done.Load())
}

// Shrink drops faults one by one, then shortens them, as long as the same rule breaks. It plays so many scripts at
// most.
func Shrink(s Scenario, f Failure, most int) (Failure, int) {
	played := 0
	breaks := func(script Script) *Violation {
		if played >= most {
			return nil
		}
		played++
		if b, _ := Run(s, script, nil); b != nil && b.Rule == f.Violation.Rule {
			return b
		}
		return nil
	}
	for again := true; again; {
		again = false
		for i := range f.Script.Faults {
			less := Script{Seed: f.Script.Seed}
			less.Faults = append(append(less.Faults, f.Script.Faults[:i]...), f.Script.Faults[i+1:]...)
			if b := breaks(less); b != nil {
				f, again = Failure{less, b}, true
				break
			}
		}
	}
	for i := range f.Script.Faults {
		for f.Script.Faults[i].Duration > 1e9 {
			shorter := Script{Seed: f.Script.Seed, Faults: append([]Fault{}, f.Script.Faults...)}
			shorter.Faults[i].Duration /= 2
			b := breaks(shorter)
			if b == nil {
				break
			}
			f = Failure{shorter, b}
		}
	}
	return f, played
}
