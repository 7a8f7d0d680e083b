package node

import (
	"context"
	"errors"
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"

	"tamarindshore/internal/config"
)

// listen opens a listener at an address. While the address is in use it retries, up to Limits.ListenTimeout: the previous
// process may not have exited yet.
func listen(ctx context.Context, address string, limits config.Limits) (net.Listener, error) {
	deadline := time.Now().Add(limits.ListenTimeout)
	for {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(deadline) {
			return listener, err
		}
		select {
		case <-time.After(limits.MinBackoff):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// acceptLoop accepts connections at the manager's address until the manager stops.
func (r *receiver) acceptLoop(listener net.Listener) {
	for {
		netConn, err := listener.Accept()
		if err != nil {
			select {
			case <-r.stop:
				return
			case <-time.After(r.limits.ProcessStallGrace):
				r.metrics.logLimited("accept_failed", "error", err)
				continue
			}
		}
		conn := newCollectorConn(netConn, r.limits, time.Now())
		r.addConn(conn)
		select {
		case <-r.stop: // also closes a connection that was accepted while the manager was stopping
			netConn.Close()
		default:
		}
		if r.decoderPool != nil {
			go r.decoderPool.readConn(conn)
		} else {
			go r.serveConn(conn)
		}
		runtime.Gosched() // during a flood of connections, lets a collector's zone be read before the collector is evicted
	}
}

// addConn registers a new connection.
func (r *receiver) addConn(conn *collectorConn) {
	r.metrics.add(connections, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, conn)
	r.evictExcess(false, r.limits.MaxUnidentifiedConns)
}

// evictExcess closes one connection if there are more than limit of its kind. It considers the connections that have
// named their zone if named is true, otherwise those that have not. The caller holds mu.
func (r *receiver) evictExcess(named bool, limit int) {
	var victim *collectorConn
	count := 0
	for _, conn := range r.conns {
		if conn.named() != named {
			continue
		}
		count++
		if victim == nil || conn.evictedBefore(victim) {
			victim = conn
		}
	}
	if count > limit {
		r.removeConn(victim)
		victim.Close()
	}
}

// removeConn unregisters a connection. The caller holds mu.
func (r *receiver) removeConn(conn *collectorConn) {
	if i := slices.Index(r.conns, conn); i >= 0 {
		r.conns = slices.Delete(r.conns, i, i+1)
		r.metrics.add(connectionsClosed, 1)
	}
}

// closeConns closes all connections to the manager's address.
func (r *receiver) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		conn.Close()
	}
}
