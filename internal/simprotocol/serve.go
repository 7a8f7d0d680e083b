// Package simprotocol implements the simulator's protocol. It translates events to calls of the balancer and writes the
// commands that these calls return as actions. names.go defines the names of the protocol, events.go has one parsing
// function per event, actions.go writes the actions, and serve.go manages instances and batches.
//
// The package is not safe for concurrent use: a process serves a single input.
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
	maxLineBytes          = 64 << 20
	bufferBytes           = 1 << 16
	instanceStartedFields = 4 // values of an eventInstanceStarted; the last one extends to the end of the line
)

// managerInstance is one manager of the simulation, with the state that is needed to parse its events.
type managerInstance struct {
	manager    manager
	startedAt  time.Duration // on the simulator's clock
	now        time.Duration // time since startedAt
	classNames []string
	failed     bool // it has panicked; further events are ignored
}

// host serves the instances of a process. Instances share no state.
type host struct {
	instances  map[int64]*managerInstance
	lines      *bufio.Scanner
	linesRead  int
	readLine   func() (string, bool) // h.nextLine, stored to avoid allocating a function value per event
	fields     fieldReader           // values of the current event, stored to avoid an allocation per event
	out        *bufio.Writer
	newManager func(seed uint64, settings balancer.Settings) manager
}

func newHost(in io.Reader, out io.Writer) *host {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, bufferBytes), maxLineBytes)
	h := &host{
		instances: map[int64]*managerInstance{},
		lines:     lines,
		out:       bufio.NewWriterSize(out, bufferBytes),
		newManager: func(seed uint64, settings balancer.Settings) manager {
			return balancer.New(seed, settings)
		},
	}
	h.readLine = h.nextLine
	return h
}

// Serve replies to batches until the input ends. It returns a *LineError for invalid input, and errors of reading or
// flushing unchanged.
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

// nextLine returns the next line without its line break. It returns false at the end of the input.
func (h *host) nextLine() (string, bool) {
	if !h.lines.Scan() {
		return "", false
	}
	h.linesRead++
	return strings.TrimSuffix(h.lines.Text(), "\r"), true
}

// serveBatch handles the events of the batch that starts with the given line, and writes the reply.
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

// parseBatchStart parses the first line of a batch and returns the batch's time.
func parseBatchStart(line string) (clock time.Duration, err error) {
	f := splitFields(line)
	if name := f.text(fieldMessage); name != messageBatch {
		return 0, fmt.Errorf("expected %s, found %q", messageBatch, name)
	}
	clock = time.Duration(f.integer(fieldClock, 0, maxMicroseconds)) * time.Microsecond
	if err := f.end(); err != nil {
		return 0, fmt.Errorf("%s: %w", messageBatch, err)
	}
	return clock, nil
}

// serveEvent parses an event and applies it to its instance.
func (h *host) serveEvent(name, line string, clock time.Duration) error {
	f := &h.fields
	f.reset(line)
	if name == eventInstanceStarted {
		f.values = strings.SplitN(line, "\t", instanceStartedFields)
	}
	f.next = 1 // skip the name
	id := f.integer(fieldInstance, 0, math.MaxInt32)
	if f.err != nil {
		return f.err
	}
	if name == eventInstanceStarted {
		return h.startInstance(id, f, clock)
	}
	instance := h.instances[id]
	if instance == nil {
		return fmt.Errorf("instance %d %w", id, ErrUnknownInstance)
	}
	if name == eventInstanceStopped {
		return h.stopInstance(id, f)
	}
	read := eventReaders[name]
	if read == nil {
		return ErrUnknownMessage
	}
	instance.now = clock - instance.startedAt
	apply, err := read(f, eventContext{startedAt: instance.startedAt, classNames: instance.classNames, nextLine: h.readLine})
	if err != nil {
		return err
	}
	if err := f.end(); err != nil {
		return err
	}
	h.run(id, func() balancer.Commands { return apply(instance.manager, instance.now) })
	return nil
}

// startInstance creates a manager with the seed and settings of the event. It replaces an existing instance that has the
// same number.
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
	instance := &managerInstance{startedAt: clock, classNames: settings.ClassNames}
	h.instances[id] = instance
	h.run(id, func() balancer.Commands {
		instance.manager = h.newManager(seed, settings.Balancer)
		return balancer.Commands{}
	})
	return nil
}

// stopInstance removes an instance.
func (h *host) stopInstance(id int64, f *fieldReader) error {
	if err := f.end(); err != nil {
		return err
	}
	delete(h.instances, id)
	return nil
}

// run calls decide for an instance and writes the resulting commands as actions. If decide panics, run reports the panic
// and disables this instance; the others continue.
func (h *host) run(id int64, decide func() balancer.Commands) {
	instance := h.instances[id]
	if instance.failed {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			instance.failed = true
			writeInternalError(h.out, id, cause)
		}
	}()
	commands := decide()
	if commands.Barrier > 0 {
		instance.manager.HandleCommandsSent(instance.now, commands.Barrier) // the simulator applies a reply immediately
	}
	writeActions(h.out, id, instance.startedAt, commands)
}
