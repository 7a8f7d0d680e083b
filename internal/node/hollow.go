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

// MessageKind says which peer a message comes from or goes to.
type MessageKind int

// Kinds of messages.
const (
	EndpointListMessage   MessageKind = iota // a line of discovery's watch
	ProxyEventMessage                        // an event of the relay's stream
	LoadReportMessage                        // a collector's line on a server
	UsageReportMessage                       // a collector's line on a proxy
	HealthCheckMessage                       // a health check and its answer
	RelayCallMessage                         // a call to the relay and its answer
	HeartbeatMessage                         // a heartbeat on a stream
	ProxyEventsOpened                        // the relay's stream has opened; it has no bytes of its own
	ProxySnapshotComplete                    // the relay's stream has sent its snapshot; it has no bytes of its own
	messageKinds          int         = iota
)

// Message is one message to a hollow manager.
type Message struct {
	Kind   MessageKind
	Event  string            // the event's name, of a ProxyEventMessage
	Text   string            // the message as on the wire, without its framing
	Server balancer.ServerID // that answers a HealthCheckMessage
}

// Traffic counts the messages and bytes of one kind. TCP and IP headers are not counted.
type Traffic struct {
	Messages int64
	In       int64 // bytes
	Out      int64 // bytes
}

// StepResult is what a hollow manager did in one step.
type StepResult struct {
	RelayCalls   []balancer.Commands // in the order in which the relay gets them
	HealthChecks []balancer.ServerID // that the manager requests
}

// relayRetry is how long commands wait that the balancer's limits hold back: the mean of the relay client's backoff.
const relayRetry = 125 * time.Millisecond

// HollowManager is a manager without its process: the decoders, the router with the balancer and the chain of versions,
// and the encoder of calls, driven step by step on a virtual clock. It serves measurements of how the manager's cost
// grows; the daemon never makes one. docs/design/scale.md lists what it lacks. It is not safe for concurrent use.
type HollowManager struct {
	node            *Node
	traffic         [messageKinds]Traffic
	deferred        balancer.Commands  // by the balancer's limits
	deferredBarrier balancer.BarrierID // of the call that they were part of
	retryAt         time.Duration      // 0: nothing waits
	result          StepResult
	// Observe is called with each input before and after the router takes it, where it is set.
	Observe func(before bool)
}

// NewHollowManager makes a hollow manager from a daemon's configuration, without its store and the operator's listeners.
// The virtual clock starts at epoch. Errors are those of New.
func NewHollowManager(start config.Config, epoch time.Time) (*HollowManager, error) {
	start.StorePath = ""
	start.TablesAddress = ""
	start.AdminSocket = ""
	start.StatusAddress = ""
	node, err := New(start, io.Discard)
	if err != nil {
		return nil, err
	}
	node.decoder.startedAt = epoch
	// The router's own reading of the clock is never later than the virtual time: its tick only makes times differ.
	node.router.startedAt = time.Now().Add(hollowFuture)
	node.router.onProxyEventsOpened = func() {}
	return &HollowManager{node: node}, nil
}

// hollowFuture is longer than any run lasts.
const hollowFuture = 365 * 24 * time.Hour

// Close ends what the manager started. It must not be used after that.
func (h *HollowManager) Close() {
	h.node.cancelLifetime()
	h.node.logWriter.Shutdown(time.Second)
}

// NextWake is the time at which the manager wants to be stepped without a message; 0: not before one comes.
func (h *HollowManager) NextWake() time.Duration {
	wake := h.node.router.nextTimer
	if h.retryAt > 0 && (wake == 0 || h.retryAt < wake) {
		return h.retryAt
	}
	return wake
}

// Traffic is what was counted of a kind so far.
func (h *HollowManager) Traffic(kind MessageKind) Traffic { return h.traffic[kind] }

// Step passes messages that come together to the router at a time since the start, lets it decide, and sends its
// commands. The relay accepts each call at once. An error names the message that could not be decoded.
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
			h.observed(func() { router.handle(in) })
		}
	}
	if router.nextTimer > 0 && router.now >= router.nextTimer {
		router.nextTimer = 0
		h.observed(func() { router.apply(router.manager.HandleTimer(router.now)) })
	}
	router.checkHold()
	router.flush()
	h.send()
	h.takeHealthChecks()
	return h.result, nil
}

func (h *HollowManager) observed(do func()) {
	if h.Observe == nil {
		do()
		return
	}
	h.Observe(true)
	do()
	h.Observe(false)
}

