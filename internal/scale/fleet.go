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

// managerCoreShare is the fraction of a core that a manager may use.
const managerCoreShare = 0.011

// managersBeforeMemoryCheck is the number of managers to open before checking whether all of them fit into memory.
const managersBeforeMemoryCheck = 8

// hollowFleet is a fleet of hollow managers that read one endpoint list.
type hollowFleet struct {
	scenario        Scenario
	site            fakes.Site
	config          config.Config
	completeList    string         // the complete endpoint list at the first version
	relayMessages   []node.Message // messages from the relay to a manager that starts
	coreShare       float64        // fraction of a core for each manager
	managers        []*pacedManager
	bytesPerManager float64 // heap of one manager, estimated by checkMemory
}

// newHollowFleet returns a fleet without managers. Managers that are added get coreShare of a core each.
func newHollowFleet(scenario Scenario, coreShare float64) (*hollowFleet, error) {
	site := scenario.site()
	config, err := scenario.managerConfig(site)
	if err != nil {
		return nil, err
	}
	return &hollowFleet{
		scenario:      scenario,
		site:          site,
		config:        config,
		completeList:  scenario.completeList(site, firstVersion),
		relayMessages: initialRelayMessages(scenario, site),
		coreShare:     coreShare,
	}, nil
}

// initialRelayMessages returns the messages from the relay to a manager that starts: all proxies connect, and a usage
// report says that there are no requests.
func initialRelayMessages(scenario Scenario, site fakes.Site) []node.Message {
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

// add starts one more manager, which has received nothing yet.
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

// checkMemory estimates from the first managersBeforeMemoryCheck managers whether all managers fit into memory.
func (f *hollowFleet) checkMemory(memory Memory, emptyHeap float64, managers int) error {
	if len(f.managers) != managersBeforeMemoryCheck {
		return nil
	}
	f.bytesPerManager = (heapInUse() - emptyHeap) / managersBeforeMemoryCheck
	return memory.checkFits(fmt.Sprintf("%s %d", Managers, managers), f.bytesPerManager, managers)
}

// advanceAll advances the clock of all managers.
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

// openManager delivers the complete list and the relay's events to a manager that starts. Reading the list takes
// listReadTime of processor time in addition to the measured time of the step.
func (f *hollowFleet) openManager(m *pacedManager, at, listReadTime time.Duration) error {
	if _, err := m.advance(at, ""); err != nil {
		return err
	}
	if _, err := m.step(at, node.Message{Kind: node.EndpointListMessage, Text: f.completeList}); err != nil {
		return err
	}
	m.busyUntil += m.wallTime(listReadTime)
	_, err := m.step(at, f.relayMessages...)
	return err
}

// pacedManager is a hollow manager that runs on a share of a core: a step starts only when the previous one is finished.
type pacedManager struct {
	manager     *node.HollowManager
	coreShare   float64
	proxies     *proxyTables
	now         time.Duration
	busyUntil   time.Duration
	pendingAcks []step // acknowledgements not yet delivered, by time
}

// wallTime returns how long work of a given processor time takes on the manager's share of a core.
func (m *pacedManager) wallTime(cpu time.Duration) time.Duration {
	return time.Duration(float64(cpu) / m.coreShare)
}

// step delivers messages as soon as the manager has processed the earlier ones, and returns the servers that it
// withdraws. The calling goroutine must be locked to its thread.
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
			m.pendingAcks = append(m.pendingAcks, step{at: m.busyUntil + ackDelay, messages: acks})
		}
	}
	return withdrawn, nil
}

// advance advances the manager's clock until it withdraws the server, at most to the given time. It reports whether the
// manager withdrew the server.
func (m *pacedManager) advance(to time.Duration, server balancer.ServerID) (withdrawn bool, err error) {
	for {
		next := m.takeNextStep(to)
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

// takeNextStep returns the manager's next step: its timer, or acknowledgements, which are removed from the pending ones.
// A step later than end means that nothing happens until end. Acknowledgements that are due after end but before the
// timer are lost. All published figures were measured this way.
func (m *pacedManager) takeNextStep(end time.Duration) step {
	next := step{at: end + 1}
	if wake := m.manager.NextWake(); wake > 0 {
		next.at = max(wake, m.now)
	}
	if len(m.pendingAcks) > 0 && m.pendingAcks[0].at <= next.at {
		next = m.pendingAcks[0]
		m.pendingAcks = m.pendingAcks[1:]
	}
	return next
}

// NotWithdrawnError reports that a manager did not withdraw a server in time.
type NotWithdrawnError struct {
	Server  balancer.ServerID
	Timeout time.Duration // since the manager received the change that drains the server
}

// Error returns a message with the server and the timeout.
func (e *NotWithdrawnError) Error() string {
	return fmt.Sprintf("server %s is not withdrawn %v after the change that drains it", e.Server, e.Timeout)
}

// withdrawalTime delivers a message and returns the time at which the manager has withdrawn the server.
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
