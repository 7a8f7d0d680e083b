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

// maxConnections is how many connections a manager takes that have not reported anything yet.
const maxConnections = 240

// measureConnections measures the memory that so many connections to a real process take, on a process of its own in
// each run: one that had them before keeps their memory.
func measureConnections(ctx context.Context, options Options, connections int) ([]sample, error) {
	var samples []sample
	for range min(options.Runs, maxFleetRuns) {
		bytes, err := bytesOfConnections(ctx, options, connections)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample{ConnectionsMemory: bytes})
	}
	return samples, nil
}

func bytesOfConnections(ctx context.Context, options Options, connections int) (float64, error) {
	fleet, err := startProcessFleet(ctx, options.Program, propagationScenario(options.Seed), 1)
	defer fleet.close()
	if err != nil {
		return 0, err
	}
	manager := fleet.managers[0]
	before := fakes.ResidentMemoryMB(manager.process)
	for range connections {
		connection, err := openServedConnection(manager.address)
		if err != nil {
			return 0, err
		}
		defer connection.Close()
	}
	return max(0, fakes.ResidentMemoryMB(manager.process)-before) * mib, nil
}

// openServedConnection opens a connection and waits until it is served.
func openServedConnection(address string) (net.Conn, error) {
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
		return nil, fmt.Errorf("a connection is not served: %w", err)
	}
	return connection, nil
}