// decode counts a message and decodes it as the daemon's readers do; nil where it is no input of the router.
func (h *HollowManager) decode(message Message) (in input, err error) {
	decoder := h.node.decoder
	switch message.Kind {
	case EndpointListMessage:
		h.count(message.Kind, chunked(len(message.Text)+len("\n")), 0)
		list, _, err := decoder.parseList([]byte(message.Text))
		return list, err
	case ProxyEventMessage:
		size := len("event: \ndata: \n\n") + len(message.Event) + len(message.Text)
		h.count(message.Kind, chunked(size), 0)
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
		return healthCheckResult{server: message.Server, address: address, outcome: balancer.HealthCheckPassed, latency: time.Millisecond, inFlight: -1}, nil
	case HeartbeatMessage:
		h.count(message.Kind, chunked(len(message.Text)), 0)
		return nil, nil
	case ProxyEventsOpened:
		return proxyEventsOpened{}, nil
	case ProxySnapshotComplete:
		return proxySnapshotComplete{}, nil
	}
	return nil, fmt.Errorf("kind %d is none that comes in", message.Kind)
}

func (h *HollowManager) count(kind MessageKind, in, out int) {
	h.traffic[kind].Messages++
	h.traffic[kind].In += int64(in)
	h.traffic[kind].Out += int64(out)
}

// chunked is how many bytes a piece of a stream has on the wire.
func chunked(size int) int { return len(fmt.Sprintf("%x\r\n", size)) + size + len("\r\n") }

// A health check and the answers to health checks and calls as they are on the wire, without the server's address.
const (
	probeRequest = "GET /metrics/load HTTP/1.1\r\nUser-Agent: fasthttp\r\nHost: \r\nConnection: close\r\n\r\n"
	answerHeader = "HTTP/1.1 200 OK\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\nContent-Length: 84\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	probeAnswer = answerHeader + "TEXT inflight=3, queue=0, util=0.50"
	callAnswer  = answerHeader + `<?xml version="1.0"?><Response><items><item><taken>100</taken></item></items></Response>`
)

// HealthCheckTraffic gives the traffic of one health check of an address and its answer.
func HealthCheckTraffic(address string) Traffic {
	return Traffic{Messages: 1, In: int64(len(probeAnswer)), Out: int64(len(probeRequest) + len(address))}
}

// send does what the relay client does where each call is accepted: it sends what is queued, and asks the balancer which
// commands may follow those that a call holds.
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
		next, waits := h.node.router.backlog.next()
		if !waits || !h.sendAll(next, balancer.Commands{}) {
			return
		}
	}
}

// sendAll sends commands until none of them is missing; false where the rest has to wait.
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
			h.retryAt = h.node.router.now + relayRetry
			return false
		}
		next := h.resend(missing, allowed.Barrier, true)
		allowed = next.allowed
		deferred = next.deferred
	}
}

func (h *HollowManager) resend(missing balancer.Commands, barrier balancer.BarrierID, mayHaveExecuted bool) resendReply {
	reply := make(chan resendReply, 1)
	request := resendRequest{commands: missing, barrier: barrier, mayHaveExecuted: mayHaveExecuted, reply: reply}
	h.node.router.handle(request)
	return <-reply
}

// call sends as many commands as a call holds and gives how many those are. The router is notified that they were accepted.
func (h *HollowManager) call(all balancer.Commands) (sent int) {
	if commands.IsEmpty(all) {
		return 0
	}
	text := encodeCommands(all, h.node.config.ClassNames, h.node.config.Limits.MaxCallBytes)
	h.count(RelayCallMessage, len(callAnswer), callSize(h.node.config.Relay, strings.Join(text, ";")))
	sent = len(text)
	if all.Barrier > 0 {
		sent--
	}
	h.result.RelayCalls = append(h.result.RelayCalls, commands.KeepFirst(all, sent, all.Barrier))
	if all.Barrier > 0 && sent == all.Count() {
		h.node.router.handle(callCompleted{barrier: all.Barrier, complete: true})
	}
	return sent
}

// callSize is how many bytes a call has on the wire.
func callSize(address, text string) int {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	prepareCall(request, address, text)
	size := byteCounter(0)
	out := bufio.NewWriter(&size)
	if request.Write(out) != nil || out.Flush() != nil {
		panic("a request can't be written to memory")
	}
	return int(size)
}

// byteCounter counts what is written to it.
type byteCounter int

func (c *byteCounter) Write(text []byte) (int, error) {
	*c += byteCounter(len(text))
	return len(text), nil
}

func (h *HollowManager) takeHealthChecks() {
	for {
		select {
		case target := <-h.node.router.healthChecks:
			h.result.HealthChecks = append(h.result.HealthChecks, target.server)
		case <-h.node.router.listRequested: // the list comes without a request
		default:
			return
		}
	}
}
