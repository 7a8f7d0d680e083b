package node

// Dial makes the connections to others: each has deadlines for connect, write and read, and a look
// at what came meanwhile before a deadline counts, for a process that stood still. It must never
// try anything again by itself.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/internal/config"
)

// errUnreached marks a connection that never came up: nothing was sent.
var errUnreached = errors.New("unreached")

// patient is a connection that must deliver by a time. What waits in the kernel when that time has
// passed is still taken, once: guards against dropping sound peers after this process stood still. The
// time may be moved by another core than the one that reads.
type patient struct {
	net.Conn
	look, write time.Duration
	failed      error // of a read

	mu     sync.Mutex
	within time.Duration
	until  time.Time
	looked bool
	fixed  bool // until stays as it is
}

// expect sets the time for what is due next, unless that is fixed.
func (p *patient) expect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fixed {
		p.until, p.looked = time.Now().Add(p.within), false
	}
}

// grant ends a fixed time: from now on something is due within a span each time.
func (p *patient) grant(within time.Duration) {
	p.mu.Lock()
	p.fixed, p.within = false, within
	p.mu.Unlock()
	p.expect()
}

// lengthen puts off the time until which something is due.
func (p *patient) lengthen(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = p.until.Add(by)
}

// due is the time until which a read may wait, and whether a last look after it was taken.
func (p *patient) due() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until, p.looked
}

func (p *patient) Read(b []byte) (int, error) {
	for {
		until, looked := p.due()
		p.Conn.SetReadDeadline(until)
		n, err := p.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !looked {
			if later, _ := p.due(); later.After(until) {
				continue
			}
			p.mu.Lock()
			p.looked = true
			p.mu.Unlock()
			p.Conn.SetReadDeadline(time.Now().Add(p.look))
			n, err = p.Conn.Read(b)
		}
		p.failed = err
		return n, err
	}
}

func (p *patient) Write(b []byte) (int, error) {
	p.Conn.SetWriteDeadline(time.Now().Add(p.write))
	n, err := p.Conn.Write(b)
	p.expect()
	return n, err
}

// The HTTP library's deadlines are not used.
func (p *patient) SetDeadline(time.Time) error      { return nil }
func (p *patient) SetReadDeadline(time.Time) error  { return nil }
func (p *patient) SetWriteDeadline(time.Time) error { return nil }

func dial(ctx context.Context, l config.Limits, address string, within time.Duration) (*patient, error) {
	c, err := (&net.Dialer{Timeout: l.Connect}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(errUnreached, err)
	}
	return &patient{Conn: c, within: within, look: l.Look, write: l.Write, until: time.Now().Add(within)}, nil
}

// client speaks HTTP on one connection; it never repeats a request.
func client(l config.Limits, address string, conn net.Conn, stream bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: 1, MaxIdleConnDuration: time.Second, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, StreamResponseBody: stream, MaxResponseBodySize: l.Answer,
		Dial:       func(string) (net.Conn, error) { return conn, nil },
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// stream gets a path and hands each line of the endless answer to take, without its line end. The
// answer must begin soon and then bring a line within `silent` each time: guards against a new
// connection that is as silent as the last, while there is time for another. It returns why it ended, which is soon
// after ctx does.
func stream(ctx context.Context, l config.Limits, address, path string, silent time.Duration, longest int,
	opened func() error, take func(line []byte) error) error {
	conn, err := dial(ctx, l, address, l.Opening)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c := client(l, address, conn, true)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	if err := c.Do(req, resp); err != nil {
		return err
	}
	defer func() {
		conn.Close() // first, so that nothing of an endless answer is read on
		resp.CloseBodyStream()
	}()
	if resp.StatusCode() != fasthttp.StatusOK || resp.BodyStream() == nil {
		return errors.New("the answer is no stream: status " + strconv.Itoa(resp.StatusCode()))
	}
	if err := opened(); err != nil {
		return err
	}
	conn.grant(silent)
	return lines(resp.BodyStream(), func() int { return longest }, func(line []byte) error {
		conn.expect()
		return take(line)
	})
}

var errLong = errors.New("a line is too long")

// lines cuts what is read into lines, however the network cut it; longest is asked anew for each.
// A half line at the end is dropped with io.ErrUnexpectedEOF.
func lines(r io.Reader, longest func() int, take func(line []byte) error) error {
	var held []byte
	piece := make([]byte, 4096)
	for {
		n, err := r.Read(piece)
		rest, failed := cutLines(held, piece[:n], func(line []byte) error {
			if len(line) > longest() {
				return errLong
			}
			return take(line)
		})
		if held = rest; failed != nil {
			return failed
		} else if len(held) > longest() {
			return errLong
		} else if err == io.EOF && len(held) > 0 {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
}

// cutLines hands on the lines of what was held and a piece behind it, each without its line end, and gives the half
// line that is left, in the room of what was held.
func cutLines(held, piece []byte, take func(line []byte) error) (rest []byte, err error) {
	for len(piece) > 0 {
		i := bytes.IndexByte(piece, '\n')
		if i < 0 {
			return append(held, piece...), nil
		}
		line := piece[:i]
		if len(held) > 0 {
			held = append(held, line...)
			line = held
		}
		if err := take(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return nil, err
		}
		piece = piece[i+1:]
		if held = held[:0]; cap(held) > 1<<16 {
			held = nil
		}
	}
	return held, nil
}
