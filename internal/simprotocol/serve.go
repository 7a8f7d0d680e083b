// Package simprotocol speaks the simulator's protocol: it reads events into calls of the balancer and writes the
// commands that these return as actions. names.go maps every name on the wire, events.go reads one event a function,
// actions.go writes the actions, and this file holds the instances and the batches.
//
// Nothing here is safe for concurrent use: a process serves one input.
package simprotocol

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/platformsettings"
)

const (
	maxLineBytes    = 64 << 20
	bufferBytes     = 1 << 16
	settingsMessage = 4 // parts of a message whose last value runs to the end of the line
)

// instance is one manager, with what its events are read against.
type instance struct {
	manager    manager
	startedAt  time.Duration // on the simulator's clock
	now        time.Duration // since then
	classNames []string
	failed     bool // it panicked, and acts no more
}

// host holds the instances of one process. They share nothing.
type host struct {
	instances  map[int64]*instance
	lines      *bufio.Scanner
	linesRead  int
	readLine   func() (string, bool) // nextLine, kept so that an event allocates no function value
	fields     fieldReader           // of the event that is read, kept for the same reason
	out        *bufio.Writer
	newManager func(seed uint64, settings balancer.Settings) manager
}

func newHost(in io.Reader, out io.Writer) *host {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, bufferBytes), maxLineBytes)
	h := &host{
		instances: map[int64]*instance{},
		lines:     lines,
		out:       bufio.NewWriterSize(out, bufferBytes),
		newManager: func(seed uint64, settings balancer.Settings) manager {
			return balancer.New(seed, settings)
		},
	}
	h.readLine = h.nextLine
	return h
}

// Serve answers batches until the input ends. An error in the input is a *LineError; one of reading or writing is
// returned as it is.
func Serve(in io.Reader, out io.Writer) error { return newHost(in, out).serve() }

func (h *host) serve() error {
	for {
		line, ok := h.nextLine()
		if !ok {
			return h.lines.Err()
		}
		if line == "" {
			continue
		}
		if err := h.serveBatch(line); err != nil {
			return &LineError{Line: h.linesRead, Err: err}
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}

// nextLine reads a line without its end; false at the end of the input.
func (h *host) nextLine() (string, bool) {
	if !h.lines.Scan() {
		return "", false
	}
	h.linesRead++
	return strings.TrimSuffix(h.lines.Text(), "\r"), true
}

// serveBatch reads the events of one batch, whose first line is given, and writes the reply.
func (h *host) serveBatch(first string) error {
	clock, err := parseBatchStart(first)
	if err != nil {
		return err
	}
	for {
		line, ok := h.nextLine()
		switch {
		case !ok:
			return ErrTruncatedBatch
		case line == messageBatchEnd:
			_, err := fmt.Fprintln(h.out, messageReplyEnd)
			return err
		case line == "":
			continue
		}
		name, _, _ := strings.Cut(line, "\t")
		if err := h.serveEvent(name, line, clock); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
}

// parseBatchStart reads the clock of a batch.
func parseBatchStart(line string) (clock time.Duration, err error) {
	f := splitFields(line)
	if name := f.text(fieldMessage); name != messageBatch {
		return 0, fmt.Errorf("%s is due, not %q", messageBatch, name)
	}
	clock = time.Duration(f.integer(fieldClock, 0, maxMicroseconds)) * time.Microsecond
	if err := f.end(); err != nil {
		return 0, fmt.Errorf("%s: %w", messageBatch, err)
	}
	return clock, nil
}

// serveEvent reads one event and carries it out.
func (h *host) serveEvent(name, line string, clock time.Duration) error {
	f := &h.fields
	f.reset(line)
	if name == eventInstanceStarted {
		f.values = strings.SplitN(line, "\t", settingsMessage)
	}
	f.next = 1 // after the name
	id := f.integer(fieldInstance, 0, math.MaxInt32)
	if f.err != nil {
		return f.err
	}
	if name == eventInstanceStarted {
		return h.startInstance(id, f, clock)
	}
	one := h.instances[id]
	if one == nil {
		return fmt.Errorf("instance %d %w", id, ErrUnknownInstance)
	}
	if name == eventInstanceStopped {
		return h.stopInstance(id, f)
	}
	read := eventReaders[name]
	if read == nil {
		return ErrUnknownMessage
	}
	one.now = clock - one.startedAt
	apply, err := read(f, eventContext{startedAt: one.startedAt, classNames: one.classNames, nextLine: h.readLine})
	if err != nil {
		return err
	}
	if err := f.end(); err != nil {
		return err
	}
	h.run(id, func() balancer.Commands { return apply(one.manager, one.now) })
	return nil
}

// startInstance makes a manager by the settings of the event, in place of one of the same number.
func (h *host) startInstance(id int64, f *fieldReader, clock time.Duration) error {
	seed := f.seed(fieldSeed)
	settingsText := f.text(fieldSettings)
	if f.err != nil {
		return f.err
	}
	settings, err := platformsettings.Parse([]byte(settingsText))
	if err != nil {
		return fmt.Errorf("%s: %w", fieldSettings, err)
	}
	one := &instance{startedAt: clock, classNames: settings.ClassNames}
	h.instances[id] = one
	h.run(id, func() balancer.Commands {
		one.manager = h.newManager(seed, settings.Balancer)
		return balancer.Commands{}
	})
	return nil
}

// stopInstance forgets an instance.
func (h *host) stopInstance(id int64, f *fieldReader) error {
	if err := f.end(); err != nil {
		return err
	}
	delete(h.instances, id)
	return nil
}

// run carries out a decision of an instance and writes its commands. A panic in it is a fault of that instance alone.
func (h *host) run(id int64, decide func() balancer.Commands) {
	one := h.instances[id]
	if one.failed {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			one.failed = true
			writeInternalError(h.out, id, cause)
		}
	}()
	commands := decide()
	if commands.Barrier > 0 {
		one.manager.HandleCommandsSent(one.now, commands.Barrier) // a reply takes effect at once
	}
	writeActions(h.out, id, one.startedAt, commands)
}
