package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
	"tamarindshore/internal/fakes"
	"tamarindshore/internal/node"
)

// coreShare is the part of a core that a manager may use.
const managerCoreShare = 0.011

// fleet is many hollow managers that read one list.
type hollowFleet struct {
	scenario        Scenario
	site            fakes.Site
	start           config.Config
	list            string         // the whole list at the first version
	opening         []node.Message // what the relay tells a manager that starts
	coreShare       float64        // of a core, that each manager has
	managers        []*pacedManager
	bytesPerManager float64 // of the heap, for each manager
}

// follower is one manager of a fleet, on its part of a core: a step begins once the one before it is done.
type pacedManager struct {
	manager   *node.HollowManager
	coreShare float64
	proxies   *proxyTables
	now       time.Duration
	busyUntil time.Duration
	acks      []step
}

// newFleet is a fleet without managers, each of which will have a share of a core.
func newHollowFleet(scenario Scenario, share float64) (*hollowFleet, error) {
	f := &hollowFleet{scenario: scenario, site: scenario.site(), coreShare: share}
	f.list = scenario.completeList(f.site, firstVersion)
	f.opening = []node.Message{{Kind: node.ProxyEventsOpened}}
	source := &recorder{scenario: scenario, site: f.site}
	for proxy := range scenario.Proxies {
		f.opening = append(f.opening, source.proxyConnected(proxy))
	}
	f.opening = append(f.opening, node.Message{Kind: node.ProxySnapshotComplete}, usageReport(0, f.site.TrafficClasses[0].Name, 0, time.Second))
	var err error
	f.start, err = scenario.managerConfig(f.site)
	return f, err
}

func (f *hollowFleet) close() {
	for _, one := range f.managers {
		one.manager.Close()
	}
}

// add starts one more manager, which knows nothing yet.
func (f *hollowFleet) add() (*pacedManager, error) {
	start := f.start
	start.Seed = f.scenario.Seed + uint64(len(f.managers))
	manager, err := node.NewHollowManager(start, scriptEpoch)
	if err != nil {
		return nil, err
	}
	one := &pacedManager{manager: manager, coreShare: f.coreShare, proxies: newProxyTables()}
	f.managers = append(f.managers, one)
	return one, nil
}

// fleetProbe is how many managers are opened before it is said whether all of them fit.
const managersBeforeMemoryCheck = 8

// checkMemory tells once, after the first managers were opened, whether all of them fit.
func (f *hollowFleet) checkMemory(memory Memory, empty float64, managers int) error {
	if len(f.managers) != managersBeforeMemoryCheck {
		return nil
	}
	f.bytesPerManager = (heapInUse() - empty) / managersBeforeMemoryCheck
	return memory.checkFits(fmt.Sprintf("%s %d", Managers, managers), f.bytesPerManager, managers)
}

// advanceAll lets time pass for all managers.
func (f *hollowFleet) advanceAll(ctx context.Context, to time.Duration) error {
	for _, one := range f.managers {
		if err := ctx.Err(); err != nil {
			return err
		}
		if _, err := one.advance(to, ""); err != nil {
			return err
		}
	}
	return nil
}

// open tells a manager that starts the whole list and the relay's news. Besides what it does here, reading the list
// takes it a processor time that is given.
func (f *hollowFleet) openManager(one *pacedManager, at, reading time.Duration) error {
	if _, err := one.advance(at, ""); err != nil {
		return err
	}
	if _, err := one.step(at, node.Message{Kind: node.EndpointListMessage, Text: f.list}); err != nil {
		return err
	}
	one.busyUntil += one.wallTime(reading)
	_, err := one.step(at, f.opening...)
	return err
}

// paced is how long a processor time takes on the manager's share of a core.
func (f *pacedManager) wallTime(cpu time.Duration) time.Duration {
	return time.Duration(float64(cpu) / f.coreShare)
}

// step tells a follower messages, once it is done with what came before, and lets its proxies' answers be under way.
// The calling goroutine must be locked to its thread.
func (f *pacedManager) step(at time.Duration, messages ...node.Message) (withdrawn []balancer.ServerID, err error) {
	f.now = max(f.now, at, f.busyUntil)
	began := threadCPU()
	result, err := f.manager.Step(f.now, messages...)
	f.busyUntil = f.now + f.wallTime(threadCPU()-began)
	if err != nil {
		return nil, err
	}
	for _, call := range result.RelayCalls {
		withdrawn = append(withdrawn, call.Withdraw...)
		answers := step{at: f.busyUntil + ackDelay}
		for _, proxy := range f.proxies.apply(call) {
			if call.Barrier > 0 {
				answers.messages = append(answers.messages, barrierAck(proxy, call.Barrier))
			}
		}
		if len(answers.messages) > 0 {
			f.acks = append(f.acks, answers)
		}
	}
	return withdrawn, nil
}

// advance lets time pass for a follower until its orders withdraw a server, or to a time. It tells whether they did.
func (f *pacedManager) advance(to time.Duration, server balancer.ServerID) (withdrawn bool, err error) {
	for {
		at := to + 1
		if next := f.manager.NextWake(); next > 0 {
			at = max(next, f.now)
		}
		var messages []node.Message
		if len(f.acks) > 0 && f.acks[0].at <= at {
			at, messages = f.acks[0].at, f.acks[0].messages
			f.acks = f.acks[1:]
		}
		if at > to {
			f.now = max(f.now, to)
			return false, nil
		}
		servers, err := f.step(at, messages...)
		if err != nil {
			return false, err
		}
		if server != "" && slices.Contains(servers, server) {
			return true, nil
		}
	}
}

// withdraws tells a follower a message and gives the time at which its orders carry a server's withdrawal.
func (f *pacedManager) withdrawalTime(at time.Duration, message node.Message, server balancer.ServerID) (time.Duration, error) {
	if withdrawn, err := f.advance(at, server); err != nil || withdrawn {
		return f.busyUntil, err
	}
	servers, err := f.step(at, message)
	if err != nil || slices.Contains(servers, server) {
		return f.busyUntil, err
	}
	withdrawn, err := f.advance(f.now+propagationTimeout, server)
	if err == nil && !withdrawn {
		return 0, fmt.Errorf("%s is not withdrawn %v after its drain was told", server, propagationTimeout)
	}
	return f.busyUntil, err
}
