package scale

import (
	"slices"
	"sync"
	"time"

	"tamarindshore/balancer"
)

// withdrawals notes when each manager's orders withdrew a server that is waited for.
type withdrawals struct {
	mu     sync.Mutex
	server balancer.ServerID
	at     map[string]time.Time // by manager
	wanted int
	all    chan struct{} // closed once all managers withdrew it
}

// expect forgets what was noted and waits for another server, at so many managers.
func (w *withdrawals) expect(server balancer.ServerID, managers int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server, w.at, w.wanted, w.all = server, map[string]time.Time{}, managers, make(chan struct{})
	return w.all
}

// note takes an order that a manager's relay got.
func (w *withdrawals) note(manager string, at time.Time, kind, server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != "withdraw" || balancer.ServerID(server) != w.server || !w.at[manager].IsZero() {
		return
	}
	w.at[manager] = at
	if len(w.at) == w.wanted {
		close(w.all)
	}
}

// since are the sorted times from a moment until each manager withdrew the server.
func (w *withdrawals) since(told time.Time) (times []float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.at {
		times = append(times, at.Sub(told).Seconds())
	}
	slices.Sort(times)
	return times
}
