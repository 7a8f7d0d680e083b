package node

import (
	"fmt"
	"strings"
	"time"
)

// proxyEventsPath is where the relay streams events of proxies, as an event stream (text/event-stream).
const proxyEventsPath = "/v3/kv/stream"

// eventNameLetters are what the name of an event may be made of.
const eventNameLetters = "abcdefghijklmnopqrstuvwxyz_"

// proxyEventReader reads the relay's event stream once, to its end. It opens with a snapshot of the connected proxies,
// which is complete at the first heartbeat that comes a while after the first line.
type proxyEventReader struct {
	receiver     *receiver
	up           *upstream
	phase        proxyStreamPhase
	startedAt    time.Time // of proxyStreamSnapshot
	eventSkipped bool      // a join or a leave could not be read
	event        string    // name of the event in progress
	data         string    // of the event in progress
}

// proxyStreamPhase says how far an event stream has come.
type proxyStreamPhase int

const (
	proxyStreamDialling proxyStreamPhase = iota
	proxyStreamOpened                    // the relay accepted it; it has not replaced the previous upstream yet
	proxyStreamSnapshot                  // it sends its snapshot
	proxyStreamLive                      // the snapshot is complete
)

// runProxyEvents keeps the relay's event stream open at an upstream, until that is replaced or the manager ends.
func (r *receiver) runProxyEvents(up *upstream) {
	r.runStream(up, "proxy_stream", proxyStreamBreaks, func() (bool, error) { return r.readProxyEvents(up) })
}

// readProxyEvents reads the relay's event stream once, to its end.
func (r *receiver) readProxyEvents(up *upstream) (opened bool, err error) {
	reader := proxyEventReader{receiver: r, up: up}
	wanted := streamRequest{address: up.address, path: proxyEventsPath, idleTimeout: r.limits.ProxyWatchIdleTimeout, maxLength: r.limits.MaxWatchEventBytes,
		readInterval: r.limits.ReadInterval}
	err = stream(up.ctx, r.limits, wanted, reader.open, reader.readLine)
	return reader.phase >= proxyStreamOpened, err
}

// open notes that the relay accepted the stream.
func (n *proxyEventReader) open() error {
	n.phase = proxyStreamOpened
	n.receiver.metrics.add(proxyStreamOpens, 1)
	if n.up.previous == nil {
		n.begin()
	}
	return nil
}

// begin replaces the previous upstream, once.
func (n *proxyEventReader) begin() {
	n.up.takeOver()
	n.phase = proxyStreamSnapshot
	n.startedAt = time.Now()
	n.enqueue(proxyEventsOpened{})
}

func (n *proxyEventReader) enqueue(in input) bool {
	return enqueue(in, n.receiver.inputs, n.up.ctx.Done())
}

// readLine takes one line of the event stream; an error ends it.
func (n *proxyEventReader) readLine(line []byte) error {
	if n.phase < proxyStreamSnapshot { // guards against giving up the previous upstream for one that sends nothing
		n.begin()
	}
	text := string(line)
	name, value, _ := strings.Cut(text, ":")
	value = strings.TrimPrefix(value, " ")
	switch {
	case text == "":
		return n.endEvent()
	case name == "":
		n.heartbeat()
	case name == "event" && strings.Trim(value, eventNameLetters) == "":
		n.event = value
	case name == "data":
		n.data += value
		if len(n.data) > n.receiver.limits.MaxWatchEventBytes {
			return errLineTooLong
		}
	case name != "id" && name != "retry":
		return fmt.Errorf("%.40q is no line of an event stream", text)
	}
	return nil
}

// heartbeat takes a comment of the event stream, which the relay sends as a heartbeat.
func (n *proxyEventReader) heartbeat() {
	if n.phase == proxyStreamLive || time.Since(n.startedAt) < n.receiver.limits.ProxySnapshotTimeout {
		return
	}
	n.phase = proxyStreamLive
	if n.eventSkipped {
		return // guards against disconnecting a proxy that an unreadable event was about
	}
	n.up.clearDecodeError()
	n.enqueue(proxySnapshotComplete{})
}

// endEvent decodes the event that an empty line ends and hands it on.
func (n *proxyEventReader) endEvent() error {
	if n.event == "" && n.data == "" {
		return nil
	}
	event, err := n.receiver.decoder.parseEvent(n.event, n.data)
	n.event = ""
	n.data = ""
	if err != nil {
		return n.dropEvent(event, err)
	}
	n.receiver.metrics.add(event.counter(), 1)
	if !n.enqueue(event) {
		return errStopped
	}
	return nil
}

// dropEvent counts an event that could not be read; an error ends the stream, so that its next opening sends it again.
func (n *proxyEventReader) dropEvent(event proxyEvent, err error) error {
	metrics := n.receiver.metrics
	if err == errUnknownName {
		metrics.add(unknownNames, 1)
		return nil
	}
	metrics.add(malformedMessages, 1)
	if _, isAck := event.(barrierAck); isAck {
		return nil // alone: a later barrier settles it; a join or a leave that is lost would stay lost
	}
	metrics.logLimited("malformed_proxy_event", "from", n.up.address, "error", err)
	n.eventSkipped = true
	if n.up.noteDecodeError() {
		return err
	}
	return nil
}
