package node

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/config"
)

// MessageKind identifies the peer that a message comes from or goes to.
type MessageKind int

// Kinds of messages.
const (
	EndpointListMessage   MessageKind = iota // a line of discovery's watch
	ProxyEventMessage                        // an event of the relay's stream
	LoadReportMessage                        // a collector's report on a server
	UsageReportMessage                       // a collector's report on a proxy
	HealthCheckMessage                       // a health check and its response
	RelayCallMessage                         // a call to the relay and its response
	HeartbeatMessage                         // a heartbeat on a stream
	ProxyEventsOpened                        // the relay's stream has opened; has no bytes on the wire
	ProxySnapshotComplete                    // the relay's stream has sent its snapshot; has no bytes on the wire
	messageKindCount      int         = iota
)

// Message is one input of a hollow manager.
type Message struct {
	Kind   MessageKind
	Event  string            // name of the event, for a ProxyEventMessage
	Text   string            // the message as on the wire, without framing
	Server balancer.ServerID // the server that responds, for a HealthCheckMessage
}

// Traffic counts messages and their bytes. TCP and IP headers are not counted.
type Traffic struct {
	Messages int64
	In       int64 // bytes received by the manager
	Out      int64 // bytes sent by the manager
}

// StepResult holds what a hollow manager sent in one step.
type StepResult struct {
	RelayCalls   []balancer.Commands // in the order in which the relay receives them
	HealthChecks []balancer.ServerID // servers that the manager requests health checks of
}

// relayRetryDelay is how long commands that the balancer's limits defer wait before they are tried again: the mean of the
// relay client's backoff.
const relayRetryDelay = 125 * time.Millisecond

// HollowManager is a manager without a process and connections of its own. It consists of the decoders, the router with
// the balancer and the version chain, and the encoder of relay calls, and is driven step by step on a virtual clock. It is
// used to measure how the manager's cost grows; the daemon never creates one. docs/design/scale.md lists the parts that
// it lacks. It is not safe for concurrent use.
type HollowManager struct {
	node            *Node
	traffic         [messageKindCount]Traffic
	deferred        balancer.Commands  // commands that the balancer's limits defer
	deferredBarrier balancer.BarrierID // barrier of the call from which the deferred commands were left over
	retryAt         time.Duration      // when to retry the deferred commands; 0: there are none
	result          StepResult
	// Observe, if set, is called twice for each input: with true before the router handles it, and with false afterwards.
	Observe func(before bool)
}

// NewHollowManager creates a hollow manager from a daemon's configuration. It has no store and none of the listeners for
// operators and replicas. The virtual clock starts at epoch. Errors are those of New.
func NewHollowManager(cfg config.Config, epoch time.Time) (*HollowManager, error) {
	cfg.StorePath = ""
	cfg.TablesAddress = ""
	cfg.AdminSocket = ""
	cfg.StatusAddress = ""
	node, err := New(cfg, io.Discard)
	if err != nil {
		return nil, err
	}
	node.decoder.startedAt = epoch
	// With a start in the future, the wall clock never overtakes the virtual time: the router's advanceClock then only
	// adds a nanosecond, so that no two inputs have the same time.
	node.router.startedAt = time.Now().Add(wallClockOffset)
	node.router.onProxyEventsOpened = func() {}
	return &HollowManager{node: node}, nil
}

// wallClockOffset is how far in the future the router's start lies; it is longer than any run lasts.
const wallClockOffset = 365 * 24 * time.Hour

// Close releases the manager's resources. The manager must not be used afterwards.
func (h *HollowManager) Close() {
	h.node.cancelLifetime()
	h.node.logWriter.Shutdown(time.Second)
}

// NextWake returns the time at which Step must be called even without a message, or 0 if that is not needed until the
// next message.
func (h *HollowManager) NextWake() time.Duration {
	wake := h.node.router.nextTimer
	if h.retryAt > 0 && (wake == 0 || h.retryAt < wake) {
		return h.retryAt
	}
	return wake
}

