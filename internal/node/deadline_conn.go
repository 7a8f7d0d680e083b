package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// deadlineConn is a connection whose peer must send something by a deadline. What the kernel holds when the deadline
// has passed is still read, once. Guards against dropping healthy peers after this process was stalled. One goroutine
// reads; others may write and move the deadline.
type deadlineConn struct {
	net.Conn
	grace        time.Duration // of the read after the deadline has passed
	writeTimeout time.Duration
	readErr      error // of the last read; of the reading goroutine
	pace         readPace

	mu            sync.Mutex // of all below
	idleTimeout   time.Duration
	deadline      time.Time
	graceUsed     bool // the read after the deadline was made
	fixedDeadline bool // no read or write moves the deadline
}

// extendDeadline restarts the idle timeout, unless the deadline is fixed.
func (c *deadlineConn) extendDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fixedDeadline {
		c.restartIdleTimeout()
	}
}

// restartIdleTimeout gives the peer the idle timeout from now on. mu is held.
func (c *deadlineConn) restartIdleTimeout() {
	c.deadline = time.Now().Add(c.idleTimeout)
	c.graceUsed = false
}

// startIdleTimeout ends a fixed deadline: from now on the peer must send something within the timeout each time.
func (c *deadlineConn) startIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixedDeadline = false
	c.idleTimeout = timeout
	c.restartIdleTimeout()
}

// postponeDeadline moves the deadline by a duration.
func (c *deadlineConn) postponeDeadline(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.deadline.Add(by)
}

// currentDeadline gives the deadline, and whether the read after it was made.
func (c *deadlineConn) currentDeadline() (deadline time.Time, graceUsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, c.graceUsed
}

// Read waits until a read is due, and reads until the deadline, and once more within the grace after it.
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

// Write writes within the write timeout and then waits for an answer.
func (c *deadlineConn) Write(data []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	n, err := c.Conn.Write(data)
	c.extendDeadline()
	return n, err
}

// SetDeadline does nothing: the deadlines of the HTTP library are not used.
func (c *deadlineConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing: the deadlines of the HTTP library are not used.
func (c *deadlineConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: the deadlines of the HTTP library are not used.
func (c *deadlineConn) SetWriteDeadline(time.Time) error { return nil }
