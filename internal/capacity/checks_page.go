package capacity

import (
	"fmt"
	"io"
	"slices"
	"strconv"
)

// formatRatio formats the ratio in a scope as the tables show it.
func (c Check) formatRatio(scope Scope) string { return formatFigure(c.Ratio[scope], formatNumber) }

func writeChecks(w io.Writer, checks []Check) {
	writeHeading(w, "Against the budgets, as ratios")
	writeHeader(w, "situation", "role", "budget", "whole list", "subset", "subset at a watch cache", "carried by", "status")
	for _, c := range checks {
		writeRow(w, c.Situation, string(c.Role), string(c.Resource), c.formatRatio(WholeList), c.formatRatio(Subset), c.formatRatio(CachedSubset),
			c.Mechanism.Name, string(c.Mechanism.Status))
	}
	writeHeading(w, "The mechanisms, and where they stand")
	writeHeader(w, "mechanism", "status", "where")
	var written []string
	for _, c := range checks {
		key := c.Mechanism.Name + string(c.Mechanism.Status)
		if slices.Contains(written, key) {
			continue
		}
		written = append(written, key)
		writeRow(w, c.Mechanism.Name, string(c.Mechanism.Status), c.Mechanism.Where)
	}
}

func (m *Model) writeLimits(w io.Writer) {
	writeHeading(w, "Fixed limits of today's code")
	writeHeader(w, "limit", "bound", "whole list", "subset", "subset at a watch cache", "what happens past it", "where")
	for _, l := range m.Limits() {
		cells := []string{l.Name, formatNumber(l.Bound)}
		for _, scope := range Scopes {
			cell := formatFigure(l.Required[scope], formatNumber)
			if l.Exceeded(scope) {
				cell += ", **passed**"
			}
			cells = append(cells, cell)
		}
		writeRow(w, append(cells, l.Effect, l.Where)...)
	}
}

// rankedRows is the maximum number of rows in the ranking.
const rankedRows = 20

func writeRanking(w io.Writer, checks []Check) {
	writeHeading(w, "The rows whose mechanism is missing, the worst first")
	writeHeader(w, "rank", "ratio, whole list", "ratio, with its mechanism", "situation", "role", "budget", "missing mechanism")
	for i, c := range Ranking(checks) {
		if i == rankedRows {
			break
		}
		writeRow(w, strconv.Itoa(i+1), c.formatRatio(WholeList), c.formatRatio(scopeWithMechanism(c.Mechanism)),
			c.Situation, string(c.Role), string(c.Resource), c.Mechanism.Name)
	}
	fmt.Fprintln(w)
	for i, s := range MechanismRanks(checks) {
		fmt.Fprintf(w, "%d. **%s**: its worst row is %s of the budget (%s, %s, %s). It has %d rows over budget and brings %d of them under.\n",
			i+1, s.Mechanism.Name, s.Worst.formatRatio(WholeList), s.Worst.Situation, s.Worst.Role, s.Worst.Resource, s.ExceededRows, s.ResolvedRows)
	}
}

func writeExceededDespiteMechanism(w io.Writer, checks []Check) {
	writeHeading(w, "Rows over budget whose mechanism stands, or partly stands")
	writeHeader(w, "ratio, whole list", "subset", "subset at a watch cache", "situation", "role", "budget", "mechanism", "status")
	for _, c := range ExceededDespiteMechanism(checks) {
		writeRow(w, c.formatRatio(WholeList), c.formatRatio(Subset), c.formatRatio(CachedSubset),
			c.Situation, string(c.Role), string(c.Resource), c.Mechanism.Name, string(c.Mechanism.Status))
	}
}

func (m *Model) writeVerdict(w io.Writer, exceeded []Check) {
	writeHeading(w, "Verdict")
	if len(exceeded) == 0 {
		fmt.Fprintf(w, "No budget is passed in the scope that the plan judges, `%s`.\n", m.Plan.VerdictScope)
		return
	}
	fmt.Fprintf(w, "Budgets passed in the scope that the plan judges, `%s`:\n\n", m.Plan.VerdictScope)
	for _, c := range exceeded {
		fmt.Fprintf(w, "- %s, %s: %s, %s times the budget (%s, %s)\n", c.Situation, c.Role, c.Resource,
			c.formatRatio(m.Plan.VerdictScope), c.Mechanism.Name, c.Mechanism.Status)
	}
}
