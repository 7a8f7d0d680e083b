package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"tamarindshore/internal/node"
	"tamarindshore/internal/store"
)

type tablesCmd struct {
	Socket   string      `help:"The manager's admin socket." placeholder:"PATH" env:"TAMARINDSHORE_SOCKET"`
	Log      tablesLog   `cmd:"" help:"The versions that are kept, newest first, and what is held."`
	Show     tablesShow  `cmd:"" help:"What a version says."`
	Diff     tablesDiff  `cmd:"" help:"What leads from a version to another."`
	Verify   tablesCheck `cmd:"" help:"Make each version anew from the one before it, and compare."`
	Rollback tablesBack  `cmd:"" help:"Go back to a version, as far as its servers are open today, and hold it."`
	Hold     tablesHold  `cmd:"" help:"Keep the tables as they stand, but for what the rules demand."`
	Resume   tablesEnd   `cmd:"" help:"End what is held; the tables go on by steps."`
}

type (
	tablesLog  struct{}
	tablesShow struct {
		Version string `arg:"" help:"EPOCH.NUMBER"`
	}
	tablesDiff struct {
		A string `arg:"" help:"EPOCH.NUMBER"`
		B string `arg:"" help:"EPOCH.NUMBER"`
	}
	tablesCheck struct{}
	tablesBack  struct {
		To  string        `required:"" help:"EPOCH.NUMBER"`
		ID  string        `required:"" help:"Key of this command: said again with it, it takes effect once."`
		For time.Duration `help:"How long it is held; 30 minutes without."`
	}
	tablesHold struct {
		ID  string        `required:"" help:"Key of this command."`
		For time.Duration `help:"How long; 30 minutes without."`
	}
	tablesEnd struct {
		ID string `required:"" help:"Key of this command."`
	}
)

// ask says a command at the admin socket and prints what comes back.
func (t *tablesCmd) ask(a node.AdminRequest) error {
	if t.Socket == "" {
		return errors.New("--socket: is missing; the manager's settings name it: (admin (socket \"PATH\"))")
	}
	c, err := net.DialTimeout("unix", t.Socket, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if err := json.NewEncoder(c).Encode(a); err != nil {
		return err
	}
	var told node.AdminResponse
	if err := json.NewDecoder(c).Decode(&told); err != nil {
		return fmt.Errorf("no answer: %w; said again with the same key, a command takes effect once", err)
	}
	for _, line := range told.Lines {
		fmt.Println(line)
	}
	if told.Error != "" {
		return errors.New(told.Error)
	}
	return nil
}

func (tablesLog) Run(c *commands) error { return c.Tables.ask(node.AdminRequest{Command: "log"}) }
func (t tablesShow) Run(c *commands) error {
	return c.Tables.ask(node.AdminRequest{Command: "show", Version: t.Version})
}
func (t tablesDiff) Run(c *commands) error {
	return c.Tables.ask(node.AdminRequest{Command: "diff", Version: t.A, OtherVersion: t.B})
}
func (tablesCheck) Run(c *commands) error { return c.Tables.ask(node.AdminRequest{Command: "verify"}) }
func (t tablesBack) Run(c *commands) error {
	return c.Tables.ask(node.AdminRequest{Command: "rollback", Version: t.To, Key: t.ID, Duration: t.For})
}
func (t tablesHold) Run(c *commands) error {
	return c.Tables.ask(node.AdminRequest{Command: "hold", Key: t.ID, Duration: t.For})
}
func (t tablesEnd) Run(c *commands) error {
	return c.Tables.ask(node.AdminRequest{Command: "resume", Key: t.ID})
}

type storeCmd struct {
	Check   storeCheck   `cmd:"" help:"Check all of a store that no manager has open."`
	Compact storeCompact `cmd:"" help:"Write a store anew without what it no longer uses."`
	Export  storeExport  `cmd:"" help:"Print all of a store as JSON."`
}

type (
	storeCheck struct {
		Path string `arg:""`
	}
	storeCompact struct {
		Path string `arg:""`
	}
	storeExport struct {
		Path string `arg:""`
	}
)

// Run checks a store.
func (s storeCheck) Run() error {
	kept, err := store.Check(s.Path, store.DefaultLimits())
	if err != nil {
		return err
	}
	fmt.Printf("%s: epoch %d, %d versions, %d drains, %d commands, state %v, a list of %d servers at version %d\n", s.Path, kept.Epoch,
		len(kept.Versions), len(kept.Drains), len(kept.CompletedCommands), kept.State.Digest(), len(kept.ServerList.Entries), kept.ServerList.Generation)
	return nil
}

// Run compacts a store.
func (s storeCompact) Run() error {
	before, err := os.Stat(s.Path)
	if err != nil {
		return err
	}
	if err := store.Compact(s.Path, store.DefaultLimits()); err != nil {
		return err
	}
	after, err := os.Stat(s.Path)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d bytes, %d before\n", s.Path, after.Size(), before.Size())
	return nil
}

// Run prints a store.
func (s storeExport) Run() error {
	kept, err := store.Check(s.Path, store.DefaultLimits())
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", " ")
	return out.Encode(map[string]any{"epoch": kept.Epoch, "versions": kept.Versions, "drains": kept.Drains, "done": kept.CompletedCommands, "list": kept.ServerList})
}
