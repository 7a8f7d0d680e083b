package node

import (
	"fmt"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/versions"
)

// This file connects the router to the chain of table versions.

// proposeVersion proposes commands to the chain as a new version of the tables, and returns those that may be sent. If
// the chain changed them, the balancer is told the current contents of the tables.
func (r *router) proposeVersion(proposed balancer.Commands) balancer.Commands {
	r.chain.SetLayout(r.manager.Layout())
	result := r.chain.Propose(r.now, proposed, describeCommands(proposed), r.fleet())
	r.logRecords(result.LogRecords)
	if result.Modified {
		r.metrics.add(versionsWithheld, 1)
		r.resetTables()
	}
	if result.Version != nil {
		r.metrics.add(versionsPublished, 1)
		if r.storeWriter != nil {
			r.storeWriter.saveVersion(result.Version)
		}
		if r.feed != nil {
			r.feed.publish(r.chain.View())
		}
	}
	return result.Commands
}

// resetTables tells the balancer the current contents of the tables.
func (r *router) resetTables() {
	current := r.chain.CurrentTables()
	state := r.chain.State()
	withdrawn := func(server balancer.ServerID) bool { return state.IsWithdrawn(string(server)) }
	r.manager.HandleTablesReset(r.now, current.Weights, current.AdmissionLevels, withdrawn)
}

// describeCommands summarizes the changes of a version. The text is stored with the version and shown to operators.
func describeCommands(all balancer.Commands) string {
	return fmt.Sprintf("%d withdrawn, %d lines, %d levels, %d let back in",
		len(all.Withdraw), len(all.Weights), len(all.AdmissionLevels), len(all.Restore))
}

// holdCheckInterval is the time between two checks for an expired hold.
const holdCheckInterval = time.Second

// checkHold ends the hold of the tables if it has expired. It checks at most once per holdCheckInterval.
func (r *router) checkHold() {
	if r.chain == nil || r.now < r.nextHoldCheck {
		return
	}
	r.nextHoldCheck = r.now + holdCheckInterval
	records, ended := r.chain.EndExpiredHold(r.now, r.fleet())
	r.logRecords(records)
	if ended {
		r.applyPin()
	}
}

// applyPin tells the balancer which weights and admission levels the chain holds, or that no hold is in force.
func (r *router) applyPin() {
	r.advanceClock()
	pin, pinned := r.chain.Pinned()
	if !pinned {
		pin = versions.PinnedTables{}
	}
	r.apply(r.manager.HandlePin(r.now, pin.Weights, pin.AdmissionLevels))
}

// fleetView implements versions.FleetView from the balancer's state.
type fleetView struct {
	manager  *balancer.Manager
	restored map[balancer.ServerID]bool // servers that the balancer no longer knows and whose withdrawals are lifted
}

func (r *router) fleet() fleetView {
	if r.subsetFilter == nil {
		return fleetView{manager: r.manager}
	}
	return fleetView{manager: r.manager, restored: r.subsetFilter.restored}
}

// ServerStatus implements versions.FleetView.
func (f fleetView) ServerStatus(id balancer.ServerID) versions.ServerStatus {
	known, usable, warmFraction := f.manager.ServerStatus(id)
	available := usable || !known && f.restored[id]
	return versions.ServerStatus{Known: known, Available: available, LastResort: f.manager.IsLastResort(id), WarmFraction: warmFraction}
}

// RequestRate implements versions.FleetView.
func (f fleetView) RequestRate(id balancer.TableID) float64 { return f.manager.RequestRate(id) }

// ReadyServers implements versions.FleetView.
func (f fleetView) ReadyServers() (all, warm int) { return f.manager.ReadyServers() }
