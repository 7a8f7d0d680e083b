package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// WriteTables writes all tables of the page as Markdown. It returns the checks that exceed their budget in the scope that
// the plan judges.
func (m *Model) WriteTables(w io.Writer) (exceeded []Check) {
	checks := m.Checks()
	m.writeAssumptions(w)
	m.writeTail(w)
	for _, role := range Roles {
		m.writeRole(w, role)
	}
	m.writeProxies(w)
	m.writeReadIntervals(w)
	writeChecks(w, checks)
	m.writeLimits(w)
	writeRanking(w, checks)
	writePartly(w, checks)
	m.writeSources(w)
	m.writePlanSize(w)
	m.writeProcesses(w)
	m.writePropagation(w)
	m.writeFleets(w)
	exceeded = ExceededBudgets(checks, m.Plan.Judged)
	m.writeVerdict(w, exceeded)
	return exceeded
}

func writeHeading(w io.Writer, title string) { fmt.Fprintf(w, "\n### %s\n\n", title) }

func writeRow(w io.Writer, cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }

func writeHeader(w io.Writer, cells ...string) {
	writeRow(w, cells...)
	writeRow(w, slices.Repeat([]string{"---"}, len(cells))...)
}

// derivedFigure is a figure that follows from the plan alone.
type derivedFigure struct {
	what  string
	value float64
	from  string
}

func (m *Model) writeAssumptions(w io.Writer) {
	writeHeading(w, "What follows from the plan")
	writeHeader(w, "what", "figure", "from")
	for _, f := range append(m.Plan.fleetFigures(), m.Plan.managerFigures()...) {
		writeRow(w, f.what, formatNumber(f.value), f.from)
	}
}

func (p Plan) fleetFigures() []derivedFigure {
	managers := float64(p.Fleet.Managers)
	servers := float64(p.Fleet.Servers)
	zones := float64(p.Fleet.Zones)
	return []derivedFigure{
		{"managers in a zone", managers / zones, "plan"},
		{"servers in a zone", servers / zones, "plan"},
		{"servers of a service", servers / float64(p.Fleet.Services), "plan"},
		{"requests a second at a manager's proxies", p.requestsPerManager(), "plan"},
		{"requests a second at a server", p.Fleet.RequestsPerSecond / servers, "plan"},
		{"proxies in all", managers * float64(p.Managers.Proxies), "plan, assumed proxies of a manager"},
		{"changed entries of the list a day", p.entriesPerDay(), "plan, assumed entries of a failure, restart and change"},
		{"changed entries in the busiest second", p.busiestSecond(), "plan, batches at random within the busiest hour"},
	}
}

func (p Plan) managerFigures() []derivedFigure {
	complete := p.normalServerCounts(WholeList)
	subset := p.normalServerCounts(Subset)
	cutOff := p.serverCounts(p.regionCut(), Subset)
	const reportsOf = "collectors' lines on servers a second at a manager, "
	const spreadOverHeld = "plan, requests spread evenly over what it holds"
	return []derivedFigure{
		{"servers that a manager holds, whole list", complete.held, "plan"},
		{"servers that a manager holds, subset", subset.held, "plan, size of the subset"},
		{"servers that a manager holds, subset, while its region is cut off", cutOff.held, "plan: it doubles while too few can be reached"},
		{"managers that hold a server, subset", p.holders(subset), "plan, size of the subset"},
		{reportsOf + string(WholeList), p.loadReports(complete), spreadOverHeld},
		{reportsOf + string(Subset), p.loadReports(subset), spreadOverHeld},
		{"collectors' lines on proxies a second at a manager", p.usageReports(), "plan, requests spread evenly"},
	}
}

// tailPart is the part of requests that a tail of 99 in 100 leaves out.
const tailPart = 0.01

// writeTail shows which part of all requests a table can send to a server that is gone, until a change is in force.
func (m *Model) writeTail(w io.Writer) {
	p := m.Plan
	writeHeading(w, "Requests that a late table can touch")
	writeHeader(w, "event", "servers", "requests until a change is in force", "part of all requests meanwhile", "against 1 in 100")
	for _, e := range []struct {
		name    string
		servers float64
	}{
		{"one server fails", 1},
		{"the busiest second's entries, were all of them failures", p.busiestSecond()},
		{"a zone is lost", float64(p.Fleet.Servers) / float64(p.Fleet.Zones)},
	} {
		part := e.servers / float64(p.Fleet.Servers)
		requests := part * p.Fleet.RequestsPerSecond * p.Budgets.MaxPropagation.Seconds()
		writeRow(w, e.name, formatNumber(e.servers), formatNumber(requests), formatPercent(part), formatNumber(part/tailPart))
	}
}

