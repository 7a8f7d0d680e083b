package node

// Admin answers staff's commands on a socket in the file system, off unless the operator's settings name it. It turns
// a line of JSON into one call by the module's owner and its result into a line; it must never decide what becomes of
// a command, nor answer anyone but who may open the socket.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"tamarindshore/client/tables"
	"tamarindshore/internal/versions"
)

// AdminRequest is one command of staff.
type AdminRequest struct {
	Command      string        `json:"do"` // log, show, diff, verify, rollback, hold or resume
	Version      string        `json:"version,omitempty"`
	OtherVersion string        `json:"other,omitempty"`
	Key          string        `json:"key,omitempty"`
	Duration     time.Duration `json:"for_ns,omitempty"`
}

// AdminResponse is what came of it.
type AdminResponse struct {
	Lines []string `json:"lines,omitempty"`
	Error string   `json:"error,omitempty"`
}

const maxAdminRequest = 4 << 10

// startAdmin listens at a socket until the manager ends. One that is left of a manager that ended is removed.
func (n *Node) startAdmin(path string) error {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return fmt.Errorf("%s: another process listens there", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	at, err := net.Listen("unix", path)
	if err != nil {
		return err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		at.Close()
		return err
	}
	n.operatorListeners = append(n.operatorListeners, at)
	go func() {
		for {
			c, err := at.Accept()
			if err != nil {
				return
			}
			n.serveAdminConn(c) // one at a time: commands take effect one after another
		}
	}()
	return nil
}

func (n *Node) serveAdminConn(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	line, err := bufio.NewReader(io.LimitReader(c, maxAdminRequest)).ReadBytes('\n')
	if err != nil {
		return
	}
	var a AdminRequest
	var told AdminResponse
	if err := json.Unmarshal(line, &a); err != nil {
		told.Error = "unreadable: " + err.Error()
	} else if told.Lines, err = n.executeAdmin(a); err != nil {
		told.Error = err.Error()
	}
	if a.Command == "rollback" || a.Command == "hold" || a.Command == "resume" {
		n.metrics.logEvent("command", "do", a.Command, "version", a.Version, "key", a.Key, "lines", strings.Join(told.Lines, "; "), "error", told.Error)
	}
	json.NewEncoder(c).Encode(told)
}

// callRouter runs something as the module's owner and waits for it. What came of it is handed over, not shared: guards
// against a command that is still at work when the end no longer waits for it.
func (n *Node) callRouter(do func(r *router) ([]string, error)) (lines []string, err error) {
	done := make(chan struct{})
	var told []string
	var failed error
	if !enqueue(routerCall(func(r *router) { told, failed = do(r); close(done) }), n.router.inputs, n.lifetime.Done()) {
		return nil, errStopped
	}
	select {
	case <-done:
		return told, failed
	case <-n.lifetime.Done():
		return nil, errStopped
	}
}

func (n *Node) executeAdmin(a AdminRequest) ([]string, error) {
	id, err := parseVersionID(a.Version)
	other, bad := parseVersionID(a.OtherVersion)
	if err = errors.Join(err, bad); err != nil {
		return nil, err
	}
	return n.callRouter(func(r *router) ([]string, error) { return r.executeAdmin(a, id, other) })
}

// parseVersionID reads EPOCH.NUMBER; empty is none.
func parseVersionID(text string) (id tables.ID, err error) {
	if text == "" {
		return id, nil
	}
	epoch, number, ok := strings.Cut(text, ".")
	if id.Epoch, err = strconv.ParseUint(epoch, 10, 64); err == nil && ok {
		if id.Number, err = strconv.ParseUint(number, 10, 64); err == nil {
			return id, nil
		}
	}
	return id, fmt.Errorf("%q is no version: EPOCH.NUMBER is due", text)
}

func (r *router) executeAdmin(a AdminRequest, id, other tables.ID) (lines []string, err error) {
	c, see := r.chain, r.fleet()
	did := func(d versions.CompletedCommand, fresh bool, err error) ([]string, error) {
		if err != nil {
			return nil, err
		}
		if !fresh {
			return []string{fmt.Sprintf("done before, at %s: %s", d.CompletedAt.Format(time.RFC3339), d.Command)}, nil
		}
		r.applyPin()
		r.recordCompleted(d)
		return []string{fmt.Sprintf("%s: done under key %q, from version %v on", d.Command, d.Key, d.Head)}, nil
	}
	switch a.Command {
	case "log":
		if h, held := c.CurrentHold(see); held {
			lines = append(lines, fmt.Sprintf("held by key %q until %s, %.2f of its weight is left", h.Key, h.Until.Format(time.RFC3339), h.RemainingFraction))
		}
		bases := c.PossibleBases()
		for _, v := range slices.Backward(c.Versions()) {
			may := ""
			if len(bases) > 1 && slices.Contains(bases, v.ID) {
				may = " may stand"
			}
			lines = append(lines, fmt.Sprintf("%v %v %s %s%s%s", v.ID, v.Digest, v.CreatedAt.Format(time.RFC3339Nano), v.Cause, keySuffix(v.CommandKey), may))
		}
	case "show":
		v, err := c.FindVersion(id)
		if err != nil {
			return nil, err
		}
		lines = formatState(v.State)
	case "diff":
		v, err := c.FindVersion(id)
		if err != nil {
			return nil, err
		}
		w, err := c.FindVersion(other)
		if err != nil {
			return nil, err
		}
		for _, o := range tables.Diff(v.State, w.State) {
			lines = append(lines, formatOp(o))
		}
	case "verify":
		return c.Verify()
	case "rollback":
		return did(c.RollBack(r.now, id, a.Key, a.Duration, see))
	case "hold":
		return did(c.Hold(r.now, a.Key, a.Duration, see))
	case "resume":
		return did(c.Resume(r.now, a.Key))
	default:
		return nil, fmt.Errorf("%q is no command", a.Command)
	}
	return lines, nil
}

func keySuffix(key string) string {
	if key == "" {
		return ""
	}
	return fmt.Sprintf(" by %q", key)
}

// formatState is a state for people.
func formatState(s *tables.State) (lines []string) {
	for _, id := range s.TableIDs() {
		for _, o := range tables.Diff(tables.EmptyState(), s) {
			if o.Table == id && (o.Kind == tables.SetWeight || o.Kind == tables.SetAdmissionLevel) {
				lines = append(lines, formatOp(o))
			}
		}
	}
	for _, w := range s.WithdrawnServers() {
		lines = append(lines, "withdrawn "+w)
	}
	return lines
}

func formatOp(o tables.Op) string {
	switch o.Kind {
	case tables.SetWeight:
		return fmt.Sprintf("table %d %s %g", o.Table, o.Server, o.Weight)
	case tables.SetAdmissionLevel:
		return fmt.Sprintf("table %d groups %b let in %g tries %d", o.Table, o.Classes, o.AdmissionLevel.Amount, o.AdmissionLevel.Retry)
	case tables.Withdraw:
		return "withdraw " + o.Server
	case tables.Restore:
		return "let back in " + o.Server
	}
	return fmt.Sprintf("table %d empty", o.Table)
}

// done keeps a command that was carried out.
func (r *router) recordCompleted(d versions.CompletedCommand) {
	if r.storeWriter != nil {
		r.storeWriter.saveCompleted(d)
	}
}
