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

// This file answers operators' commands on a Unix socket, which the operator's settings name; without them there is
// none. A line of JSON becomes one call in the router's goroutine, and its result a line of JSON. It must never decide
// what becomes of a command, nor answer anyone but who may open the socket.

// AdminCommand says what an AdminRequest asks for.
type AdminCommand string

// The commands of the admin socket.
const (
	AdminLog      AdminCommand = "log"      // list the versions of the tables, newest first
	AdminShow     AdminCommand = "show"     // print a version
	AdminDiff     AdminCommand = "diff"     // print the changes from a version to another one
	AdminVerify   AdminCommand = "verify"   // check the chain of versions
	AdminRollback AdminCommand = "rollback" // go back to a version and hold the tables there
	AdminHold     AdminCommand = "hold"     // hold the tables as they are
	AdminResume   AdminCommand = "resume"   // end a rollback or a hold
)

// changesTables tells whether a command may change the tables; such commands are logged.
func (c AdminCommand) changesTables() bool {
	return c == AdminRollback || c == AdminHold || c == AdminResume
}

// AdminRequest is one command of an operator, as it is encoded on the admin socket.
type AdminRequest struct {
	Command      AdminCommand  `json:"do"`
	Version      string        `json:"version,omitempty"` // EPOCH.NUMBER
	OtherVersion string        `json:"other,omitempty"`   // of AdminDiff
	Key          string        `json:"key,omitempty"`     // idempotency key: a command takes effect once under it
	Duration     time.Duration `json:"for_ns,omitempty"`  // of AdminRollback and AdminHold; 0: the default
}

// AdminResponse is the result of an AdminRequest, as it is encoded on the admin socket.
type AdminResponse struct {
	Lines []string `json:"lines,omitempty"`
	Error string   `json:"error,omitempty"` // empty: the command succeeded
}

const (
	maxAdminRequest = 4 << 10 // bytes
	adminTimeout    = 5 * time.Second
)

var (
	errAddressInUse   = errors.New("another process listens there")
	errInvalidVersion = errors.New("EPOCH.NUMBER is due")
)

// startAdmin serves the admin socket until the manager ends. The socket file of a manager that has ended is replaced.
func (n *Node) startAdmin(path string) error {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return fmt.Errorf("%s: %w", path, errAddressInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path) // where this fails, listening does too and says why
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

// serveAdmin serves one connection after another until the listener is closed: commands take effect in order.
func (n *Node) serveAdmin(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.serveAdminConn(conn)
	}
}

// serveAdminConn answers the one request of a connection.
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
		response.Error = "unreadable: " + err.Error()
	} else if response.Lines, err = n.executeAdmin(request); err != nil {
		response.Error = err.Error()
	}
	if request.Command.changesTables() {
		n.metrics.logEvent("admin_command", "do", string(request.Command), "version", request.Version, "key", request.Key,
			"lines", strings.Join(response.Lines, "; "), "error", response.Error)
	}
	json.NewEncoder(conn).Encode(response) // the operator's tool reports an answer that is lost
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

// callRouter runs a function in the router's goroutine and waits for its result, or for the manager's end. The result is
// handed over by a channel: the function may still be running when the manager ends.
func (n *Node) callRouter(do func(r *router) ([]string, error)) ([]string, error) {
	type result struct {
		lines []string
		err   error
	}
	results := make(chan result, 1)
	call := routerCall(func(r *router) {
		lines, err := do(r)
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

// parseVersionID reads EPOCH.NUMBER; an empty text is the zero ID.
func parseVersionID(text string) (id tables.ID, err error) {
	if text == "" {
		return tables.ID{}, nil
	}
	invalid := fmt.Errorf("%q is no version: %w", text, errInvalidVersion)
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
