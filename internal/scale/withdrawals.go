package scale

import (
	"slices"
	"sync"
	"time"

	"tamarindshore/balancer"
)

// withdrawCommand is the name of the command that withdraws a server, as the relay reports it.
const withdrawCommand = "withdraw"

// withdrawalRecorder records when each manager withdraws an expected server. It is safe for concurrent use.
type withdrawalRecorder struct {
	mu          sync.Mutex
	server      balancer.ServerID    // expected to be withdrawn
	managers    int                  // number of managers expected to withdraw it
	withdrawnAt map[string]time.Time // by manager
	done        chan struct{}        // closed once all managers have withdrawn it
}

// expect discards earlier records and starts to record the withdrawals of a server by a number of managers. It returns
// a channel that is closed once all of them have withdrawn it.
func (w *withdrawalRecorder) expect(server balancer.ServerID, managers int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = server
	w.managers = managers
	w.withdrawnAt = map[string]time.Time{}
	w.done = make(chan struct{})
	return w.done
}

// onCommand records a command that the relay received from a manager. Only the first withdrawal by each manager counts.
func (w *withdrawalRecorder) onCommand(manager string, at time.Time, kind, server string) {
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

// secondsSince returns the seconds from a start time until each manager withdrew the server, sorted.
func (w *withdrawalRecorder) secondsSince(start time.Time) []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var times []float64
	for _, at := range w.withdrawnAt {
		times = append(times, at.Sub(start).Seconds())
	}
	slices.Sort(times)
	return times
}
