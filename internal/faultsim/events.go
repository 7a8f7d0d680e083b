package faultsim

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *Simulation) at(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.todo, event{max(at, w.now), w.seq, do})
}

func (w *Simulation) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *Simulation) between(b [2]time.Duration) time.Duration {
	return b[0] + time.Duration(w.chance.Float64()*float64(b[1]-b[0]))
}
