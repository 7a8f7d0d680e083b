package node

import (
	"bufio"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"tamarindshore/balancer"
)

func TestHealthCheckMapsEachOutcome(t *testing.T) {
	for answer, want := range map[string]healthCheckResult{
		"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\nTEXT inflight=7, queue=2, util=0.6": {outcome: balancer.HealthCheckPassed, inFlight: 7},
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n???":                                 {outcome: balancer.HealthCheckPassed, inFlight: -1},
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n":                   {outcome: balancer.HealthCheckRejected, inFlight: -1},
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n":                             {outcome: balancer.HealthCheckInvalid, inFlight: -1},
		"rubbish\r\n\r\n": {outcome: balancer.HealthCheckInvalid, inFlight: -1},
		"":                {outcome: balancer.HealthCheckTimedOut, inFlight: -1},
		"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\nTEXT": {outcome: balancer.HealthCheckTimedOut, inFlight: -1},
		"...": {outcome: balancer.HealthCheckTimedOut, inFlight: -1},
	} {
		limits := testLimits
		text, silent := strings.CutSuffix(answer, "...")
		if silent {
			limits.HealthCheckTimeout = 30 * time.Millisecond
		}
		address := startServer(t, func(conn net.Conn) {
			bufio.NewReader(conn).ReadString('\n')
			io.WriteString(conn, text)
			if silent {
				io.ReadAll(conn)
			}
		})
		got, _ := testReceiver(t, limits).checkOnce(healthCheckTarget{"s-1", address}, "/metrics/load")
		if got.outcome != want.outcome || got.inFlight != want.inFlight || got.latency <= 0 {
			t.Errorf("%.30q: got %+v, want outcome %v, %g in flight and a latency", answer, got, want.outcome, want.inFlight)
		}
	}
}

func TestHealthCheckWithoutAListenerIsUnreachable(t *testing.T) {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	listener.Close()
	for _, address := range []string{listener.Addr().String(), "", "no address"} {
		if got, sent := testReceiver(t, testLimits).checkOnce(healthCheckTarget{"s-1", address}, "/alive"); !sent ||
			got.outcome != balancer.HealthCheckUnreachable {
			t.Errorf("%q: got %+v, sent %v, want unreachable", address, got, sent)
		}
	}
}

// Without a free descriptor the check can't be sent. That must not count as a failure of the server.
func TestAHealthCheckWithoutAFreeDescriptorIsNotSent(t *testing.T) {
	address := startServer(t, func(conn net.Conn) { io.ReadAll(conn) })
	var original syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &original); err != nil {
		t.Fatal(err)
	}
	exhausted := original
	exhausted.Cur = 0
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &exhausted); err != nil {
		t.Fatal(err)
	}
	got, sent := testReceiver(t, testLimits).checkOnce(healthCheckTarget{"s-1", address}, "/alive")
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &original)
	if sent {
		t.Errorf("got %+v, want a check that was not sent", got)
	}
}
