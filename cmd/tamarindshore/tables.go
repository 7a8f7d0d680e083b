package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"tamarindshore/internal/node"
)

type tablesCommand struct {
	Socket   string                `help:"The manager's admin socket." placeholder:"PATH" env:"TAMARINDSHORE_SOCKET"`
	Log      tablesLogCommand      `cmd:"" help:"List the kept versions, newest first, and the hold in force."`
	Show     tablesShowCommand     `cmd:"" help:"Print a version."`
	Diff     tablesDiffCommand     `cmd:"" help:"Print the changes between two versions."`
	Verify   tablesVerifyCommand   `cmd:"" help:"Rebuild each version from the previous one, and compare the digests."`
	Rollback tablesRollbackCommand `cmd:"" help:"Roll back to a version, restricted to servers that are still available, and hold it."`
	Hold     tablesHoldCommand     `cmd:"" help:"Keep the tables as they are, except for urgent changes."`
	Resume   tablesResumeCommand   `cmd:"" help:"End a hold; the tables then change step by step."`
}

type tablesLogCommand struct{}

type tablesShowCommand struct {
	Version string `arg:"" help:"EPOCH.NUMBER"`
}

type tablesDiffCommand struct {
	A string `arg:"" help:"EPOCH.NUMBER"`
	B string `arg:"" help:"EPOCH.NUMBER"`
}

type tablesVerifyCommand struct{}

type tablesRollbackCommand struct {
	To  string        `required:"" help:"EPOCH.NUMBER"`
	ID  string        `required:"" help:"Idempotency key: a command repeated with the same key takes effect only once."`
	For time.Duration `help:"How long to hold the version; 30 minutes by default."`
}

type tablesHoldCommand struct {
	ID  string        `required:"" help:"Idempotency key of this command."`
	For time.Duration `help:"How long to hold the tables; 30 minutes by default."`
}

type tablesResumeCommand struct {
	ID string `required:"" help:"Idempotency key of this command."`
}

// Timeouts of a request to the admin socket.
const (
	adminConnectTimeout = time.Second
	adminTimeout        = 10 * time.Second
)

// request sends a command to the admin socket and prints the response.
func (c *tablesCommand) request(request node.AdminRequest) error {
	if c.Socket == "" {
		return errors.New("--socket: is missing; the manager's settings name it: (admin (socket \"PATH\"))")
	}
	conn, err := net.DialTimeout("unix", c.Socket, adminConnectTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return err
	}
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return err
	}
	var response node.AdminResponse
	if err := json.NewDecoder(conn).Decode(&response); err != nil {
		return fmt.Errorf("no response: %w; repeating the command with the same key is safe, it takes effect only once", err)
	}
	for _, line := range response.Lines {
		fmt.Println(line)
	}
	if response.Error != "" {
		return errors.New(response.Error)
	}
	return nil
}

// Run lists the kept versions and the hold in force.
func (tablesLogCommand) Run(root *commands) error {
	return root.Tables.request(node.AdminRequest{Command: "log"})
}

// Run prints a version.
func (c tablesShowCommand) Run(root *commands) error {
	return root.Tables.request(node.AdminRequest{Command: "show", Version: c.Version})
}

// Run compares two versions.
func (c tablesDiffCommand) Run(root *commands) error {
	return root.Tables.request(node.AdminRequest{Command: "diff", Version: c.A, OtherVersion: c.B})
}

// Run verifies that each version can be rebuilt from the previous one.
func (tablesVerifyCommand) Run(root *commands) error {
	return root.Tables.request(node.AdminRequest{Command: "verify"})
}

// Run rolls back to a version and holds it.
func (c tablesRollbackCommand) Run(root *commands) error {
	return root.Tables.request(node.AdminRequest{Command: "rollback", Version: c.To, Key: c.ID, Duration: c.For})
}

// Run holds the tables.
func (c tablesHoldCommand) Run(root *commands) error {
	return root.Tables.request(node.AdminRequest{Command: "hold", Key: c.ID, Duration: c.For})
}

// Run ends a hold.
func (c tablesResumeCommand) Run(root *commands) error {
	return root.Tables.request(node.AdminRequest{Command: "resume", Key: c.ID})
}
