package main

import (
	"encoding/json"
	"fmt"
	"os"

	"tamarindshore/internal/store"
)

type storeCommand struct {
	Check   storeCheckCommand   `cmd:"" help:"Verify a complete store. No manager may have it open."`
	Compact storeCompactCommand `cmd:"" help:"Rewrite a store without obsolete data."`
	Export  storeExportCommand  `cmd:"" help:"Print a complete store as JSON."`
}

type storeCheckCommand struct {
	Path string `arg:"" help:"Path of the store."`
}

type storeCompactCommand struct {
	Path string `arg:"" help:"Path of the store."`
}

type storeExportCommand struct {
	Path string `arg:"" help:"Path of the store."`
}

// Run verifies a store and prints a summary.
func (c storeCheckCommand) Run() error {
	contents, err := store.Check(c.Path, store.DefaultLimits())
	if err != nil {
		return err
	}
	list := contents.ServerList
	fmt.Printf("%s: epoch %d, %d versions, %d drains, %d commands, state %v, a list of %d servers at generation %d\n",
		c.Path, contents.Epoch, len(contents.Versions), len(contents.Drains), len(contents.CompletedCommands),
		contents.State.Digest(), len(list.Entries), list.Generation)
	return nil
}

// Run compacts a store and prints its size before and after.
func (c storeCompactCommand) Run() error {
	before, err := os.Stat(c.Path)
	if err != nil {
		return err
	}
	if err := store.Compact(c.Path, store.DefaultLimits()); err != nil {
		return err
	}
	after, err := os.Stat(c.Path)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d bytes, %d before\n", c.Path, after.Size(), before.Size())
	return nil
}

// Run prints a store as JSON.
func (c storeExportCommand) Run() error {
	contents, err := store.Check(c.Path, store.DefaultLimits())
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", " ")
	return out.Encode(map[string]any{
		"epoch":    contents.Epoch,
		"versions": contents.Versions,
		"drains":   contents.Drains,
		"done":     contents.CompletedCommands,
		"list":     contents.ServerList,
	})
}
