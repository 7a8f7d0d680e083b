package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarindshore/internal/fakes"
)

// ControlFlag is the hidden flag that makes a program run ServeControl. Its value is the number of servers on the list.
const ControlFlag = "--control-of"

// Requests to a control process, one per line. It answers each with a controlUsage.
const (
	requestUsage   = "use"    // processor time and heap
	requestCPUTime = "time"   // processor time only: measuring the heap takes a garbage collection
	requestChange  = "change" // publish a list change: a server drains or returns
)

// controlUsage is the address of a control process and the resources that it has used so far.
type controlUsage struct {
	Address   string  `json:"address"`
	CPU       float64 `json:"cpu"`  // seconds
	HeapBytes float64 `json:"heap"` // in use after a garbage collection, including goroutine stacks
}

// ServeControl runs a fake discovery with a list of the given number of servers, and answers requests until the end of
// the input. It is the main function of the control process that measureControl starts.
func ServeControl(servers int, requests io.Reader, answers io.Writer) error {
	scenario := Reference().With(Servers, float64(servers))
	site := scenario.site()
	var endpoints []fakes.Endpoint
	for server := range servers {
		endpoints = append(endpoints, scenario.endpoint(site, server, "up"))
	}
	discovery, err := fakes.NewDiscovery(loopbackAnyPort, endpoints)
	if err != nil {
		return err
	}
	defer discovery.Close()
	out := json.NewEncoder(answers)
	if err := out.Encode(controlUsage{Address: discovery.Address}); err != nil {
		return err
	}
	lines := bufio.NewScanner(requests)
	changes := 0
	for lines.Scan() {
		request := lines.Text()
		if request == requestChange {
			server := changes / 2 % servers
			discovery.Publish(scenario.endpoint(site, server, lifecycleAfter(changes)))
			changes++
		}
		if err := out.Encode(measureControlUsage(discovery.Address, request)); err != nil {
			return err
		}
	}
	return lines.Err()
}

// measureControlUsage measures the resources of this process that a request asks for.
func measureControlUsage(address, request string) controlUsage {
	usage := controlUsage{Address: address}
	if request == requestUsage {
		usage.HeapBytes = heapInUse() + stackInUse()
	}
	usage.CPU = processCPU().Seconds()
	return usage
}

// controlProcess is a child process that runs ServeControl for readers in this process.
type controlProcess struct {
	command   *exec.Cmd
	requests  io.WriteCloser
	responses *json.Decoder
	address   string
}

// controlArguments precede ControlFlag on the command line of a control process.
var controlArguments = []string{"scale"}