// Traffic returns the traffic of one kind of message so far.
func (h *HollowManager) Traffic(kind MessageKind) Traffic { return h.traffic[kind] }

// Step passes messages that arrive together to the router, runs its timer if it is due, and sends its commands. The time
// is counted from epoch. The relay accepts each call at once. An error quotes the message that could not be decoded.
func (h *HollowManager) Step(at time.Duration, messages ...Message) (StepResult, error) {
	router := h.node.router
	router.now = max(router.now+1, at)
	h.result = StepResult{}
	for _, message := range messages {
		in, err := h.decode(message)
		if err != nil {
			return h.result, fmt.Errorf("%.80q: %w", message.Text, err)
		}
		if in != nil {
			h.callObserved(func() { router.handle(in) })
		}
	}
	if router.nextTimer > 0 && router.now >= router.nextTimer {
		router.nextTimer = 0
		h.callObserved(func() { router.apply(router.manager.HandleTimer(router.now)) })
	}
	router.checkHold()
	router.flush()
	h.send()
	h.collectHealthChecks()
	return h.result, nil
}

func (h *HollowManager) callObserved(do func()) {
	if h.Observe == nil {
		do()
		return
	}
	h.Observe(true)
	do()
	h.Observe(false)
}

// decode counts a message and decodes it as the daemon's readers do. It returns nil for a message that is not passed to
// the router.
func (h *HollowManager) decode(message Message) (in input, err error) {
	decoder := h.node.decoder
	switch message.Kind {
	case EndpointListMessage:
		h.count(message.Kind, chunkedSize(len(message.Text)+len("\n")), 0)
		list, _, err := decoder.parseList([]byte(message.Text))
		return list, err
	case ProxyEventMessage:
		size := len("event: \ndata: \n\n") + len(message.Event) + len(message.Text)
		h.count(message.Kind, chunkedSize(size), 0)
		event, err := decoder.parseEvent(message.Event, message.Text)
		return event, err
	case LoadReportMessage, UsageReportMessage:
		h.count(message.Kind, len(message.Text)+len("\r\n"), 0)
		decoded, err := decoder.parseLine(message.Text)
		reported, isSample := decoded.(sample)
		if !isSample {
			return nil, err
		}
		return reported, err
	case HealthCheckMessage:
		address := h.node.router.addresses[message.Server]
		size := HealthCheckTraffic(address)
		h.count(message.Kind, int(size.In), int(size.Out))
		return healthCheckResult{server: message.Server, address: address,
			outcome: balancer.HealthCheckPassed, latency: time.Millisecond, inFlight: -1}, nil
	case HeartbeatMessage:
		h.count(message.Kind, chunkedSize(len(message.Text)), 0)
		return nil, nil
	case ProxyEventsOpened:
		return proxyEventsOpened{}, nil
	case ProxySnapshotComplete:
		return proxySnapshotComplete{}, nil
	}
	return nil, fmt.Errorf("messages of kind %d are not inputs of a manager", message.Kind)
}

func (h *HollowManager) count(kind MessageKind, in, out int) {
	h.traffic[kind].Messages++
	h.traffic[kind].In += int64(in)
	h.traffic[kind].Out += int64(out)
}

// chunkedSize returns the number of bytes that a piece of a stream has on the wire as one HTTP chunk.
func chunkedSize(size int) int { return len(fmt.Sprintf("%x\r\n", size)) + size + len("\r\n") }

// Samples of HTTP messages, from which their sizes are taken: a health check without the server's address, and the
// responses to health checks and relay calls.
const (
	healthCheckRequest = "GET /metrics/load HTTP/1.1\r\nUser-Agent: fasthttp\r\nHost: \r\nConnection: close\r\n\r\n"
	responseHeader     = "HTTP/1.1 200 OK\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\nContent-Length: 84\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	healthCheckResponse = responseHeader + "TEXT inflight=3, queue=0, util=0.50"
	callResponse        = responseHeader + `<?xml version="1.0"?><Response><items><item><taken>100</taken></item></items></Response>`
)

