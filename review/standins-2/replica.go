package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
)

// replicaKey is the secret that signs the versions of the tables, as 64 hex digits.
const replicaKey = "0707070707070707070707070707070707070707070707070707070707070707"

// runReplica is a relay that embeds a replica of the tables, as the project's example does: it follows a manager and picks a
// server for a request ten times a second. It prints what it applies and what it picks.
func runReplica(address string) int {
	secret, err := hex.DecodeString(replicaKey)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	key, err := tables.NewKey(secret)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	keys := tables.Keys{key}
	retries := tables.RetrySettings{InitialInterval: time.Second, MaxInterval: time.Minute}
	dialer := &net.Dialer{Timeout: time.Second}
	var current atomic.Pointer[tables.State]
	follower := &follow.Follower{
		Name:    "replica",
		Keys:    keys,
		Replica: tables.NewReplica(keys, retries, rand.Uint64()),
		Dial: func(ctx context.Context) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			fmt.Printf("dials: error %v\n", err)
			return conn, err
		},
		OnApplied: func(version tables.VersionRef, state *tables.State) {
			current.Store(state)
			fmt.Printf("applies %v\n", version.ID)
		},
	}
	go follower.Run(context.Background())
	for range time.Tick(100 * time.Millisecond) {
		if state := current.Load(); state != nil {
			fmt.Printf("picks %s\n", pick(state))
		}
	}
	return 0
}

// pick picks a server from the first table by weight, or returns "none".
func pick(state *tables.State) string {
	weights := state.Table(0).Weights
	var servers []string
	total := 0.0
	for server, weight := range weights {
		if !state.IsWithdrawn(server) {
			servers = append(servers, server)
			total += weight
		}
	}
	slices.Sort(servers)
	at := rand.Float64() * total
	for _, server := range servers {
		if at -= weights[server]; at <= 0 {
			return server
		}
	}
	return "none"
}

// link is a path from a replica to the manager's tables.
type link struct {
	address string
	target  string

	mu     sync.Mutex
	silent bool // nothing passes, and connections stay open
	conns  []*linkConn
}

type linkConn struct {
	near, far net.Conn
	dead      atomic.Bool // the machine behind it has vanished: it stays open and silent
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			silent := l.silent
			l.mu.Unlock()
			if silent { // new connections never come up or are reset once it is back
				near.(*net.TCPConn).SetLinger(0)
				near.Close()
				continue
			}
			far, err := net.DialTimeout("tcp", l.target, 300*time.Millisecond)
			if err != nil {
				near.(*net.TCPConn).SetLinger(0)
				near.Close()
				continue
			}
			c := &linkConn{near: near, far: far}
			l.mu.Lock()
			l.conns = append(l.conns, c)
			l.mu.Unlock()
			go c.pass(near, far)
			go c.pass(far, near)
		}
	}()
	return l, nil
}

// pass forwards what comes from one side to the other. Once the connection is dead, nothing is forwarded, the end neither.
func (c *linkConn) pass(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if c.dead.Load() {
			if from == c.near { // the replica's bytes are lost; its side stays open
				io.Copy(io.Discard, from)
			}
			return
		}
		if n > 0 {
			to.Write(buffer[:n])
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// vanish makes the machine behind the path vanish: open connections stay open and silent.
func (l *link) vanish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
	for _, c := range l.conns {
		c.dead.Store(true)
	}
}

// back lets new connections through.
func (l *link) back() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = false
}
