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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarindshore/internal/fakes"
)

// ControlFlag is the hidden flag with which a program runs ServeControl for a list of so many servers.
const ControlFlag = "--control-of"

// Requests that a control process takes, a line each.
const (
	requestUsage  = "use"    // answered by its controlUse
	requestTime   = "time"   // answered by its controlUse without the heap, which takes a collection to tell
	requestChange = "change" // a server drains, or comes back; answered by its controlUse
)

// controlUse is what a control process has used so far.
type controlUsage struct {
	Address   string  `json:"address"`
	CPU       float64 `json:"cpu"`  // seconds
	HeapBytes float64 `json:"heap"` // held after a collection, the stacks of its goroutines included
}

// ServeControl runs discovery's stand-in with a list of so many servers, and answers requests until they end.
func ServeControl(servers int, requests io.Reader, answers io.Writer) error {
	scenario := Reference().With(Servers, float64(servers))
	site := scenario.site()
	var entries []fakes.Endpoint
	for server := range servers {
		entries = append(entries, scenario.endpoint(site, server, "up"))
	}
	discovery, err := fakes.NewDiscovery("127.0.0.1:0", entries)
	if err != nil {
		return err
	}
	defer discovery.Close()
	out := json.NewEncoder(answers)
	if err := out.Encode(controlUsage{Address: discovery.Address}); err != nil {
		return err
	}
	lines := bufio.NewScanner(requests)
	for changed := 0; lines.Scan(); {
		if lines.Text() == requestChange {
			discovery.Publish(scenario.endpoint(site, changed/2%servers, []string{"draining", "up"}[changed%2]))
			changed++
		}
		use := controlUsage{Address: discovery.Address, CPU: processCPU().Seconds()}
		if lines.Text() == requestUsage {
			use.HeapBytes = heapInUse() + stackInUse()
			use.CPU = processCPU().Seconds()
		}
		if err := out.Encode(use); err != nil {
			return err
		}
	}
	return lines.Err()
}

// control is a control process that serves readers of this one.
type controlProcess struct {
	command *exec.Cmd
	in      io.WriteCloser
	answers *json.Decoder
	address string
}

func startControl(ctx context.Context, program string, servers int) (c *controlProcess, err error) {
	c = &controlProcess{command: exec.CommandContext(ctx, program, append(controlArguments, ControlFlag, strconv.Itoa(servers))...)}
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if c.in, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	c.answers = json.NewDecoder(out)
	var first controlUsage
	if err := c.answers.Decode(&first); err != nil {
		c.stop()
		return nil, fmt.Errorf("the control process did not begin: %w", err)
	}
	c.address = first.Address
	return c, nil
}

// controlArguments stand before the flag that makes a program the control process.
var controlArguments = []string{"scale"}

func (c *controlProcess) request(request string) (use controlUsage, err error) {
	if _, err := io.WriteString(c.in, request+"\n"); err != nil {
		return use, err
	}
	return use, c.answers.Decode(&use)
}

// stop ends the control process.
func (c *controlProcess) stop() {
	c.in.Close()
	c.command.Process.Kill()
	c.command.Wait()
}

// reader is a manager as discovery sees it: a connection that watches the list.
type listReader struct {
	connection net.Conn
	in         *bufio.Reader
	bytes      int
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

// until reads to the end of the first line that holds a word.
func (r *listReader) readUntil(word string) error {
	for {
		line, err := r.in.ReadString('\n')
		r.bytes += len(line)
		if err != nil {
			return err
		}
		if strings.Contains(line, word) {
			return nil
		}
	}
}

const (
	controlTimeout = 60 * time.Second
	controlChanges = 20
	controlServers = 600
	controlReaders = 20              // where the list grows
	controlQuiet   = 4 * time.Second // two signs of life for each reader
)

// measureControl measures the control side of one list for so many readers, and how it does while nothing changes
// for a time; 0: that isn't measured.
func measureControl(ctx context.Context, program string, servers, readers int, quiet time.Duration) (sample, error) {
	c, err := startControl(ctx, program, servers)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	before, err := c.request(requestUsage)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	all, err := openReaders(c.address, readers)
	defer func() {
		for _, r := range all {
			r.connection.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	opened := time.Since(began)
	after, err := c.request(requestUsage)
	if err != nil {
		return nil, err
	}
	n := float64(readers)
	bytes := 0
	for _, r := range all {
		bytes += r.bytes
	}
	one := sample{
		ControlCPUPerManager:   (after.CPU - before.CPU) / n,
		ControlHeapPerManager:  max(0, after.HeapBytes-before.HeapBytes) / n,
		ControlBytesPerManager: float64(bytes) / n,
		ControlConnections:     n,
		OpeningLast:            opened.Seconds(),
	}
	if one[ControlCPUPerChange], err = controlChangeCost(c, all); err != nil || quiet == 0 {
		return one, err
	}
	one[ControlCPUPerQuietSecond], err = quietControlCost(ctx, c, len(all), quiet)
	return one, err
}

// quietCost is the control side's processor time in a second for each reader, while nothing changes.
func quietControlCost(ctx context.Context, c *controlProcess, readers int, span time.Duration) (float64, error) {
	before, err := c.request(requestUsage)
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, span); err != nil {
		return 0, err
	}
	after, err := c.request(requestTime)
	return (after.CPU - before.CPU) / span.Seconds() / float64(readers), err
}

// openReaders opens all readers at once and waits until each has the whole list.
func openReaders(address string, readers int) ([]*listReader, error) {
	all, errs := make([]*listReader, readers), make([]error, readers)
	var group sync.WaitGroup
	for i := range readers {
		group.Go(func() {
			if all[i], errs[i] = openReader(address); errs[i] == nil {
				errs[i] = all[i].readUntil(`"instances"`)
			}
		})
	}
	group.Wait()
	var opened []*listReader
	for _, r := range all {
		if r != nil {
			opened = append(opened, r)
		}
	}
	return opened, errors.Join(errs...)
}

// changeCost is the control side's processor time for telling one change to one reader.
func controlChangeCost(c *controlProcess, readers []*listReader) (float64, error) {
	before, err := c.request(requestUsage)
	if err != nil {
		return 0, err
	}
	for change := range controlChanges {
		if _, err := c.request(requestChange); err != nil {
			return 0, err
		}
		word := fmt.Sprintf(`"generation":%d,`, firstVersion+1+change)
		for _, r := range readers {
			if err := r.readUntil(word); err != nil {
				return 0, err
			}
		}
	}
	after, err := c.request(requestUsage)
	return (after.CPU - before.CPU) / controlChanges / float64(len(readers)), err
}
