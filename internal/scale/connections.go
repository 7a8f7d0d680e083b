package scale

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"tamarindshore/internal/fakes"
)

// maxConnections is the largest number of connections that a manager accepts while none of them has sent a report.
const maxConnections = 240

// measureConnections measures the memory that a real process uses for the given number of connections. Each run starts
// a new process, because a process keeps the memory of connections that were closed.
func measureConnections(ctx context.Context, options Options, connections int) ([]sample, error) {
	var samples []sample
	for range min(options.Runs, maxFleetRuns) {
		bytes, err := connectionsMemory(ctx, options, connections)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample{ConnectionsMemory: bytes})
	}
	return samples, nil
}

// connectionsMemory returns the bytes by which the resident memory of a new process grows when connections are opened.
func connectionsMemory(ctx context.Context, options Options, connections int) (float64, error) {
	fleet, err := startProcessFleet(ctx, options.Program, propagationScenario(options.Seed), 1)
	defer fleet.close()
	if err != nil {
		return 0, err
	}
	manager := fleet.managers[0]
	before := fakes.ResidentMemoryMB(manager.process)
	for range connections {
		connection, err := dialAndPing(manager.address)
		if err != nil {
			return 0, err
		}
		defer connection.Close()
	}
	return max(0, fakes.ResidentMemoryMB(manager.process)-before) * mib, nil
}

// dialAndPing opens a connection and waits for the reply to a ping, so that the manager is known to serve it.
func dialAndPing(address string) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	connection.SetDeadline(time.Now().Add(time.Second))
	if _, err = io.WriteString(connection, "ping\r\n"); err == nil {
		_, err = bufio.NewReader(connection).ReadString('\n')
	}
	if err != nil {
		connection.Close()
		return nil, fmt.Errorf("connection to %s: no reply to ping: %w", address, err)
	}
	return connection, nil
}
