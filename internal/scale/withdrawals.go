package scale

import (
	"slices"
	"sync"
	"time"

	"tamarindshore/balancer"
)

// withdrawCommand is the relay's name for the command that withdraws a server.
const withdrawCommand = "withdraw"

// withdrawals notes when each manager withdraws a server that is waited for. It is safe for concurrent use.
type withdrawals struct {
	mu          sync.Mutex
	server      balancer.ServerID
	managers    int                  // that are to withdraw it
	withdrawnAt map[string]time.Time // by manager
	done        chan struct{}        // closed once all managers have withdrawn it
}

// expect forgets what was noted, and waits for another server at so many managers. It returns a channel that is closed
// once all of them have withdrawn it.
func (w *withdrawals) expect(server balancer.ServerID, managers int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = server
	w.managers = managers
	w.withdrawnAt = map[string]time.Time{}
	w.done = make(chan struct{})
	return w.done
}

// onCommand takes a command that a manager's relay got.
func (w *withdrawals) onCommand(manager string, at time.Time, kind, server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != withdrawCommand || balancer.ServerID(server) != w.server || !w.withdrawnAt[manager].IsZero() {
		return
	}
	w.withdrawnAt[manager] = at
	if len(w.withdrawnAt) == w.managers {
		close(w.done)
	}
}

// secondsSince are the sorted seconds from a moment until each manager has withdrawn the server.
func (w *withdrawals) secondsSince(start time.Time) []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var times []float64
	for _, at := range w.withdrawnAt {
		times = append(times, at.Sub(start).Seconds())
	}
	slices.Sort(times)
	return times
}