func (m *Model) writeRole(w io.Writer, role Role) {
	writeHeading(w, "Load of one "+string(role))
	writeHeader(w, "situation", "scope", "state", "messages in / out", "bytes in / out", "core", "memory", "connections", "worst ratio")
	for _, r := range mergeRows(m.loadRows(role)) {
		writeRow(w, append([]string{strings.Join(r.situations, "; "), scopeNames(r.scopes)}, r.cells...)...)
	}
}

// loadRow is the cells of one load, and all situations and scopes that share them.
type loadRow struct {
	situations []string
	scopes     []Scope
	cells      []string
}

// loadRows joins the scopes of a situation that have the same cells.
func (m *Model) loadRows(role Role) []loadRow {
	var rows []loadRow
	for _, s := range m.Plan.situations() {
		first := len(rows)
		for _, scope := range Scopes {
			cells := m.loadCells(role, s, scope)
			i := slices.IndexFunc(rows[first:], func(r loadRow) bool { return slices.Equal(r.cells, cells) })
			if i < 0 {
				rows = append(rows, loadRow{[]string{s.Name}, []Scope{scope}, cells})
				continue
			}
			rows[first+i].scopes = append(rows[first+i].scopes, scope)
		}
	}
	return rows
}

// mergeRows joins the situations that have the same scopes and cells.
func mergeRows(rows []loadRow) []loadRow {
	var merged []loadRow
	for _, r := range rows {
		i := slices.IndexFunc(merged, func(old loadRow) bool {
			return slices.Equal(old.scopes, r.scopes) && slices.Equal(old.cells, r.cells)
		})
		if i < 0 {
			merged = append(merged, r)
			continue
		}
		merged[i].situations = append(merged[i].situations, r.situations...)
	}
	return merged
}

func scopeNames(scopes []Scope) string {
	if len(scopes) == len(Scopes) {
		return "all"
	}
	var names []string
	for _, s := range scopes {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}

func (m *Model) loadCells(role Role, s Situation, scope Scope) []string {
	l := m.Load(role, s, scope)
	return []string{
		l.State,
		formatFigure(l.MessagesIn, formatNumber) + " / " + formatFigure(l.MessagesOut, formatNumber),
		formatFigure(l.BytesIn, formatBytes) + " / " + formatFigure(l.BytesOut, formatBytes),
		formatFigure(l.Core, formatPercent),
		formatFigure(l.Memory, formatBytes),
		formatFigure(l.Connections, formatNumber),
		m.worst(role, l),
	}
}

// worst is the largest ratio of a load to a budget of its role, and which.
func (m *Model) worst(role Role, l Load) string {
	if role != Manager && role != ControlMachine {
		return "no budget"
	}
	worst := 0.0
	var worstResource Resource
	for _, resource := range []Resource{CoreStrict, Memory, BytesStrict} {
		ratio := m.spending(l, resource).Value / m.budget(role, resource)
		if ratio >= worst {
			worst = ratio
			worstResource = resource
		}
	}
	return fmt.Sprintf("%s (%s)", formatNumber(worst), worstResource)
}

// writeProxies shows the most influential assumption at a third and at three times its value.
func (m *Model) writeProxies(w io.Writer) {
	writeHeading(w, "A manager in a quiet second, by the proxies that it steers")
	resources := []Resource{CoreStrict, CoreWithoutCollectors, Memory, BytesStrict, BytesWithoutCollectors}
	cells := []string{"proxies", "scope"}
	for _, r := range resources {
		cells = append(cells, "ratio: "+string(r))
	}
	writeHeader(w, cells...)
	usual := m.Plan.Managers.Proxies
	for _, proxies := range []int{usual / 3, usual, 3 * usual} {
		other := *m
		other.Plan.Managers.Proxies = max(1, proxies)
		quiet := other.Plan.situations()[0]
		for _, scope := range []Scope{WholeList, Subset} {
			cells := []string{formatNumber(float64(proxies)), string(scope)}
			for _, r := range resources {
				cells = append(cells, other.check(Manager, r, quiet).ratio(scope))
			}
			writeRow(w, cells...)
		}
	}
}
