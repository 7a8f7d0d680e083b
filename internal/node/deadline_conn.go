package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// deadlineConn is a connection whose peer must send something by a deadline. After the deadline one more read is made,
// for data that the kernel has already received, so that a healthy peer is not dropped if this process was stalled. One
// goroutine reads; others may write and move the deadline.
type deadlineConn struct {
	net.Conn
	grace        time.Duration // how long the read after the deadline may take
	writeTimeout time.Duration
	readErr      error // of the last read; used by the reading goroutine only
	pace         readPace

	mu            sync.Mutex // guards the fields below
	idleTimeout   time.Duration
	deadline      time.Time
	graceUsed     bool // the one read after the deadline has been made
	fixedDeadline bool // neither received lines nor writes move the deadline
}

// extendDeadline restarts the idle timeout, unless the deadline is fixed.
func (c *deadlineConn) extendDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fixedDeadline {
		c.restartIdleTimeout()
	}
}

// restartIdleTimeout sets the deadline to the idle timeout from now. The caller holds mu.
func (c *deadlineConn) restartIdleTimeout() {
	c.deadline = time.Now().Add(c.idleTimeout)
	c.graceUsed = false
}

// startIdleTimeout replaces the current deadline, even a fixed one, by an idle timeout. extendDeadline and Write restart
// the timeout.
func (c *deadlineConn) startIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixedDeadline = false
	c.idleTimeout = timeout
	c.restartIdleTimeout()
}

// postponeDeadline makes the deadline later by a duration, even if it is fixed.
func (c *deadlineConn) postponeDeadline(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.deadline.Add(by)
}

// currentDeadline returns the deadline, and whether the one read after it has been made.
func (c *deadlineConn) currentDeadline() (deadline time.Time, graceUsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, c.graceUsed
}

// Read waits as long as the read pace requires, then reads until the deadline. If the deadline passes, it reads once
// more, for at most the grace.
func (c *deadlineConn) Read(buffer []byte) (int, error) {
	c.pace.beforeRead()
	n, err := c.readByDeadline(buffer)
	c.pace.afterRead(n, len(buffer))
	return n, err
}

func (c *deadlineConn) readByDeadline(buffer []byte) (int, error) {
	for {
		deadline, graceUsed := c.currentDeadline()
		c.Conn.SetReadDeadline(deadline)
		n, err := c.Conn.Read(buffer)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !graceUsed {
			if moved, _ := c.currentDeadline(); moved.After(deadline) {
				continue
			}
			n, err = c.readWithinGrace(buffer)
		}
		c.readErr = err
		return n, err
	}
}

func (c *deadlineConn) readWithinGrace(buffer []byte) (int, error) {
	c.mu.Lock()
	c.graceUsed = true
	c.mu.Unlock()
	c.Conn.SetReadDeadline(time.Now().Add(c.grace))
	return c.Conn.Read(buffer)
}

// Write writes within the write timeout, then restarts the idle timeout, within which the peer must answer.
func (c *deadlineConn) Write(data []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	n, err := c.Conn.Write(data)
	c.extendDeadline()
	return n, err
}

// SetDeadline does nothing: deadlines set by the HTTP library are ignored.
func (c *deadlineConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing: deadlines set by the HTTP library are ignored.
func (c *deadlineConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: deadlines set by the HTTP library are ignored.
func (c *deadlineConn) SetWriteDeadline(time.Time) error { return nil }
