package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"tamarindshore/choice"
	"tamarindshore/internal/node"
)

// How a change reaches managers, as docs/design/scale.md states it: one control machine writes it to its readers one
// after another, then it crosses the network, then each manager decides on its part of a core.
const (
	transitLeast = 500 * time.Microsecond // within a zone
	transitMost  = 75 * time.Millisecond  // to the farthest region
	coreShare    = 0.011                  // of a core that a manager may use
)

// Sizes of the managers whose changes are timed: the smallest state in which tables, climbs and withdrawals all occur.
const (
	inForceServers = 60
	inForceProxies = 20
	inForceZones   = 3
	inForceMost    = 30 * time.Second // until a change that isn't in force counts as lost
)

// fleet is many hollow managers that read one list.
type fleet struct {
	scenario       Scenario
	managers       []*follower
	bytes          float64       // of the heap, for each manager
	writePerReader time.Duration // of the control side, for one change and one reader
}

// follower is one manager of a fleet and what it is about to be told.
type follower struct {
	manager *node.Hollow
	proxies *proxyTables
	now     time.Duration
	answers []step
}

func inForceScenario(seed uint64) Scenario {
	scenario := Reference()
	scenario.Seed, scenario.Servers, scenario.Proxies, scenario.Zones = seed, inForceServers, inForceProxies, inForceZones
	return scenario
}

// newFleet opens managers one after another until all have bound their proxies.
func newFleet(ctx context.Context, scenario Scenario, managers int, memory Memory) (*fleet, error) {
	site := scenario.site()
	f := &fleet{scenario: scenario}
	list := scenario.wholeList(site, firstVersion)
	opening := []node.Message{{Kind: node.NewsOpened}}
	source := &recorder{scenario: scenario, site: site}
	for proxy := range scenario.Proxies {
		opening = append(opening, source.joined(proxy))
	}
	opening = append(opening, node.Message{Kind: node.NewsComplete}, usage(0, site.Groups[0].Name, 0, time.Second))
	start, err := scenario.start(site)
	if err != nil {
		return f, err
	}
	empty := heldBytes()
	for n := range managers {
		if err := ctx.Err(); err != nil {
			return f, err
		}
		start.Seed = scenario.Seed + uint64(n)
		manager, err := node.NewHollow(start, scriptEpoch)
		if err != nil {
			return f, err
		}
		one := &follower{manager: manager, proxies: newProxyTables()}
		f.managers = append(f.managers, one)
		if _, err := one.step(time.Millisecond, node.Message{Kind: node.ListMessage, Text: list}); err != nil {
			return f, err
		}
		if _, err := one.step(2*time.Millisecond, opening...); err != nil {
			return f, err
		}
		if _, err := one.advance(joinSpan, ""); err != nil {
			return f, err
		}
		if n+1 == fleetProbe {
			f.bytes = (heldBytes() - empty) / fleetProbe
			if err := memory.allows(fmt.Sprintf("%s %d", Managers, managers), f.bytes, managers); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// fleetProbe is how many managers are opened before it is said whether all of them fit.
const fleetProbe = 8

func (f *fleet) close() {
	for _, one := range f.managers {
		one.manager.Close()
	}
}

// step tells a follower messages and lets its proxies' answers be under way.
func (f *follower) step(at time.Duration, messages ...node.Message) (withdrawn []choice.ServerID, err error) {
	f.now = max(f.now, at)
	result, err := f.manager.Step(f.now, messages...)
	if err != nil {
		return nil, err
	}
	for _, call := range result.Calls {
		withdrawn = append(withdrawn, call.Withdraw...)
		answers := step{at: f.now + answerDelay}
		for _, proxy := range f.proxies.apply(call) {
			if call.Mark > 0 {
				answers.messages = append(answers.messages, appliedMessage(proxy, call.Mark))
			}
		}
		if len(answers.messages) > 0 {
			f.answers = append(f.answers, answers)
		}
	}
	return withdrawn, nil
}

// advance lets time pass for a follower until a server is withdrawn, or to a time. It gives when it was, or 0.
func (f *follower) advance(to time.Duration, server choice.ServerID) (time.Duration, error) {
	for {
		at := to + 1
		if next := f.manager.Next(); next > 0 {
			at = max(next, f.now)
		}
		var messages []node.Message
		if len(f.answers) > 0 && f.answers[0].at <= at {
			at, messages = f.answers[0].at, f.answers[0].messages
			f.answers = f.answers[1:]
		}
		if at > to {
			f.now = to
			return 0, nil
		}
		withdrawn, err := f.step(at, messages...)
		if err != nil {
			return 0, err
		}
		if server != "" && slices.Contains(withdrawn, server) {
			return f.now, nil
		}
	}
}

// change drains a server at a time and gives, for each manager, the time until its orders carry the withdrawal.
func (f *fleet) change(ctx context.Context, at time.Duration, version, server int) ([]float64, error) {
	site := f.scenario.site()
	source := &recorder{scenario: f.scenario, site: site, version: version - 1, order: []int{server}}
	message := source.change(1)
	id := choice.ServerID(f.scenario.entry(site, server, "").ID)
	chance := rand.New(rand.NewPCG(f.scenario.Seed, uint64(version)))
	for _, one := range f.managers {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if _, err := one.advance(at, ""); err != nil {
			return nil, err
		}
	}
	// A manager of its own has a small heap; the collection of all that are here would count as its decision.
	runtime.GC()
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var times []float64
	for rank, place := range chance.Perm(len(f.managers)) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		transit := transitLeast + time.Duration(chance.Float64()*float64(transitMost-transitLeast))
		told := at + time.Duration(rank+1)*f.writePerReader + transit
		took, err := f.managers[place].withdraws(told, message, id)
		if err != nil {
			return nil, err
		}
		times = append(times, (told - at + took).Seconds())
	}
	slices.Sort(times)
	return times, nil
}

// withdraws tells a follower a change, and gives the time until its orders carry a server's withdrawal: the processor
// time of the decision at the manager's share of a core, and what it waited for room.
func (f *follower) withdraws(told time.Duration, message node.Message, server choice.ServerID) (time.Duration, error) {
	if _, err := f.advance(told, ""); err != nil {
		return 0, err
	}
	began := threadCPU()
	withdrawn, err := f.step(told, message)
	decided := time.Duration(float64(threadCPU()-began) / coreShare)
	if err != nil || slices.Contains(withdrawn, server) {
		return decided, err
	}
	at, err := f.advance(told+inForceMost, server)
	if err == nil && at == 0 {
		return 0, fmt.Errorf("%s is not withdrawn %v after its drain was told", server, inForceMost)
	}
	return at - told + decided, err
}

// measureInForce opens a fleet of managers and drains one server after another, a run each.
func measureInForce(ctx context.Context, options Options, writePerReader time.Duration, managers int) ([]sample, error) {
	f, err := newFleet(ctx, inForceScenario(options.Seed), managers, options.Memory)
	defer f.close()
	if err != nil {
		return nil, err
	}
	f.writePerReader = writePerReader
	var samples []sample
	for run := range options.Runs {
		at := joinSpan + time.Duration(run+1)*inForceEvery
		times, err := f.change(ctx, at, firstVersion+1+run, run)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample{ChangeInForceMedian: quantile(times, 0.5), ChangeInForceTail: quantile(times, 0.99),
			ChangeInForceLast: times[len(times)-1], HollowBytes: f.bytes})
	}
	return samples, nil
}

// inForceEvery is the time between the changes that are timed.
const inForceEvery = 40 * time.Second

// quantile of sorted values.
func quantile(sorted []float64, part float64) float64 {
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
