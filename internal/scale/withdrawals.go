package scale

import (
	"slices"
	"sync"
	"time"

	"tamarindshore/balancer"
)

// withdrawals notes when each manager's orders withdrew a server that is waited for.
type withdrawals struct {
	mu          sync.Mutex
	server      balancer.ServerID
	withdrawnAt map[string]time.Time // by manager
	managers    int
	done        chan struct{} // closed once all managers withdrew it
}

// expect forgets what was noted and waits for another server, at so many managers.
func (w *withdrawals) expect(server balancer.ServerID, managers int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server, w.withdrawnAt, w.managers, w.done = server, map[string]time.Time{}, managers, make(chan struct{})
	return w.done
}

// note takes an order that a manager's relay got.
func (w *withdrawals) onCommand(manager string, at time.Time, kind, server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != "withdraw" || balancer.ServerID(server) != w.server || !w.withdrawnAt[manager].IsZero() {
		return
	}
	w.withdrawnAt[manager] = at
	if len(w.withdrawnAt) == w.managers {
		close(w.done)
	}
}

// since are the sorted times from a moment until each manager withdrew the server.
func (w *withdrawals) since(told time.Time) (times []float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.withdrawnAt {
		times = append(times, at.Sub(told).Seconds())
	}
	slices.Sort(times)
	return times
}
