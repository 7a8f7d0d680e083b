package capacity

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// WriteTables writes all tables of the page as Markdown, and tells which budgets are passed in the scope that is judged.
func (m *Model) WriteTables(w io.Writer) (passed []Check) {
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
	passed = ExceededBudgets(checks, m.Plan.Judged)
	m.writeVerdict(w, passed)
	return passed
}

func writeHeading(w io.Writer, title string) { fmt.Fprintf(w, "\n### %s\n\n", title) }

func writeRow(w io.Writer, cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }

func writeHeader(w io.Writer, cells ...string) {
	writeRow(w, cells...)
	writeRow(w, slices.Repeat([]string{"---"}, len(cells))...)
}

func (m *Model) writeAssumptions(w io.Writer) {
	p := m.Plan
	writeHeading(w, "What follows from the plan")
	writeHeader(w, "what", "figure", "from")
	writeRow(w, "managers in a zone", formatNumber(float64(p.Fleet.Managers)/float64(p.Fleet.Zones)), "plan")
	writeRow(w, "servers in a zone", formatNumber(float64(p.Fleet.Servers)/float64(p.Fleet.Zones)), "plan")
	writeRow(w, "servers of a service", formatNumber(float64(p.Fleet.Servers)/float64(p.Fleet.Services)), "plan")
	writeRow(w, "requests a second at a manager's proxies", formatNumber(p.requestsPerManager()), "plan")
	writeRow(w, "requests a second at a server", formatNumber(p.Fleet.RequestsPerSecond/float64(p.Fleet.Servers)), "plan")
	writeRow(w, "proxies in all", formatNumber(float64(p.Fleet.Managers)*float64(p.Managers.Proxies)), "plan, assumed proxies of a manager")
	writeRow(w, "changed entries of the list a day", formatNumber(p.entriesPerDay()), "plan, assumed entries of a failure, restart and change")
	writeRow(w, "changed entries in the busiest second", formatNumber(p.busiestSecond()), "plan, batches at random within the busiest hour")
	writeRow(w, "servers that a manager holds, whole list", formatNumber(p.normalServerCounts(WholeList).held), "plan")
	writeRow(w, "servers that a manager holds, subset", formatNumber(p.normalServerCounts(Subset).held), "plan, size of the subset")
	writeRow(w, "servers that a manager holds, subset, while its region is cut off", formatNumber(p.serverCounts(p.regionCut(), Subset).held), "plan: it doubles while too few can be reached")
	writeRow(w, "managers that hold a server, subset", formatNumber(p.holders(p.normalServerCounts(Subset))), "plan, size of the subset")
	for _, scope := range []Scope{WholeList, Subset} {
		writeRow(w, "collectors' lines on servers a second at a manager, "+string(scope), formatNumber(p.loadReports(p.normalServerCounts(scope))), "plan, requests spread evenly over what it holds")
	}
	writeRow(w, "collectors' lines on proxies a second at a manager", formatNumber(p.usageReports()), "plan, requests spread evenly")
}

// tailPart is the part of requests that a tail of 99 in 100 leaves out.
const tailPart = 0.01

// writeTail shows what part of all requests a table can send to a server that is gone, until a change is in force.
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
	return []string{l.State, formatFigure(l.MessagesIn, formatNumber) + " / " + formatFigure(l.MessagesOut, formatNumber),
		formatFigure(l.BytesIn, formatBytes) + " / " + formatFigure(l.BytesOut, formatBytes), formatFigure(l.Core, formatPercent), formatFigure(l.Memory, formatBytes),
		formatFigure(l.Connections, formatNumber), m.worst(role, l)}
}

// worst is the largest ratio of a load to a budget of its role, and which.
func (m *Model) worst(role Role, l Load) string {
	if role != Manager && role != ControlMachine {
		return "no budget"
	}
	most, name := 0.0, ""
	for _, resource := range []Resource{CoreStrict, Memory, BytesStrict} {
		if f := m.spending(l, resource); f.Value/m.budget(role, resource) >= most {
			most, name = f.Value/m.budget(role, resource), string(resource)
		}
	}
	return formatNumber(most) + " (" + name + ")"
}

// writeProxies shows the assumption that weighs most at a third and at three times.
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
				cells = append(cells, formatFigure(other.check(Manager, r, quiet).Ratio[scope], formatNumber))
			}
			writeRow(w, cells...)
		}
	}
}

