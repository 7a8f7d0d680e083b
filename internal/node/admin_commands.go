package node

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"tamarindshore/client/tables"
	"tamarindshore/internal/versions"
)

// This file executes the commands of the admin socket in the router's goroutine and formats their results as text.

var errUnknownAdminCommand = errors.New("expected log, show, diff, verify, rollback, hold or resume")

// adminCall is an AdminRequest with its version IDs parsed.
type adminCall struct {
	AdminRequest
	version tables.ID
	other   tables.ID
}

// executeAdmin executes a command and returns the lines to print.
func (r *router) executeAdmin(call adminCall) ([]string, error) {
	switch call.Command {
	case AdminLog:
		return r.versionLog(), nil
	case AdminShow:
		return r.showVersion(call.version)
	case AdminDiff:
		return r.diffVersions(call.version, call.other)
	case AdminVerify:
		return r.chain.Verify()
	case AdminRollback:
		return r.finishAdmin(r.chain.RollBack(r.now, call.version, call.Key, call.Duration, r.fleet()))
	case AdminHold:
		return r.finishAdmin(r.chain.Hold(r.now, call.Key, call.Duration))
	case AdminResume:
		return r.finishAdmin(r.chain.Resume(r.now, call.Key))
	}
	return nil, fmt.Errorf("unknown command %q: %w", call.Command, errUnknownAdminCommand)
}

// versionLog returns a line for the hold in force, if there is one, and a line for each version, newest first. Versions
// that the proxies may be using are marked if there are several.
func (r *router) versionLog() (lines []string) {
	if hold, inForce := r.chain.CurrentHold(r.fleet()); inForce {
		lines = append(lines, fmt.Sprintf("held by key %q until %s, %.2f of its weight is on available servers",
			hold.Key, hold.Until.Format(time.RFC3339), hold.RemainingFraction))
	}
	bases := r.chain.PossibleBases()
	for _, version := range slices.Backward(r.chain.Versions()) {
		suffix := ""
		if len(bases) > 1 && slices.Contains(bases, version.ID) {
			suffix = " (may be in use)"
		}
		created := version.CreatedAt.Format(time.RFC3339Nano)
		lines = append(lines, fmt.Sprintf("%v %v %s %s%s%s",
			version.ID, version.Digest, created, version.Cause, keySuffix(version.CommandKey), suffix))
	}
	return lines
}

func (r *router) showVersion(id tables.ID) ([]string, error) {
	version, err := r.chain.FindVersion(id)
	if err != nil {
		return nil, err
	}
	return formatState(version.State), nil
}

func (r *router) diffVersions(id, other tables.ID) (lines []string, err error) {
	from, err := r.chain.FindVersion(id)
	if err != nil {
		return nil, err
	}
	to, err := r.chain.FindVersion(other)
	if err != nil {
		return nil, err
	}
	for _, op := range tables.Diff(from.State, to.State) {
		lines = append(lines, formatOp(op))
	}
	return lines, nil
}

// finishAdmin applies and saves a command that the chain has carried out, and returns the lines to print. If the command
// was completed under the same key before, it has no further effect.
func (r *router) finishAdmin(completed versions.CompletedCommand, executed bool, err error) ([]string, error) {
	if err != nil {
		return nil, err
	}
	if !executed {
		return []string{fmt.Sprintf("already completed at %s: %s", completed.CompletedAt.Format(time.RFC3339), completed.Command)}, nil
	}
	r.applyPin()
	if r.storeWriter != nil {
		r.storeWriter.saveCompleted(completed)
	}
	return []string{fmt.Sprintf("%s: completed under key %q, the newest version was %v",
		completed.Command, completed.Key, completed.Head)}, nil
}

// keySuffix returns the end of a line that names the key of the command that made a version. It is empty if no command did.
func keySuffix(key string) string {
	if key == "" {
		return ""
	}
	return fmt.Sprintf(" by %q", key)
}

// formatState returns the lines for a state: each table's weights and admission levels, then the withdrawn servers.
func formatState(state *tables.State) (lines []string) {
	ops := tables.Diff(tables.EmptyState(), state)
	for _, id := range state.TableIDs() {
		for _, op := range ops {
			if op.Table == id && (op.Kind == tables.SetWeight || op.Kind == tables.SetAdmissionLevel) {
				lines = append(lines, formatOp(op))
			}
		}
	}
	for _, server := range state.WithdrawnServers() {
		lines = append(lines, "withdrawn "+server)
	}
	return lines
}

// formatOp returns the line for a change of a state.
func formatOp(op tables.Op) string {
	switch op.Kind {
	case tables.SetWeight:
		return fmt.Sprintf("table %d %s %g", op.Table, op.Server, op.Weight)
	case tables.SetAdmissionLevel:
		return fmt.Sprintf("table %d classes %b admission %g retry %d", op.Table, op.Classes, op.AdmissionLevel.Amount, op.AdmissionLevel.Retry)
	case tables.Withdraw:
		return "withdraw " + op.Server
	case tables.Restore:
		return "restore " + op.Server
	}
	return fmt.Sprintf("table %d cleared", op.Table)
}
