// Relay is an example of a relay or proxy that embeds a replica of versioned tables. It follows a manager, keeps the last
// valid version while the manager is unreachable, and picks servers by their weights in that version.
//
//	go run ./client/examples/relay 127.0.0.1:9802 KEYFILE TABLE
package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	if len(os.Args) != 4 {
		fail(exitUsage, "usage: relay ADDRESS KEYFILE TABLE")
	}
	address, keyFile := os.Args[1], os.Args[2]
	keys, err := readKeys(keyFile)
	if err != nil {
		fail(exitFailure, err)
	}
	table, err := strconv.ParseUint(os.Args[3], 10, 32)
	if err != nil {
		fail(exitUsage, "TABLE:", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	newFollower(address, keys, uint32(table)).Run(ctx)
}

func fail(code int, message ...any) {
	fmt.Fprintln(os.Stderr, message...)
	os.Exit(code)
}

// readKeys reads a file of keys: the 64 hex digits of one secret per line.
func readKeys(path string) (tables.Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys tables.Keys
	for line := range strings.Lines(string(text)) {
		secret, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		key, err := tables.NewKey(secret)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// newFollower returns a follower that prints each version that it applies or rejects.
func newFollower(address string, keys tables.Keys, table uint32) *follow.Follower {
	retries := tables.RetrySettings{InitialInterval: time.Second, MaxInterval: time.Minute}
	dialer := &net.Dialer{Timeout: time.Second}
	var current atomic.Pointer[picker] // a real proxy reads it for each request
	return &follow.Follower{
		Name:    "example",
		Keys:    keys,
		Replica: tables.NewReplica(keys, retries, rand.Uint64()),
		Dial: func(ctx context.Context) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		OnApplied: func(version tables.VersionRef, state *tables.State) {
			p := newPicker(state, table)
			current.Store(p)
			server, found := current.Load().pick(rand.Float64())
			fmt.Printf("version %v (digest %v): %d servers, picked %q (found: %v)\n", version.ID, version.Digest, len(p.servers), server, found)
		},
		OnRejected: func(outcome tables.Outcome, err error) {
			fmt.Printf("delta rejected (%v): %v\n", outcome, err)
		},
	}
}
