package node

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
)

// collectorConn is a connection accepted at the manager's address. Until its first report it has a fixed deadline, which
// no line restarts; naming its zone may postpone the deadline once. Only one goroutine at a time handles its lines;
// state, zone and lastReport are written under the receiver's lock because other goroutines read them.
type collectorConn struct {
	deadlineConn
	state                 collectorState
	zone                  balancer.ZoneID // empty while state is collectorUnnamed
	lastReport            time.Time       // initially the time of acceptance; updated at most once per Limits.LastSeenPrecision
	messagesWithoutReport int             // consecutive messages that are not a valid report
}

// collectorState is the progress of a connection: whether it has named its zone and sent a report.
type collectorState int

const (
	collectorUnnamed   collectorState = iota
	collectorNamed                    // it has named the zone it reports for
	collectorReporting                // it has named its zone and sent a report
)

func (c *collectorConn) named() bool    { return c.state != collectorUnnamed }
func (c *collectorConn) reported() bool { return c.state == collectorReporting }

func newCollectorConn(netConn net.Conn, limits config.Limits, accepted time.Time) *collectorConn {
	conn := &collectorConn{lastReport: accepted}
	conn.Conn = netConn
	conn.grace = limits.ProcessStallGrace
	conn.writeTimeout = limits.WriteTimeout
	conn.pace = newReadPace(limits.ReadInterval)
	conn.deadline = accepted.Add(limits.IdentifyTimeout)
	conn.fixedDeadline = true
	return conn
}

// evictedBefore orders connections for eviction: first those that never sent a report, then those whose last report is
// oldest. This way clients that only claim to be collectors can't displace collectors that report.
func (c *collectorConn) evictedBefore(other *collectorConn) bool {
	if c.reported() != other.reported() {
		return !c.reported()
	}
	return c.lastReport.Before(other.lastReport)
}

var (
	errTooManyMessagesWithoutReport = errors.New("too many consecutive messages without a report")
	errZoneNotNamed                 = errors.New("the first message must name the collector's zone")
)

// pong is the reply to a ping.
const pong = "pong\r\n"

// serveConn reads one connection's lines until the connection is closed, sends unreadable input or misses its deadline.
func (r *receiver) serveConn(conn *collectorConn) {
	maxLength := func() int { return r.maxLineLength(conn) }
	err := recoverPanic(r.metrics, "collector", func() error {
		return readLines(conn, maxLength, func(line []byte) error { return r.receiveLine(conn, string(line)) })
	})
	r.closeConn(conn, err)
}

// decodeLine decodes a line sent by a collector.
func (r *receiver) decodeLine(text string) decodedLine {
	message, err := r.decoder.parseLine(text)
	return decodedLine{text: text, message: message, err: err}
}

// receiveLine decodes a line, then answers a ping or enqueues a report; an error ends the connection.
func (r *receiver) receiveLine(conn *collectorConn, text string) error {
	line := r.decodeLine(text)
	reported, pinged, err := r.handleLine(conn, time.Now(), line)
	switch {
	case err != nil:
		return err
	case pinged:
		return r.sendPongs(conn, 1)
	case reported == nil:
		return nil
	}
	reported.counts().addTo(r.metrics)
	if !r.enqueue(reported) {
		return errStopped
	}
	return nil
}

// maxLineLength returns the maximum length in bytes of a line on a connection.
func (r *receiver) maxLineLength(conn *collectorConn) int {
	if conn.reported() {
		return r.limits.MaxCollectorLineBytes
	}
	return r.limits.MaxUnidentifiedLineBytes
}

// sendPongs answers a number of pings; before the manager is ready it sends nothing.
func (r *receiver) sendPongs(conn *collectorConn, count int) error {
	if !r.isReady() {
		return nil
	}
	_, err := conn.Write(bytes.Repeat([]byte(pong), count))
	return err
}

