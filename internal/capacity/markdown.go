package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// WriteTables writes all tables of the page as Markdown. It returns the checks that exceed their budget in the scope
// that decides the verdict of the plan.
func (m *Model) WriteTables(w io.Writer) (exceeded []Check) {
	checks := m.Checks()
	m.writeDerivedFigures(w)
	m.writeLateTableRequests(w)
	for _, role := range Roles {
		m.writeRole(w, role)
	}
	m.writeProxyCounts(w)
	m.writeReadIntervals(w)
	writeChecks(w, checks)
	m.writeLimits(w)
	writeRanking(w, checks)
	writeExceededDespiteMechanism(w, checks)
	m.writeSources(w)
	m.writePlanSizeCases(w)
	m.writeProcesses(w)
	m.writePropagation(w)
	m.writeFleets(w)
	exceeded = ExceededBudgets(checks, m.Plan.VerdictScope)
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
	name   string
	value  float64
	source string
}

func (m *Model) writeDerivedFigures(w io.Writer) {
	writeHeading(w, "What follows from the plan")
	writeHeader(w, "what", "figure", "from")
	for _, f := range append(m.Plan.fleetFigures(), m.Plan.managerFigures()...) {
		writeRow(w, f.name, formatNumber(f.value), f.source)
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
	const reportsPrefix = "collectors' lines on servers a second at a manager, "
	const evenSpread = "plan, requests spread evenly over what it holds"
	return []derivedFigure{
		{"servers that a manager holds, whole list", complete.held, "plan"},
		{"servers that a manager holds, subset", subset.held, "plan, size of the subset"},
		{"servers that a manager holds, subset, while its region is cut off", cutOff.held, "plan: it doubles while too few can be reached"},
		{"managers that hold a server, subset", p.managersPerServer(subset), "plan, size of the subset"},
		{reportsPrefix + string(WholeList), p.loadReportRate(complete), evenSpread},
		{reportsPrefix + string(Subset), p.loadReportRate(subset), evenSpread},
		{"collectors' lines on proxies a second at a manager", p.usageReportRate(), "plan, requests spread evenly"},
	}
}

// tailFraction is the fraction of requests above the 99th percentile.
const tailFraction = 0.01

// writeLateTableRequests shows the fraction of requests that tables may send to failed servers until a change is in
// force.
func (m *Model) writeLateTableRequests(w io.Writer) {
	p := m.Plan
	writeHeading(w, "Requests that a late table can touch")
	writeHeader(w, "event", "servers", "requests until a change is in force", "part of all requests meanwhile", "against 1 in 100")
	for _, event := range []struct {
		name    string
		servers float64
	}{
		{"one server fails", 1},
		{"the busiest second's entries, were all of them failures", p.busiestSecond()},
		{"a zone is lost", float64(p.Fleet.Servers) / float64(p.Fleet.Zones)},
	} {
		fraction := event.servers / float64(p.Fleet.Servers)
		requests := fraction * p.Fleet.RequestsPerSecond * p.Budgets.MaxPropagation.Seconds()
		writeRow(w, event.name, formatNumber(event.servers), formatNumber(requests), formatPercent(fraction), formatNumber(fraction/tailFraction))
	}
}

func (m *Model) writeRole(w io.Writer, role Role) {
	writeHeading(w, "Load of one "+string(role))
	writeHeader(w, "situation", "scope", "state", "messages in / out", "bytes in / out", "core", "memory", "connections", "worst ratio")
	for _, r := range mergeRows(m.loadRows(role)) {
		writeRow(w, append([]string{strings.Join(r.situations, "; "), scopeNames(r.scopes)}, r.cells...)...)
	}
}

// loadRow holds the cells of one load with all situations and scopes that share them.
type loadRow struct {
	situations []string
	scopes     []Scope
	cells      []string
}

// loadRows returns the rows of all situations. Scopes with the same cells share a row.
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

// mergeRows merges the rows of situations that have the same scopes and cells.
func mergeRows(rows []loadRow) []loadRow {
	var merged []loadRow
	for _, r := range rows {
		i := slices.IndexFunc(merged, func(row loadRow) bool {
			return slices.Equal(row.scopes, r.scopes) && slices.Equal(row.cells, r.cells)
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
		m.worstRatio(role, l),
	}
}

// worstRatio returns the largest ratio of a load to a budget of its role, with the name of the resource.
func (m *Model) worstRatio(role Role, l Load) string {
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

// writeProxyCounts shows the ratios of a quiet second at a third, one and three times the planned number of proxies,
// which is the most influential assumption.
func (m *Model) writeProxyCounts(w io.Writer) {
	writeHeading(w, "A manager in a quiet second, by the proxies that it steers")
	resources := []Resource{CoreStrict, CoreWithoutCollectors, Memory, BytesStrict, BytesWithoutCollectors}
	cells := []string{"proxies", "scope"}
	for _, r := range resources {
		cells = append(cells, "ratio: "+string(r))
	}
	writeHeader(w, cells...)
	planned := m.Plan.Managers.Proxies
	for _, proxies := range []int{planned / 3, planned, 3 * planned} {
		variant := *m
		variant.Plan.Managers.Proxies = max(1, proxies)
		quiet := variant.Plan.situations()[0]
		for _, scope := range []Scope{WholeList, Subset} {
			cells := []string{formatNumber(float64(proxies)), string(scope)}
			for _, r := range resources {
				cells = append(cells, variant.check(Manager, r, quiet).formatRatio(scope))
			}
			writeRow(w, cells...)
		}
	}
}
