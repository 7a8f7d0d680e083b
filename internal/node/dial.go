package node

// Dial makes the connections to others: each has deadlines for connect, write and read, and a look
// at what came meanwhile before a deadline counts, for a process that stood still. It must never
// try anything again by itself.

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/internal/config"
)

// errUnreached marks a connection that never came up: nothing was sent.
var errUnreached = errors.New("unreached")

// patient is a connection that must deliver by a time. What waits in the kernel when that time has
// passed is still taken, once: guards against dropping sound peers after this process stood still.
type patient struct {
	net.Conn
	within, look, write time.Duration
	until               time.Time
	looked              bool
	fixed               bool  // until stays as it is
	failed              error // of a read
}

// expect sets the time for what is due next, unless that is fixed.
func (p *patient) expect() {
	if !p.fixed {
		p.until, p.looked = time.Now().Add(p.within), false
	}
}

func (p *patient) Read(b []byte) (int, error) {
	p.Conn.SetReadDeadline(p.until)
	n, err := p.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !p.looked {
		p.looked = true
		p.Conn.SetReadDeadline(time.Now().Add(p.look))
		n, err = p.Conn.Read(b)
	}
	p.failed = err
	return n, err
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

func dial(l config.Limits, address string, within time.Duration) (*patient, error) {
	c, err := net.DialTimeout("tcp", address, l.Connect)
	if err != nil {
		return nil, errors.Join(errUnreached, err)
	}
	return &patient{Conn: c, within: within, look: l.Look, write: l.Write, until: time.Now().Add(within)}, nil
}

// client speaks HTTP to one address; it never repeats a request.
func client(l config.Limits, address string, made func() (net.Conn, error), stream bool, idle time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: 1, MaxIdleConnDuration: idle, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, StreamResponseBody: stream, MaxResponseBodySize: l.Answer,
		Dial:       func(string) (net.Conn, error) { return made() },
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// stream gets a path and hands each line of the endless answer to take, without its line end. The
// answer must begin soon and then bring a line within `silent` each time: guards against a new
// connection that is as silent as the last, while there is time for another. It returns why it ended.
func stream(l config.Limits, address, path string, silent time.Duration, longest int, opened func() error,
	take func(line []byte) error, stop <-chan struct{}) error {
	conn, err := dial(l, address, l.Opening)
	if err != nil {
		return err
	}
	defer conn.Close()
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-stop:
			conn.Close()
		case <-over:
		}
	}()
	c := client(l, address, func() (net.Conn, error) { return conn, nil }, true, time.Second)
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
	conn.within = silent
	conn.expect()
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
		for rest := piece[:n]; len(rest) > 0; {
			i := bytes.IndexByte(rest, '\n')
			if i < 0 {
				held = append(held, rest...)
				break
			}
			line := rest[:i]
			if len(held) > 0 {
				held = append(held, line...)
				line = held
			}
			if len(line) > longest() {
				return errLong
			}
			if err := take(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
				return err
			}
			rest = rest[i+1:]
			if held = held[:0]; cap(held) > 1<<16 {
				held = nil
			}
		}
		if len(held) > longest() {
			return errLong
		}
		if err == io.EOF && len(held) > 0 {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
}