// closeConn closes and unregisters a connection that ended with err. It counts partial lines, unreadable input and
// deadlines missed before the first report.
func (r *receiver) closeConn(conn *collectorConn, err error) {
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		r.metrics.add(partialLines, 1)
	case errors.Is(err, os.ErrDeadlineExceeded) && !conn.reported():
		r.metrics.add(unidentifiedTimeouts, 1)
	case errors.Is(err, errUnreadable), errors.Is(err, errLineTooLong):
		r.metrics.add(unreadableLines, 1)
		r.metrics.logLimited("unreadable_line", "from", conn.RemoteAddr().String(), "error", err)
	}
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeConn(conn)
}

// handleLine handles one decoded line of a connection. If the line is a sample, it is returned to be passed on; pinged is
// true if the line is a ping to answer. An error ends the connection. Only the malformed message itself is dropped, but
// too many consecutive messages without a report end the connection: either the rest of its input is probably malformed
// too, or its pings take up the time needed for decisions.
func (r *receiver) handleLine(conn *collectorConn, now time.Time, line decodedLine) (reported sample, pinged bool, end error) {
	identity, isIdentity := line.message.(collectorIdentity)
	_, isPing := line.message.(ping)
	switch {
	case errors.Is(line.err, errUnreadable):
		return nil, false, line.err
	case conn.messagesWithoutReport >= r.limits.MaxMessagesWithoutReport && (line.err != nil || isIdentity || isPing):
		return nil, false, errors.Join(errUnreadable, errTooManyMessagesWithoutReport)
	case isPing:
		conn.messagesWithoutReport++
		r.metrics.add(pings, 1)
		return nil, true, nil
	case !conn.named() && !isIdentity:
		return nil, false, errors.Join(errUnreadable, errZoneNotNamed)
	case line.err != nil:
		return nil, false, r.dropLine(conn, line)
	case isIdentity:
		conn.messagesWithoutReport++
		r.registerCollector(conn, identity.zone)
		return nil, false, nil
	}
	r.recordReport(conn, now)
	reported, _ = line.message.(sample)
	return reported, false, nil
}

// dropLine counts and logs a malformed message. If the connection has not named its zone yet, it returns an error, which
// ends the connection.
func (r *receiver) dropLine(conn *collectorConn, line decodedLine) error {
	if line.err == errUnknownName {
		r.metrics.add(unknownNames, 1)
	} else {
		r.metrics.add(malformedMessages, 1)
	}
	r.metrics.logLimited("malformed_message", "from", conn.RemoteAddr().String(), "line", excerpt(line.text), "error", line.err)
	conn.messagesWithoutReport++
	if !conn.named() {
		return errors.Join(errUnreadable, line.err)
	}
	return nil
}

// recordReport records that a connection sent a report. From the first report on, the idle timeout replaces the
// connection's fixed deadline.
func (r *receiver) recordReport(conn *collectorConn, now time.Time) {
	conn.messagesWithoutReport = 0
	if conn.reported() && now.Sub(conn.lastReport) <= r.limits.LastSeenPrecision {
		return
	}
	r.mu.Lock()
	conn.lastReport = now
	conn.state = collectorReporting
	r.mu.Unlock()
	conn.startIdleTimeout(r.limits.CollectorIdleTimeout)
}

// registerCollector records the zone that a connection reports for. If no other connection has reported for that zone
// within IdentifyTimeout, the deadline is postponed: there may be nothing to report for a while. Otherwise the deadline
// stays as it is, so that a client that merely knows a zone's name can't hold a connection open.
func (r *receiver) registerCollector(conn *collectorConn, zone balancer.ZoneID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if conn.named() {
		return
	}
	conn.state = collectorNamed
	conn.zone = zone
	r.evictExcess(true, r.limits.MaxCollectorConns)
	for _, other := range r.conns {
		if other.reported() && other.zone == zone && time.Since(other.lastReport) < r.limits.IdentifyTimeout {
			return
		}
	}
	conn.postponeDeadline(r.limits.CollectorIdleTimeout)
}

// maxExcerptBytes is the length to which a message is cut in a log line.
const maxExcerptBytes = 200

func excerpt(line string) string { return line[:min(len(line), maxExcerptBytes)] }
