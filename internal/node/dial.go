package node

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/internal/config"
)

// errNotConnected marks a connection that never came up: nothing was sent.
var errNotConnected = errors.New("unreached")

// dial connects to an address, once; the peer must send something within the idle timeout each time.
func dial(ctx context.Context, limits config.Limits, address string, idleTimeout time.Duration) (*deadlineConn, error) {
	netConn, err := (&net.Dialer{Timeout: limits.ConnectTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(errNotConnected, err)
	}
	return &deadlineConn{
		Conn:         netConn,
		idleTimeout:  idleTimeout,
		grace:        limits.ProcessStallGrace,
		writeTimeout: limits.WriteTimeout,
		deadline:     time.Now().Add(idleTimeout),
	}, nil
}

// newClient speaks HTTP on one connection; it never repeats a request.
func newClient(limits config.Limits, address string, conn net.Conn, streamBody bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  1,
		MaxIdleConnDuration:       time.Second,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		StreamResponseBody:        streamBody,
		MaxResponseBodySize:       limits.MaxResponseBytes,
		Dial:                      func(string) (net.Conn, error) { return conn, nil },
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// streamRequest says what endless answer is asked for, and how it is read.
type streamRequest struct {
	address, path string
	idleTimeout   time.Duration
	maxLength     int           // of a line
	readInterval  time.Duration // 0: what comes is read at once
}

// stream gets a path and hands each line of the endless answer to take, without its line end. The answer must begin
// within Limits.Opening and then bring a line within the idle timeout each time. Guards against a new connection that
// is as silent as the last, while there is time for another. It returns why it ended, which is soon after ctx does.
func stream(ctx context.Context, limits config.Limits, wanted streamRequest, opened func() error, take func(line []byte) error) error {
	conn, err := dial(ctx, limits, wanted.address, limits.StreamOpenTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	client := newClient(limits, wanted.address, conn, true)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + wanted.address + wanted.path)
	if err := client.Do(request, response); err != nil {
		return err
	}
	defer func() {
		conn.Close() // first, so that nothing of an endless answer is read on
		response.CloseBodyStream()
	}()
	if response.StatusCode() != fasthttp.StatusOK || response.BodyStream() == nil {
		return errors.New("the answer is no stream: status " + strconv.Itoa(response.StatusCode()))
	}
	if err := opened(); err != nil {
		return err
	}
	conn.startIdleTimeout(wanted.idleTimeout)
	conn.pace = newReadPace(wanted.readInterval)
	return readLines(response.BodyStream(), func() int { return wanted.maxLength }, func(line []byte) error {
		conn.extendDeadline()
		return take(line)
	})
}
