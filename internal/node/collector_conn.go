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

// collectorConn is a connection to the manager's address. Until it has reported something it has one fixed deadline,
// whatever it sends. One goroutine at a time handles its lines; state, zone and lastReport are written under the
// receiver's lock, since others read them.
type collectorConn struct {
	deadlineConn
	state        collectorState
	zone         balancer.ZoneID // once it is named
	lastReport   time.Time       // or when it was accepted; renewed at most once in Limits.LastSeenPrecision
	idleMessages int             // in a row, that report nothing
}

// collectorState says what a connection has shown of itself.
type collectorState int

const (
	collectorUnnamed   collectorState = iota
	collectorNamed                    // it has said which zone it reports for
	collectorReporting                // and has reported something
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

// evictedBefore orders connections for eviction: those that never reported anything come first, then the longest
// silent. Guards against connections of others that name themselves collectors.
func (c *collectorConn) evictedBefore(other *collectorConn) bool {
	if c.reported() != other.reported() {
		return !c.reported()
	}
	return c.lastReport.Before(other.lastReport)
}

var (
	errReportsNothing = errors.New("reports nothing")
	errZoneNotNamed   = errors.New("a collector names its zone first")
)

// pong answers a ping.
const pong = "pong\r\n"

// serveConn reads one connection's lines until it ends, sends what can't be read, or is silent for too long.
func (r *receiver) serveConn(conn *collectorConn) {
	maxLength := func() int { return r.maxLineLength(conn) }
	err := recoverPanic(r.metrics, "collector", func() error {
		return readLines(conn, maxLength, func(line []byte) error { return r.receiveLine(conn, string(line)) })
	})
	r.closeConn(conn, err)
}

// decodeLine decodes a line of a collector.
func (r *receiver) decodeLine(text string) decodedLine {
	message, err := r.decoder.parseLine(text)
	return decodedLine{text: text, message: message, err: err}
}

// receiveLine decodes a line and carries out what it asks for; an error ends the connection.
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

// maxLineLength is the most bytes of a line from a connection.
func (r *receiver) maxLineLength(conn *collectorConn) int {
	if conn.reported() {
		return r.limits.MaxCollectorLineBytes
	}
	return r.limits.MaxUnidentifiedLineBytes
}

// sendPongs answers a number of pings, once the manager may be used.
func (r *receiver) sendPongs(conn *collectorConn, count int) error {
	if !r.isReady() {
		return nil
	}
	_, err := conn.Write(bytes.Repeat([]byte(pong), count))
	return err
}

// closeConn ends a connection, for a reason that is counted.
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

// handleLine handles one decoded line of a connection, and gives the sample that is to be handed on, if it is one, and
// whether a ping is to be answered; an error ends the connection. A malformed message is dropped alone, but many messages
// in a row that report nothing end the connection too: the rest can't be read either, or pings take the time that
// decisions need.
func (r *receiver) handleLine(conn *collectorConn, now time.Time, line decodedLine) (reported sample, pinged bool, end error) {
	name, naming := line.message.(collectorName)
	_, isPing := line.message.(ping)
	switch {
	case errors.Is(line.err, errUnreadable):
		return nil, false, line.err
	case conn.idleMessages >= r.limits.MaxEmptyMessages && (line.err != nil || naming || isPing):
		return nil, false, errors.Join(errUnreadable, errReportsNothing)
	case isPing:
		conn.idleMessages++
		r.metrics.add(pings, 1)
		return nil, true, nil
	case !conn.named() && !naming:
		return nil, false, errors.Join(errUnreadable, errZoneNotNamed)
	case line.err != nil:
		return nil, false, r.dropLine(conn, line)
	case naming:
		conn.idleMessages++
		r.registerCollector(conn, name.zone)
		return nil, false, nil
	}
	r.noteReport(conn, now)
	reported, _ = line.message.(sample)
	return reported, false, nil
}

// dropLine counts a malformed message; it ends the connection where that has not named itself.
func (r *receiver) dropLine(conn *collectorConn, line decodedLine) error {
	if line.err == errUnknownName {
		r.metrics.add(unknownNames, 1)
	} else {
		r.metrics.add(malformedMessages, 1)
	}
	r.metrics.logLimited("malformed_message", "from", conn.RemoteAddr().String(), "line", excerpt(line.text), "error", line.err)
	conn.idleMessages++
	if !conn.named() {
		return errors.Join(errUnreadable, line.err)
	}
	return nil
}

// noteReport notes that a connection reported something: from the first report on it has an idle timeout.
func (r *receiver) noteReport(conn *collectorConn, now time.Time) {
	conn.idleMessages = 0
	if conn.reported() && now.Sub(conn.lastReport) <= r.limits.LastSeenPrecision {
		return
	}
	r.mu.Lock()
	conn.lastReport = now
	conn.state = collectorReporting
	r.mu.Unlock()
	conn.startIdleTimeout(r.limits.CollectorIdleTimeout)
}

// registerCollector notes whose collector a connection is. Where no other of its zone reports, it may have nothing to
// report for a while; where one does, it keeps the deadline of the unnamed. Guards against others that know a zone's
// name.
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

// maxExcerpt is how many bytes of a message a log line shows.
const maxExcerpt = 200

func excerpt(line string) string { return line[:min(len(line), maxExcerpt)] }
