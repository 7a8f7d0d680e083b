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

// managerCoreShare is the part of a core that a manager may use.
const managerCoreShare = 0.011

// managersBeforeMemoryCheck is how many managers are opened before it is checked whether all of them fit.
const managersBeforeMemoryCheck = 8

// hollowFleet is many hollow managers that read one list.
type hollowFleet struct {
	scenario        Scenario
	site            fakes.Site
	config          config.Config
	list            string         // the complete list at the first version
	opening         []node.Message // what the relay sends a manager that starts
	coreShare       float64        // part of a core that each manager has
	managers        []*pacedManager
	bytesPerManager float64 // of the heap
}

// newHollowFleet returns a fleet without managers, each of which will have a share of a core.
func newHollowFleet(scenario Scenario, coreShare float64) (*hollowFleet, error) {
	site := scenario.site()
	config, err := scenario.managerConfig(site)
	if err != nil {
		return nil, err
	}
	return &hollowFleet{
		scenario:  scenario,
		site:      site,
		config:    config,
		list:      scenario.completeList(site, firstVersion),
		opening:   openingMessages(scenario, site),
		coreShare: coreShare,
	}, nil
}

// openingMessages are what the relay sends a manager that starts: all proxies, which have no requests.
func openingMessages(scenario Scenario, site fakes.Site) []node.Message {
	source := newMessageSource(scenario, site)
	messages := []node.Message{{Kind: node.ProxyEventsOpened}}
	for proxy := range scenario.Proxies {
		messages = append(messages, source.proxyConnected(proxy))
	}
	noRequests := usageReport(0, site.TrafficClasses[0].Name, 0, time.Second)
	return append(messages, node.Message{Kind: node.ProxySnapshotComplete}, noRequests)
}

// close closes all managers.
func (f *hollowFleet) close() {
	for _, m := range f.managers {
		m.manager.Close()
	}
}

// add starts one more manager, which knows nothing yet.
func (f *hollowFleet) add() (*pacedManager, error) {
	config := f.config
	config.Seed = f.scenario.Seed + uint64(len(f.managers))
	manager, err := node.NewHollowManager(config, scriptEpoch)
	if err != nil {
		return nil, err
	}
	added := &pacedManager{manager: manager, coreShare: f.coreShare, proxies: newProxyTables()}
	f.managers = append(f.managers, added)
	return added, nil
}

// checkMemory checks, once the first managers were opened, whether all of them fit.
func (f *hollowFleet) checkMemory(memory Memory, emptyHeap float64, managers int) error {
	if len(f.managers) != managersBeforeMemoryCheck {
		return nil
	}
	f.bytesPerManager = (heapInUse() - emptyHeap) / managersBeforeMemoryCheck
	return memory.checkFits(fmt.Sprintf("%s %d", Managers, managers), f.bytesPerManager, managers)
}

// advanceAll lets time pass for all managers.
func (f *hollowFleet) advanceAll(ctx context.Context, to time.Duration) error {
	for _, m := range f.managers {
		if err := ctx.Err(); err != nil {
			return err
		}
		if _, err := m.advance(to, ""); err != nil {
			return err
		}
	}
	return nil
}

// openManager delivers the complete list and the relay's events to a manager that starts. Reading the list takes a given
// processor time beside the time of the step.
func (f *hollowFleet) openManager(m *pacedManager, at, listReadTime time.Duration) error {
	if _, err := m.advance(at, ""); err != nil {
		return err
	}
	if _, err := m.step(at, node.Message{Kind: node.EndpointListMessage, Text: f.list}); err != nil {
		return err
	}
	m.busyUntil += m.wallTime(listReadTime)
	_, err := m.step(at, f.opening...)
	return err
}

// pacedManager is a hollow manager on its share of a core: a step begins once the one before it is done.
type pacedManager struct {
	manager   *node.HollowManager
	coreShare float64
	proxies   *proxyTables
	now       time.Duration
	busyUntil time.Duration
	acks      []step // that are under way, by time
}

// wallTime is how long a processor time takes on the manager's share of a core.
func (m *pacedManager) wallTime(cpu time.Duration) time.Duration {
	return time.Duration(float64(cpu) / m.coreShare)
}

// step delivers messages once the manager is done with earlier ones, and returns the servers that it withdraws. The
// calling goroutine must be locked to its thread.
func (m *pacedManager) step(at time.Duration, messages ...node.Message) ([]balancer.ServerID, error) {
	m.now = max(m.now, at, m.busyUntil)
	began := threadCPU()
	result, err := m.manager.Step(m.now, messages...)
	m.busyUntil = m.now + m.wallTime(threadCPU()-began)
	if err != nil {
		return nil, err
	}
	var withdrawn []balancer.ServerID
	for _, call := range result.RelayCalls {
		withdrawn = append(withdrawn, call.Withdraw...)
		if acks := m.proxies.acknowledge(call); len(acks) > 0 {
			m.acks = append(m.acks, step{at: m.busyUntil + ackDelay, messages: acks})
		}
	}
	return withdrawn, nil
}

// advance lets time pass for a manager until it withdraws a server, or to a time. It reports whether it withdrew it.
func (m *pacedManager) advance(to time.Duration, server balancer.ServerID) (withdrawn bool, err error) {
	for {
		next := m.nextStep(to)
		if next.at > to {
			m.now = max(m.now, to)
			return false, nil
		}
		servers, err := m.step(next.at, next.messages...)
		if err != nil {
			return false, err
		}
		if server != "" && slices.Contains(servers, server) {
			return true, nil
		}
	}
}

// nextStep is what happens next to a manager: its timer, or acknowledgements, which it takes from those under way. One
// after the end says that nothing happens until then. Acknowledgements that are due after the end, and before the timer,
// are lost: all figures so far were measured so.
func (m *pacedManager) nextStep(end time.Duration) step {
	next := step{at: end + 1}
	if wake := m.manager.NextWake(); wake > 0 {
		next.at = max(wake, m.now)
	}
	if len(m.acks) > 0 && m.acks[0].at <= next.at {
		next = m.acks[0]
		m.acks = m.acks[1:]
	}
	return next
}

// NotWithdrawnError says that a manager did not withdraw a server in time.
type NotWithdrawnError struct {
	Server  balancer.ServerID
	Timeout time.Duration // since the manager got that the server drains
}

// Error names the server and the time.
func (e *NotWithdrawnError) Error() string {
	return fmt.Sprintf("%s is not withdrawn %v after its drain was told", e.Server, e.Timeout)
}

// withdrawalTime delivers a message, and returns the time at which the manager has withdrawn a server.
func (m *pacedManager) withdrawalTime(at time.Duration, message node.Message, server balancer.ServerID) (time.Duration, error) {
	if withdrawn, err := m.advance(at, server); err != nil || withdrawn {
		return m.busyUntil, err
	}
	servers, err := m.step(at, message)
	if err != nil || slices.Contains(servers, server) {
		return m.busyUntil, err
	}
	withdrawn, err := m.advance(m.now+propagationTimeout, server)
	if err == nil && !withdrawn {
		return 0, &NotWithdrawnError{Server: server, Timeout: propagationTimeout}
	}
	return m.busyUntil, err
}
