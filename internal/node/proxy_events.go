package node

import (
	"fmt"
	"strings"
	"time"
)

// proxyEventsPath is the path at which the relay streams events of proxies, as server-sent events (text/event-stream).
const proxyEventsPath = "/v3/kv/stream"

// eventNameLetters are the characters allowed in the name of an event.
const eventNameLetters = "abcdefghijklmnopqrstuvwxyz_"

// proxyEventReader reads one event stream of the relay until the stream ends. The stream starts with a snapshot of the
// connected proxies. The snapshot counts as complete at the first heartbeat that arrives ProxySnapshotTimeout or later
// after its start.
type proxyEventReader struct {
	receiver     *receiver
	up           *upstream
	phase        proxyStreamPhase
	startedAt    time.Time // of the phase proxyStreamSnapshot
	eventSkipped bool      // a malformed event, which may be a join or a leave, was skipped
	event        string    // name of the event being read
	data         string    // of the event being read
}

// proxyStreamPhase is the progress of an event stream.
type proxyStreamPhase int

const (
	proxyStreamDialling proxyStreamPhase = iota // the relay has not accepted the stream yet
	proxyStreamOpened                           // the relay accepted the stream, which has not replaced the previous upstream yet
	proxyStreamSnapshot                         // the relay is sending the snapshot
	proxyStreamLive                             // the snapshot is complete
)

// runProxyEvents keeps the event stream of an upstream open until the upstream is replaced or the manager ends.
func (r *receiver) runProxyEvents(up *upstream) {
	r.runStream(up, "proxy_stream", proxyStreamBreaks, func() (bool, error) { return r.readProxyEvents(up) })
}

// readProxyEvents opens the relay's event stream and reads it until it ends.
func (r *receiver) readProxyEvents(up *upstream) (opened bool, err error) {
	reader := proxyEventReader{receiver: r, up: up}
	request := streamRequest{address: up.address, path: proxyEventsPath, idleTimeout: r.limits.ProxyWatchIdleTimeout,
		maxLength: r.limits.MaxWatchEventBytes, readInterval: r.limits.ReadInterval}
	err = stream(up.ctx, r.limits, request, reader.open, reader.readLine)
	return reader.phase >= proxyStreamOpened, err
}

// open is called when the relay has accepted the stream.
func (p *proxyEventReader) open() error {
	p.phase = proxyStreamOpened
	p.receiver.metrics.add(proxyStreamOpens, 1)
	if p.up.previous == nil {
		p.startSnapshot()
	}
	return nil
}

// startSnapshot replaces the previous upstream and begins the snapshot. It is called once per stream.
func (p *proxyEventReader) startSnapshot() {
	p.up.takeOver()
	p.phase = proxyStreamSnapshot
	p.startedAt = time.Now()
	p.enqueue(proxyEventsOpened{})
}

func (p *proxyEventReader) enqueue(in input) bool {
	return enqueue(in, p.receiver.inputs, p.up.ctx.Done())
}

// readLine handles a line of the event stream. An error ends the stream.
func (p *proxyEventReader) readLine(line []byte) error {
	if p.phase < proxyStreamSnapshot { // only now, so that the previous upstream is kept if the new one sends nothing
		p.startSnapshot()
	}
	text := string(line)
	name, value, _ := strings.Cut(text, ":")
	value = strings.TrimPrefix(value, " ")
	switch {
	case text == "":
		return p.endEvent()
	case name == "":
		p.handleHeartbeat()
	case name == "event" && strings.Trim(value, eventNameLetters) == "":
		p.event = value
	case name == "data":
		p.data += value
		if len(p.data) > p.receiver.limits.MaxWatchEventBytes {
			return errLineTooLong
		}
	case name != "id" && name != "retry":
		return fmt.Errorf("unexpected line %.40q in an event stream", text)
	}
	return nil
}

// handleHeartbeat handles a comment line of the event stream, which the relay sends as a heartbeat.
func (p *proxyEventReader) handleHeartbeat() {
	if p.phase == proxyStreamLive || time.Since(p.startedAt) < p.receiver.limits.ProxySnapshotTimeout {
		return
	}
	p.phase = proxyStreamLive
	if p.eventSkipped {
		return // the skipped event may announce a proxy, which would be disconnected if the snapshot counted as complete
	}
	p.up.clearDecodeError()
	p.enqueue(proxySnapshotComplete{})
}

// endEvent handles the empty line that ends an event: it decodes the event and passes it to the router.
func (p *proxyEventReader) endEvent() error {
	if p.event == "" && p.data == "" {
		return nil
	}
	event, err := p.receiver.decoder.parseEvent(p.event, p.data)
	p.event = ""
	p.data = ""
	if err != nil {
		return p.dropEvent(event, err)
	}
	p.receiver.metrics.add(event.counter(), 1)
	if !p.enqueue(event) {
		return errStopped
	}
	return nil
}

// dropEvent counts an event that could not be decoded. An error ends the stream, so that the relay sends a new snapshot.
func (p *proxyEventReader) dropEvent(event proxyEvent, err error) error {
	metrics := p.receiver.metrics
	if err == errUnknownName {
		metrics.add(unknownNames, 1)
		return nil
	}
	metrics.add(malformedMessages, 1)
	if _, isAck := event.(barrierAck); isAck {
		return nil // a later acknowledgement makes up for this one, unlike for a lost join or leave
	}
	metrics.logLimited("malformed_proxy_event", "from", p.up.address, "error", err)
	p.eventSkipped = true
	if p.up.noteDecodeError() {
		return err
	}
	return nil
}