// startControl starts a control process. It is killed when the context ends or when this process exits.
func startControl(ctx context.Context, program string, servers int) (*controlProcess, error) {
	arguments := slices.Concat(controlArguments, []string{ControlFlag, strconv.Itoa(servers)})
	command := exec.CommandContext(ctx, program, arguments...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	c := &controlProcess{command: command, requests: stdin, responses: json.NewDecoder(stdout)}
	var first controlUsage
	if err := c.responses.Decode(&first); err != nil {
		c.stop()
		return nil, fmt.Errorf("control process %s did not report its address: %w", program, err)
	}
	c.address = first.Address
	return c, nil
}

// request sends a request and waits for its answer.
func (c *controlProcess) request(request string) (controlUsage, error) {
	var usage controlUsage
	if _, err := io.WriteString(c.requests, request+"\n"); err != nil {
		return usage, err
	}
	err := c.responses.Decode(&usage)
	return usage, err
}

// stop kills the control process.
func (c *controlProcess) stop() {
	c.requests.Close()
	c.command.Process.Kill()
	c.command.Wait()
}

// listReader stands for a manager at discovery: a connection that watches the endpoint list.
type listReader struct {
	connection net.Conn
	reader     *bufio.Reader
	bytes      int // number of bytes read so far
}

// openReader opens a connection and requests the complete list and its changes.
func openReader(address string) (*listReader, error) {
	connection, err := net.DialTimeout("tcp", address, controlTimeout)
	if err != nil {
		return nil, err
	}
	connection.SetDeadline(time.Now().Add(controlTimeout))
	r := &listReader{connection: connection, reader: bufio.NewReader(connection)}
	request := "GET /discovery/hosts?watch=1&after=0 HTTP/1.1\r\nHost: " + address + "\r\n\r\n"
	if _, err := io.WriteString(connection, request); err != nil {
		return nil, errors.Join(err, connection.Close())
	}
	return r, nil
}

// readUntil reads up to and including the first line that contains text.
func (r *listReader) readUntil(text string) error {
	for {
		line, err := r.reader.ReadString('\n')
		r.bytes += len(line)
		if err != nil {
			return err
		}
		if strings.Contains(line, text) {
			return nil
		}
	}
}

const (
	controlTimeout   = 60 * time.Second
	controlChanges   = 20              // changes that are measured
	controlServers   = 600             // servers on the list while the number of readers grows
	controlReaders   = 20              // readers while the list grows
	controlQuietSpan = 4 * time.Second // long enough for two heartbeats to each reader
)

// measureControl measures the control plane of one list with the given number of readers. It also measures its cost
// during a span without changes, unless quietSpan is 0.
func measureControl(ctx context.Context, program string, servers, readers int, quietSpan time.Duration) (sample, error) {
	process, err := startControl(ctx, program, servers)
	if err != nil {
		return nil, err
	}
	defer process.stop()
	measured := sample{}
	opened, err := measureOpening(process, readers, measured)
	defer closeReaders(opened)
	if err != nil {
		return nil, err
	}
	measured[ControlCPUPerChange], err = controlChangeCost(process, opened)
	if err != nil || quietSpan == 0 {
		return measured, err
	}
	measured[ControlCPUPerQuietSecond], err = quietControlCost(ctx, process, readers, quietSpan)
	return measured, err
}

// measureOpening opens the given number of readers at once and stores the measured costs in costs. It returns the opened
// readers even if it fails.
func measureOpening(process *controlProcess, readers int, costs sample) ([]*listReader, error) {
	before, err := process.request(requestUsage)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	opened, err := openReaders(process.address, readers)
	if err != nil {
		return opened, err
	}
	took := time.Since(began)
	after, err := process.request(requestUsage)
	if err != nil {
		return opened, err
	}
	bytes := 0
	for _, r := range opened {
		bytes += r.bytes
	}
	costs[ControlCPUPerManager] = (after.CPU - before.CPU) / float64(readers)
	costs[ControlHeapPerManager] = max(0, after.HeapBytes-before.HeapBytes) / float64(readers)
	costs[ControlBytesPerManager] = float64(bytes) / float64(readers)
	costs[ControlConnections] = float64(readers)
	costs[OpeningLast] = took.Seconds()
	return opened, nil
}

// closeReaders closes the connections of readers.
func closeReaders(readers []*listReader) {
	for _, r := range readers {
		r.connection.Close()
	}
}

// quietControlCost returns the control plane's processor time per second and reader while nothing changes.
func quietControlCost(ctx context.Context, process *controlProcess, readers int, span time.Duration) (float64, error) {
	before, err := process.request(requestUsage)
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, span); err != nil {
		return 0, err
	}
	after, err := process.request(requestCPUTime)
	return (after.CPU - before.CPU) / span.Seconds() / float64(readers), err
}

// openReaders opens the given number of readers at once, and waits until each has the complete list. It returns the opened
// readers even if it fails.
func openReaders(address string, count int) ([]*listReader, error) {
	readers := make([]*listReader, count)
	errs := make([]error, count)
	var workers sync.WaitGroup
	for i := range count {
		workers.Go(func() {
			readers[i], errs[i] = openReader(address)
			if errs[i] == nil {
				errs[i] = readers[i].readUntil(`"instances"`)
			}
		})
	}
	workers.Wait()
	opened := slices.DeleteFunc(readers, func(r *listReader) bool { return r == nil })
	return opened, errors.Join(errs...)
}

// controlChangeCost returns the control plane's processor time per change and reader.
func controlChangeCost(process *controlProcess, readers []*listReader) (float64, error) {
	before, err := process.request(requestUsage)
	if err != nil {
		return 0, err
	}
	for change := range controlChanges {
		if _, err := process.request(requestChange); err != nil {
			return 0, err
		}
		version := fmt.Sprintf(`"generation":%d,`, firstVersion+1+change)
		for _, r := range readers {
			if err := r.readUntil(version); err != nil {
				return 0, err
			}
		}
	}
	after, err := process.request(requestUsage)
	return (after.CPU - before.CPU) / controlChanges / float64(len(readers)), err
}