func writeChecks(w io.Writer, checks []Check) {
	writeHeading(w, "Against the budgets, as ratios")
	writeHeader(w, "situation", "role", "budget", "whole list", "subset", "subset at a watch cache", "carried by", "status")
	for _, c := range checks {
		writeRow(w, c.Situation, string(c.Role), string(c.Resource), formatFigure(c.Ratio[WholeList], formatNumber), formatFigure(c.Ratio[Subset], formatNumber),
			formatFigure(c.Ratio[CachedSubset], formatNumber), c.Mechanism.Name, string(c.Mechanism.Status))
	}
	writeHeading(w, "The mechanisms, and where they stand")
	writeHeader(w, "mechanism", "status", "where")
	var told []string
	for _, c := range checks {
		if key := c.Mechanism.Name + string(c.Mechanism.Status); !slices.Contains(told, key) {
			told = append(told, key)
			writeRow(w, c.Mechanism.Name, string(c.Mechanism.Status), c.Mechanism.Where)
		}
	}
}

func (m *Model) writeLimits(w io.Writer) {
	writeHeading(w, "Fixed limits of today's code")
	writeHeader(w, "limit", "bound", "whole list", "subset", "subset at a watch cache", "what happens past it", "where")
	for _, l := range m.Limits() {
		cells := []string{l.What, formatNumber(l.Bound)}
		for _, scope := range Scopes {
			cell := formatFigure(l.Wanted[scope], formatNumber)
			if l.Exceeded(scope) {
				cell += ", **passed**"
			}
			cells = append(cells, cell)
		}
		writeRow(w, append(cells, l.Effect, l.Where)...)
	}
}

// rankedRows is how many rows the ranking shows at most.
const rankedRows = 20

func writeRanking(w io.Writer, checks []Check) {
	writeHeading(w, "The rows whose mechanism is missing, the worst first")
	writeHeader(w, "rank", "ratio, whole list", "ratio, with its mechanism", "situation", "role", "budget", "missing mechanism")
	for i, c := range Ranking(checks) {
		if i == rankedRows {
			break
		}
		writeRow(w, strconv.Itoa(i+1), formatFigure(c.Ratio[WholeList], formatNumber), formatFigure(c.Ratio[scopeMadeBy(c.Mechanism)], formatNumber),
			c.Situation, string(c.Role), string(c.Resource), c.Mechanism.Name)
	}
	fmt.Fprintln(w)
	for i, s := range MechanismRanks(checks) {
		fmt.Fprintf(w, "%d. **%s**: its worst row is %s of the budget (%s, %s, %s). It has %d rows over budget and brings %d of them under.\n",
			i+1, s.Mechanism.Name, formatFigure(s.Worst.Ratio[WholeList], formatNumber), s.Worst.Situation, s.Worst.Role, s.Worst.Resource, s.ExceededRows, s.MendedRows)
	}
}

func writePartly(w io.Writer, checks []Check) {
	writeHeading(w, "Rows over budget whose mechanism stands, or partly stands")
	writeHeader(w, "ratio, whole list", "subset", "subset at a watch cache", "situation", "role", "budget", "mechanism", "status")
	for _, c := range ExceededThoughBuilt(checks) {
		writeRow(w, formatFigure(c.Ratio[WholeList], formatNumber), formatFigure(c.Ratio[Subset], formatNumber), formatFigure(c.Ratio[CachedSubset], formatNumber),
			c.Situation, string(c.Role), string(c.Resource), c.Mechanism.Name, string(c.Mechanism.Status))
	}
}

func (m *Model) writeVerdict(w io.Writer, passed []Check) {
	writeHeading(w, "Verdict")
	if len(passed) == 0 {
		fmt.Fprintf(w, "No budget is passed in the scope that the plan judges, `%s`.\n", m.Plan.Judged)
		return
	}
	fmt.Fprintf(w, "Budgets passed in the scope that the plan judges, `%s`:\n\n", m.Plan.Judged)
	for _, c := range passed {
		fmt.Fprintf(w, "- %s, %s: %s, %s times the budget (%s, %s)\n", c.Situation, c.Role, c.Resource,
			formatFigure(c.Ratio[m.Plan.Judged], formatNumber), c.Mechanism.Name, c.Mechanism.Status)
	}
}
