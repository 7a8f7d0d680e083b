package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"tamarindshore/internal/config"
)

// errNotConnected reports that no connection was established, so nothing was sent.
var errNotConnected = errors.New("connection not established")

// dial makes one attempt to connect to an address. On the returned connection the peer must not stay silent for longer
// than the idle timeout. The error wraps errNotConnected.
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

// newClient returns an HTTP client that uses a single, existing connection. It never retries a request.
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
