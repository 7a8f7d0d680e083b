package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// deadlineConn is a connection whose peer must send something by a deadline. What the kernel holds when the deadline
// has passed is still taken, once. Guards against dropping sound peers after this process stood still. The deadline may
// be moved by another goroutine than the one that reads.
type deadlineConn struct {
	net.Conn
	grace        time.Duration // of the read after the deadline has passed
	writeTimeout time.Duration
	readErr      error // of the last read
	pace         readPace

	mu            sync.Mutex
	idleTimeout   time.Duration
	deadline      time.Time
	graceUsed     bool
	fixedDeadline bool // no read or write moves the deadline
}

// extendDeadline restarts the idle timeout, unless the deadline is fixed.
func (c *deadlineConn) extendDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fixedDeadline {
		return
	}
	c.deadline = time.Now().Add(c.idleTimeout)
	c.graceUsed = false
}

// startIdleTimeout ends a fixed deadline: from now on the peer must send something within a span each time.
func (c *deadlineConn) startIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	c.fixedDeadline = false
	c.idleTimeout = timeout
	c.mu.Unlock()
	c.extendDeadline()
}

// postponeDeadline moves the deadline.
func (c *deadlineConn) postponeDeadline(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.deadline.Add(by)
}

// currentDeadline is the deadline of a read, and whether the read after it was made.
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
