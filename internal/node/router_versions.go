package node

import (
	"fmt"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/versions"
)

// This file joins the router to the chain of table versions.

// version asks the chain what of some orders may go out. Where that is not all, the module hears what stands.
func (r *router) proposeVersion(o balancer.Commands) balancer.Commands {
	r.chain.SetLayout(r.manager.Layout())
	res := r.chain.Propose(r.now, o, describeCommands(o), r.fleet())
	for _, n := range res.Notes {
		r.metrics.logEvent("version", "note", n)
	}
	if res.Modified {
		r.metrics.add(versionsWithheld, 1)
		pin, state := r.chain.CurrentTables(), r.chain.State()
		r.manager.HandleTablesReset(r.now, pin.Weights, pin.AdmissionLevels, func(s balancer.ServerID) bool { return state.IsWithdrawn(string(s)) })
	}
	if res.Version != nil {
		r.metrics.add(versionsPublished, 1)
		if r.storeWriter != nil {
			r.storeWriter.saveVersion(res.Version)
		}
		if r.feed != nil {
			r.feed.publish(r.chain.View())
		}
	}
	return res.Commands
}

// describeCommands says in a few words what a version changes.
func describeCommands(o balancer.Commands) string {
	return fmt.Sprintf("%d withdrawn, %d lines, %d levels, %d let back in", len(o.Withdraw), len(o.Weights), len(o.AdmissionLevels), len(o.Restore))
}

// checkHold lets a hold end that is over.
func (r *router) checkHold() {
	if r.chain == nil || r.now < r.nextHoldCheck {
		return
	}
	r.nextHoldCheck = r.now + time.Second
	ended, notes := r.chain.ExpireHold(r.now, r.fleet())
	for _, n := range notes {
		r.metrics.logEvent("version", "note", n)
	}
	if ended {
		r.applyPin()
	}
}

// applyPin hands the module what the chain holds the tables at, or that it lets them go.
func (r *router) applyPin() {
	r.advanceClock()
	pin, held := r.chain.Pinned()
	if !held {
		pin = versions.PinnedTables{}
	}
	r.apply(r.manager.HandlePin(r.now, pin.Weights, pin.AdmissionLevels))
}

// sight is the module's view of the fleet, as the chain asks for it.
type fleetView struct {
	manager  *balancer.Manager
	restored map[balancer.ServerID]bool // servers that the module has forgotten, whose withdrawals are lifted
}

func (r *router) fleet() fleetView {
	if r.subsetFilter == nil {
		return fleetView{manager: r.manager}
	}
	return fleetView{manager: r.manager, restored: r.subsetFilter.restored}
}

func (s fleetView) ServerStatus(id balancer.ServerID) versions.ServerStatus {
	known, open, climbed := s.manager.ServerStatus(id)
	return versions.ServerStatus{Known: known, Available: open || !known && s.restored[id], WarmFraction: climbed}
}
func (s fleetView) RequestRate(id balancer.TableID) float64 { return s.manager.RequestRate(id) }
func (s fleetView) ReadyServers() (all, warm int)           { return s.manager.ReadyServers() }
