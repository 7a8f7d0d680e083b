package node

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"tamarindshore/client/tables"
)

// This file serves the admin socket, a Unix socket on which operators send commands. The operator's settings name its
// path; without that setting there is no socket. A request and its response are one line of JSON each. The router executes
// the command in its own goroutine; this file only transports it. Only processes that may open the socket file are served.

// AdminCommand is the kind of an AdminRequest.
type AdminCommand string

// The commands of the admin socket.
const (
	AdminLog      AdminCommand = "log"      // lists the versions of the tables, newest first
	AdminShow     AdminCommand = "show"     // prints a version
	AdminDiff     AdminCommand = "diff"     // prints the changes between two versions
	AdminVerify   AdminCommand = "verify"   // checks that each version follows from the one before it
	AdminRollback AdminCommand = "rollback" // restores a version and holds the tables there
	AdminHold     AdminCommand = "hold"     // holds the tables as they are
	AdminResume   AdminCommand = "resume"   // ends a rollback or a hold
)

// changesTables reports whether a command may change the tables. Such commands are logged.
func (c AdminCommand) changesTables() bool {
	return c == AdminRollback || c == AdminHold || c == AdminResume
}

// AdminRequest is a command of an operator, as encoded on the admin socket.
type AdminRequest struct {
	Command      AdminCommand  `json:"do"`
	Version      string        `json:"version,omitempty"` // in the form EPOCH.NUMBER
	OtherVersion string        `json:"other,omitempty"`   // the version that AdminDiff compares with
	Key          string        `json:"key,omitempty"`     // idempotency key: a command takes effect only once per key
	Duration     time.Duration `json:"for_ns,omitempty"`  // of a rollback or a hold; 0 for the default
}

// AdminResponse is the result of an AdminRequest, as encoded on the admin socket.
type AdminResponse struct {
	Lines []string `json:"lines,omitempty"`
	Error string   `json:"error,omitempty"` // empty if the command succeeded
}

const (
	maxAdminRequest = 4 << 10 // bytes
	adminTimeout    = 5 * time.Second
)

var (
	errAddressInUse   = errors.New("another process is listening on this socket")
	errInvalidVersion = errors.New("expected EPOCH.NUMBER")
)

// startAdmin serves the admin socket until the manager ends. It replaces a socket file left behind by an earlier process.
func (n *Node) startAdmin(path string) error {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return fmt.Errorf("%s: %w", path, errAddressInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path) // if this fails, Listen fails too and returns the reason
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		listener.Close()
		return err
	}
	n.operatorListeners = append(n.operatorListeners, listener)
	go n.serveAdmin(listener)
	return nil
}

// serveAdmin serves one connection after another until the listener is closed, so that commands take effect in order.
func (n *Node) serveAdmin(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.serveAdminConn(conn)
	}
}

// serveAdminConn reads the request of a connection and sends the response. A connection carries only one request.
func (n *Node) serveAdminConn(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(adminTimeout))
	line, err := bufio.NewReader(io.LimitReader(conn, maxAdminRequest)).ReadBytes('\n')
	if err != nil {
		return
	}
	var request AdminRequest
	var response AdminResponse
	if err := json.Unmarshal(line, &request); err != nil {
		response.Error = "malformed request: " + err.Error()
	} else if response.Lines, err = n.executeAdmin(request); err != nil {
		response.Error = err.Error()
	}
	if request.Command.changesTables() {
		n.metrics.logEvent("admin_command", "do", string(request.Command), "version", request.Version, "key", request.Key,
			"lines", strings.Join(response.Lines, "; "), "error", response.Error)
	}
	json.NewEncoder(conn).Encode(response) // if the response is lost, the operator's tool reports it
}

// executeAdmin parses a request and executes it in the router's goroutine.
func (n *Node) executeAdmin(request AdminRequest) ([]string, error) {
	version, versionErr := parseVersionID(request.Version)
	other, otherErr := parseVersionID(request.OtherVersion)
	if err := errors.Join(versionErr, otherErr); err != nil {
		return nil, err
	}
	call := adminCall{AdminRequest: request, version: version, other: other}
	return n.callRouter(func(r *router) ([]string, error) { return r.executeAdmin(call) })
}

// callRouter runs a function in the router's goroutine and waits for its result or the end of the manager. The function
// may still be running when the manager ends, so it passes its result through a channel instead of shared variables.
func (n *Node) callRouter(run func(r *router) ([]string, error)) ([]string, error) {
	type result struct {
		lines []string
		err   error
	}
	results := make(chan result, 1)
	call := routerCall(func(r *router) {
		lines, err := run(r)
		results <- result{lines, err}
	})
	if !enqueue(call, n.router.inputs, n.lifetime.Done()) {
		return nil, errStopped
	}
	select {
	case got := <-results:
		return got.lines, got.err
	case <-n.lifetime.Done():
		return nil, errStopped
	}
}

// parseVersionID parses a version ID of the form EPOCH.NUMBER. An empty text gives the zero ID.
func parseVersionID(text string) (id tables.ID, err error) {
	if text == "" {
		return tables.ID{}, nil
	}
	invalid := fmt.Errorf("invalid version %q: %w", text, errInvalidVersion)
	epoch, number, ok := strings.Cut(text, ".")
	if !ok {
		return tables.ID{}, invalid
	}
	if id.Epoch, err = strconv.ParseUint(epoch, 10, 64); err != nil {
		return tables.ID{}, invalid
	}
	if id.Number, err = strconv.ParseUint(number, 10, 64); err != nil {
		return tables.ID{}, invalid
	}
	return id, nil
}
