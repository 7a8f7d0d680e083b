package tables

import (
	"maps"
	"slices"
)

// Diff returns the operations that change one state into another. Their order is fixed: withdrawals first, then the weights
// and admission levels of each table, then restored servers.
func Diff(from, to *State) (ops []Op) {
	for _, server := range to.WithdrawnServers() {
		if !from.withdrawn[server] {
			ops = append(ops, Op{Kind: Withdraw, Server: server})
		}
	}
	ids := append(from.TableIDs(), to.TableIDs()...)
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		ops = appendTableDiff(ops, id, from.Table(id), to.Table(id))
	}
	for _, server := range from.WithdrawnServers() {
		if !to.withdrawn[server] {
			ops = append(ops, Op{Kind: Restore, Server: server})
		}
	}
	return ops
}

func appendTableDiff(ops []Op, id uint32, from, to *Table) []Op {
	if from.digest == to.digest {
		return ops
	}
	if to.isEmpty() {
		return append(ops, Op{Kind: ClearTable, Table: id})
	}
	if removesLevel(from, to) { // no operation removes a single admission level
		ops = append(ops, Op{Kind: ClearTable, Table: id})
		from = &Table{}
	}
	servers := slices.AppendSeq(slices.Collect(maps.Keys(from.Weights)), maps.Keys(to.Weights))
	slices.Sort(servers)
	for _, server := range slices.Compact(servers) {
		weight := to.Weights[server]
		if from.Weights[server] != weight {
			ops = append(ops, Op{Kind: SetWeight, Table: id, Server: server, Weight: weight})
		}
	}
	for _, classes := range slices.Sorted(maps.Keys(to.AdmissionLevels)) {
		level := to.AdmissionLevels[classes]
		if previous, exists := from.AdmissionLevels[classes]; !exists || previous != level {
			ops = append(ops, Op{Kind: SetAdmissionLevel, Table: id, Classes: classes, AdmissionLevel: level})
		}
	}
	return ops
}

// removesLevel reports whether from has an admission level that is absent from to.
func removesLevel(from, to *Table) bool {
	for classes := range from.AdmissionLevels {
		if _, stays := to.AdmissionLevels[classes]; !stays {
			return true
		}
	}
	return false
}
