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

// ControlFlag is the hidden flag with which a program runs ServeControl for a list of so many servers.
const ControlFlag = "--control-of"

// Requests that a control process takes, a line each. It answers each with a controlUsage.
const (
	requestUsage  = "use"    // all of it
	requestTime   = "time"   // without the heap, which takes a garbage collection to measure
	requestChange = "change" // a server drains, or comes back
)

// controlUsage is what a control process has used so far.
type controlUsage struct {
	Address   string  `json:"address"`
	CPU       float64 `json:"cpu"`  // seconds
	HeapBytes float64 `json:"heap"` // in use after a garbage collection, the goroutines' stacks included
}

// ServeControl runs a fake discovery with a list of so many servers, and answers requests until they end. It is the
// control process that measureControl starts.
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
		if err := out.Encode(usageOfControl(discovery.Address, request)); err != nil {
			return err
		}
	}
	return lines.Err()
}

// usageOfControl measures this process as a request asks for it.
func usageOfControl(address, request string) controlUsage {
	usage := controlUsage{Address: address}
	if request == requestUsage {
		usage.HeapBytes = heapInUse() + stackInUse()
	}
	usage.CPU = processCPU().Seconds()
	return usage
}

// controlProcess is a process that runs ServeControl for readers of this one.
type controlProcess struct {
	command *exec.Cmd
	in      io.WriteCloser
	answers *json.Decoder
	address string
}

// controlArguments come before the flag that makes a program the control process.
var controlArguments = []string{"scale"}

// startControl starts a control process, which ends with the context, or with this process.
func startControl(ctx context.Context, program string, servers int) (*controlProcess, error) {
	arguments := slices.Concat(controlArguments, []string{ControlFlag, strconv.Itoa(servers)})
	command := exec.CommandContext(ctx, program, arguments...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	c := &controlProcess{command: command, in: in, answers: json.NewDecoder(out)}
	var first controlUsage
	if err := c.answers.Decode(&first); err != nil {
		c.stop()
		return nil, fmt.Errorf("the control process did not begin: %w", err)
	}
	c.address = first.Address
	return c, nil
}

// request sends a request and waits for its answer.
func (c *controlProcess) request(request string) (controlUsage, error) {
	var usage controlUsage
	if _, err := io.WriteString(c.in, request+"\n"); err != nil {
		return usage, err
	}
	err := c.answers.Decode(&usage)
	return usage, err
}

// stop kills the control process.
func (c *controlProcess) stop() {
	c.in.Close()
	c.command.Process.Kill()
	c.command.Wait()
}

// listReader is a manager as discovery sees it: a connection that watches the list.
type listReader struct {
	connection net.Conn
	in         *bufio.Reader
	bytes      int // read so far
}

// openReader asks for the list and its changes.
func openReader(address string) (*listReader, error) {
	connection, err := net.DialTimeout("tcp", address, controlTimeout)
	if err != nil {
		return nil, err
	}
	connection.SetDeadline(time.Now().Add(controlTimeout))
	r := &listReader{connection: connection, in: bufio.NewReader(connection)}
	request := "GET /discovery/hosts?watch=1&after=0 HTTP/1.1\r\nHost: " + address + "\r\n\r\n"
	if _, err := io.WriteString(connection, request); err != nil {
		return nil, errors.Join(err, connection.Close())
	}
	return r, nil
}

// readUntil reads to the end of the first line that holds a text.
func (r *listReader) readUntil(text string) error {
	for {
		line, err := r.in.ReadString('\n')
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
	controlChanges   = 20 // that are measured
	controlServers   = 600
	controlReaders   = 20              // while the list grows
	controlQuietSpan = 4 * time.Second // two heartbeats for each reader
)

// measureControl measures the control side of one list for so many readers, and what it costs while nothing changes for
// a span; 0: that isn't measured.
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

// measureOpening opens so many readers at once. It returns those that were opened also where it returns an error.
func measureOpening(process *controlProcess, readers int, into sample) ([]*listReader, error) {
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
	into[ControlCPUPerManager] = (after.CPU - before.CPU) / float64(readers)
	into[ControlHeapPerManager] = max(0, after.HeapBytes-before.HeapBytes) / float64(readers)
	into[ControlBytesPerManager] = float64(bytes) / float64(readers)
	into[ControlConnections] = float64(readers)
	into[OpeningLast] = took.Seconds()
	return opened, nil
}

// closeReaders closes the connections of readers.
func closeReaders(readers []*listReader) {
	for _, r := range readers {
		r.connection.Close()
	}
}

// quietControlCost is the control side's processor time in a second for each reader, while nothing changes.
func quietControlCost(ctx context.Context, process *controlProcess, readers int, span time.Duration) (float64, error) {
	before, err := process.request(requestUsage)
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, span); err != nil {
		return 0, err
	}
	after, err := process.request(requestTime)
	return (after.CPU - before.CPU) / span.Seconds() / float64(readers), err
}

// openReaders opens so many readers at once, and waits until each has the complete list. It returns those that were opened
// also where it returns an error.
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

// controlChangeCost is the control side's processor time for one change and one reader.
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
