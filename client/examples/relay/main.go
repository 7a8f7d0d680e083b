// Relay shows how a relay or proxy embeds a holder of versioned tables: it follows a manager, keeps the last good
// version while the manager is away, and picks servers by weight from it.
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
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
)

// table is what a proxy picks from: made once for each version, read by all its flows.
type table struct {
	servers []string
	upTo    []float64 // sums of weights
}

func made(s *tables.State, id uint32) *table {
	t := &table{}
	lines, sum := s.Table(id).Weights, 0.0
	for server := range lines {
		if !s.IsWithdrawn(server) {
			t.servers = append(t.servers, server)
		}
	}
	slices.Sort(t.servers)
	for _, server := range t.servers {
		sum += lines[server]
		t.upTo = append(t.upTo, sum)
	}
	return t
}

// pick gives a server by weight; false where there is none.
func (t *table) pick() (string, bool) {
	if t == nil || len(t.servers) == 0 {
		return "", false
	}
	x := rand.Float64() * t.upTo[len(t.upTo)-1]
	i, _ := slices.BinarySearch(t.upTo, x)
	return t.servers[min(i, len(t.servers)-1)], true
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: relay ADDRESS KEYFILE TABLE")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	var keys tables.Keys
	for line := range strings.Lines(string(text)) {
		secret, err := hex.DecodeString(strings.TrimSpace(line))
		if err == nil {
			var k tables.Key
			if k, err = tables.NewKey(secret); err == nil {
				keys = append(keys, k)
			}
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, os.Args[2]+":", err)
			os.Exit(1)
		}
	}
	id, err := strconv.ParseUint(os.Args[3], 10, 32)
	if err != nil {
		fmt.Fprintln(os.Stderr, "TABLE:", err)
		os.Exit(2)
	}
	var now atomic.Pointer[table]
	f := &follow.Follower{
		Name: "example", Keys: keys, Replica: tables.NewReplica(keys, tables.RetrySettings{InitialInterval: time.Second, MaxInterval: time.Minute}, rand.Uint64()),
		Dial: func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", os.Args[1])
		},
		OnApplied: func(held tables.VersionRef, s *tables.State) {
			now.Store(made(s, uint32(id)))
			server, some := now.Load().pick()
			fmt.Printf("version %v %v: %d servers to pick from, such as %q %v\n", held.ID, held.Digest, len(now.Load().servers), server, some)
		},
		OnRejected: func(o tables.Outcome, err error) { fmt.Printf("refused: %v: %v\n", o, err) },
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	f.Run(ctx)
}
