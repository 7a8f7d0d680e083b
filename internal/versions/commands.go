package versions

import (
	"errors"
	"fmt"
	"time"

	"tamarindshore/client/tables"
)

// CompletedCommand records an operator's command that was carried out.
type CompletedCommand struct {
	Key         string // idempotency key
	Command     string // name of the command, with the target version for a rollback
	CompletedAt time.Time
	Head        tables.ID // newest version when the command completed; zero if there was none
}

// maxKeyLen is the maximum length of an idempotency key in bytes.
const maxKeyLen = 64

var (
	// ErrRefused is wrapped by the errors of refused commands, which add the reason.
	ErrRefused = errors.New("refused")

	errInvalidKey = fmt.Errorf("%w: the idempotency key must have 1 to %d bytes", ErrRefused, maxKeyLen)
)

// runOnce carries out an operator's command unless it was completed under the same key before. In that case it returns
// the earlier record, and executed is false.
func (c *Chain) runOnce(
	now time.Duration, key, command string, run func() error,
) (completed CompletedCommand, executed bool, err error) {
	c.now = now
	if key == "" || len(key) > maxKeyLen {
		return CompletedCommand{}, false, errInvalidKey
	}
	for _, earlier := range c.completed {
		if earlier.Key != key {
			continue
		}
		if earlier.Command != command {
			return CompletedCommand{}, false, fmt.Errorf("%w: key %q was used for %q before, not for %q", ErrRefused, key, earlier.Command, command)
		}
		return earlier, false, nil
	}
	if err := run(); err != nil {
		return CompletedCommand{}, false, err
	}
	return c.recordCompleted(key, command), true, nil
}

// recordCompleted adds a command to the completed ones, and drops the oldest beyond the limit.
func (c *Chain) recordCompleted(key, command string) CompletedCommand {
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
