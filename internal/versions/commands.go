package versions

import (
	"errors"
	"fmt"
	"time"

	"tamarindshore/client/tables"
)

// CompletedCommand is an operator's command that was carried out.
type CompletedCommand struct {
	Key         string // idempotency key
	Command     string
	CompletedAt time.Time
	Head        tables.ID // the newest version at that time
}

// maxKeyLen is the most bytes of an idempotency key.
const maxKeyLen = 64

var (
	// ErrRefused is wrapped by each refusal of a command, with the reason.
	ErrRefused = errors.New("refused")

	errKey = fmt.Errorf("%w: a key of 1 to %d characters is due", ErrRefused, maxKeyLen)
)

// runOnce carries out an operator's command unless it was carried out under this key before: then it returns that
// command, and fresh is false.
func (c *Chain) runOnce(now time.Duration, key, command string, run func() error) (completed CompletedCommand, fresh bool, err error) {
	c.now = now
	if key == "" || len(key) > maxKeyLen {
		return CompletedCommand{}, false, errKey
	}
	for _, earlier := range c.completed {
		if earlier.Key != key {
			continue
		}
		if earlier.Command != command {
			return CompletedCommand{}, false, fmt.Errorf("%w: key %q was that of %q", ErrRefused, key, earlier.Command)
		}
		return earlier, false, nil
	}
	if err := run(); err != nil {
		return CompletedCommand{}, false, err
	}
	return c.complete(key, command), true, nil
}

// complete remembers a command that was carried out, and forgets the oldest beyond the limit.
func (c *Chain) complete(key, command string) CompletedCommand {
	completed := CompletedCommand{Key: key, Command: command, CompletedAt: c.wallTime(c.now)}
	if head := c.Head(); head != nil {
		completed.Head = head.ID
	}
	c.completed = append(c.completed, completed)
	excess := len(c.completed) - c.settings.MaxCompletedCommands
	c.completed = c.completed[max(0, excess):]
	return completed
}

// CompletedCommands returns the remembered commands, oldest first. The caller must not change them.
func (c *Chain) CompletedCommands() []CompletedCommand { return c.completed }