// HealthCheckTraffic returns the traffic of one health check of a server at an address, including the response.
func HealthCheckTraffic(address string) Traffic {
	return Traffic{Messages: 1, In: int64(len(healthCheckResponse)), Out: int64(len(healthCheckRequest) + len(address))}
}

// send does what the relay client does when each call is accepted: it sends the queued commands. For commands that did
// not fit into a call, it asks the balancer which of them may be sent next.
func (h *HollowManager) send() {
	if h.retryAt > 0 {
		if h.node.router.now < h.retryAt {
			return
		}
		h.retryAt = 0
		next := h.resend(h.deferred, h.deferredBarrier, false)
		h.deferred = balancer.Commands{}
		if !h.sendAll(next.allowed, next.deferred) {
			return
		}
	}
	for {
		next, queued := h.node.router.backlog.next()
		if !queued || !h.sendAll(next, balancer.Commands{}) {
			return
		}
	}
}

// sendAll sends commands in as many calls as needed. It returns false if the balancer's limits defer the rest; those are
// retried later.
func (h *HollowManager) sendAll(allowed, deferred balancer.Commands) bool {
	for {
		sent := h.call(allowed)
		missing := commands.Merge(commands.SkipFirst(allowed, sent), deferred)
		if missing.Count() == 0 {
			return true
		}
		if sent == 0 {
			h.deferred = missing
			h.deferredBarrier = allowed.Barrier
			h.retryAt = h.node.router.now + relayRetryDelay
			return false
		}
		next := h.resend(missing, allowed.Barrier, true)
		allowed = next.allowed
		deferred = next.deferred
	}
}

// resend asks the router which of the commands that were not accepted may be sent now.
func (h *HollowManager) resend(missing balancer.Commands, barrier balancer.BarrierID, mayHaveExecuted bool) resendReply {
	reply := make(chan resendReply, 1)
	request := resendRequest{commands: missing, barrier: barrier, mayHaveExecuted: mayHaveExecuted, reply: reply}
	h.node.router.handle(request)
	return <-reply
}

// call sends as many commands as fit into one call and returns their number. If these are all the commands up to a
// barrier, the router is notified that they were accepted.
func (h *HollowManager) call(all balancer.Commands) (sent int) {
	if commands.IsEmpty(all) {
		return 0
	}
	encoded := encodeCommands(all, h.node.config.ClassNames, h.node.config.Limits.MaxCallBytes)
	h.count(RelayCallMessage, len(callResponse), callSize(h.node.config.Relay, strings.Join(encoded, ";")))
	sent = len(encoded)
	if all.Barrier > 0 {
		sent--
	}
	h.result.RelayCalls = append(h.result.RelayCalls, commands.KeepFirst(all, sent, all.Barrier))
	if all.Barrier > 0 && sent == all.Count() {
		h.node.router.handle(callCompleted{barrier: all.Barrier, complete: true})
	}
	return sent
}

// callSize returns the number of bytes that a call has on the wire.
func callSize(address, text string) int {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	prepareCall(request, address, text)
	size := byteCounter(0)
	out := bufio.NewWriter(&size)
	if request.Write(out) != nil || out.Flush() != nil {
		panic("writing a relay call to a byte counter failed")
	}
	return int(size)
}

// byteCounter counts the bytes that are written to it.
type byteCounter int

func (c *byteCounter) Write(text []byte) (int, error) {
	*c += byteCounter(len(text))
	return len(text), nil
}

func (h *HollowManager) collectHealthChecks() {
	for {
		select {
		case target := <-h.node.router.healthChecks:
			h.result.HealthChecks = append(h.result.HealthChecks, target.server)
		case <-h.node.router.listRequested: // ignored: the caller passes endpoint lists without being asked
		default:
			return
		}
	}
}
