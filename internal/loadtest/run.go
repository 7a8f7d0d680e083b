package loadtest

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"time"

	"tamarindshore/internal/fakes"
)

// Plan is what a run of the tool does. All counts and times are bounded by it.
type Plan struct {
	Cores             []int // one manager after another, with so many each
	Servers, Proxies  int
	CollectorsPerZone int           // connections of each zone
	Rate              float64       // messages a second; 0: the top is searched for, and 80% of it is held
	HoldDuration      time.Duration // that a rate is held
	StepDuration      time.Duration // of the search
	InitialRate       float64       // rate of the search
	Seed              uint64
	MemoryMB          float64
	MaxSockets        int
	FaultFraction     float64 // part of the relay's calls that go wrong
}

// Usual is a plan that ends within about half a minute for each number of cores.
func DefaultPlan() Plan {
	return Plan{Cores: []int{1}, Servers: 60, Proxies: 600, CollectorsPerZone: 4, HoldDuration: 8 * time.Second, StepDuration: 1500 * time.Millisecond,
		InitialRate: 20_000, Seed: 1, MemoryMB: 512, MaxSockets: 4096}
}

// Result is what one manager came to.
type Result struct {
	Cores             int                `json:"cores"`
	MachineCores      int                `json:"real_cores"` // of the machine, which the tool shares
	MaxRate           float64            `json:"top_per_s,omitempty"`
	HeldRate          float64            `json:"rate_per_s"` // that was held
	Sent              int64              `json:"sent"`
	Accepted          int64              `json:"taken"`   // of them, by the manager's counters
	AcceptLatency     LatencySummary     `json:"take_in"` // from a message's time until all before it is taken in
	SendDelay         LatencySummary     `json:"late"`    // from a message's time until it is written
	AssignLatency     LatencySummary     `json:"bind"`    // from a proxy's joining told to the order that binds it
	WithdrawLatency   LatencySummary     `json:"drain"`   // from a drain told to the order that withdraws
	AllAssignedAfter  time.Duration      `json:"all_bound_ns"`
	CPU               float64            `json:"cpu_s_per_s"`
	MemoryMB          float64            `json:"memory_mb"`
	Rules             []fakes.RuleResult `json:"rules"`
	Relay             fakes.Counts       `json:"relay"`
	BrokenConnections int64              `json:"connections_broken"`
	Counters          map[string]int64   `json:"counters"`
	Steps             []map[string]any   `json:"steps,omitempty"`
	MergedFraction    float64            `json:"folded_part"`
}

// OK tells whether each rule was kept and each message was taken.
func (r Result) OK() bool {
	for _, rule := range r.Rules {
		if !rule.OK() {
			return false
		}
	}
	return r.BrokenConnections == 0 && r.Accepted >= r.Sent
}

// Run loads one manager after another and tells how it goes on.
func Run(p Plan, begin fakes.StartFunc, progress io.Writer) (all []Result, err error) {
	for _, cores := range p.Cores {
		r, err := one(p, cores, begin, progress)
		if err != nil {
			return all, fmt.Errorf("%d cores: %w", cores, err)
		}
		all = append(all, r)
	}
	return all, nil
}

// mishaps are what the relay's calls come to, by chance from the seed.
func mishaps(part float64, seed uint64) func(int) fakes.Fault {
	chance := rand.New(rand.NewPCG(seed, 3))
	return func(call int) fakes.Fault {
		if call < 3 || chance.Float64() >= part {
			return fakes.NoFault
		}
		return []fakes.Fault{fakes.AnswerLost, fakes.NotExecuted, fakes.NoAnswer, fakes.AnswerGarbled, fakes.AnswerBusy}[chance.IntN(5)]
	}
}

func one(p Plan, cores int, begin fakes.StartFunc, progress io.Writer) (Result, error) {
	site := fakes.DefaultSite(p.Servers, p.Proxies)
	res := Result{Cores: cores, MachineCores: runtime.NumCPU()}
	fmt.Fprintf(progress, "%d cores: %d servers, %d proxies, a manager\n", cores, p.Servers, p.Proxies)
	rig, err := fakes.StartDeployment(site, fakes.ManagerOptions{Cores: cores, MemoryMB: p.MemoryMB, MaxDescriptors: p.MaxSockets, Seed: p.Seed}, begin)
	if err != nil {
		return res, err
	}
	defer rig.Close()
	w := newWatch(rig)
	began := time.Now()
	w.join(p.Proxies)
	if err := w.allBound(p.Proxies, 60*time.Second); err != nil {
		return res, err
	}
	res.AllAssignedAfter = time.Since(began)
	fmt.Fprintf(progress, "%d cores: all bound after %.2fs\n", cores, res.AllAssignedAfter.Seconds())
	rig.Relay.Configure(func(r *fakes.Relay) { r.InjectFault = mishaps(p.FaultFraction, p.Seed) })
	f := newFeed(rig.ManagerAddress, site, p.CollectorsPerZone)
	defer f.end()
	res.HeldRate = p.Rate
	if p.Rate == 0 {
		ramp := NewRamp(p.InitialRate)
		for more := true; more; {
			s, err := w.step(f, ramp.Rate(), p.StepDuration)
			if err != nil {
				return res, err
			}
			rate := ramp.Rate()
			more = ramp.Step(s.accepted, s.late.P99)
			fmt.Fprintf(progress, "%d cores: %8.0f messages/s: %5.1f%% taken in, 99%% within %v\n", cores, rate, 100*s.accepted, s.late.P99)
			res.Steps = append(res.Steps, map[string]any{"rate": rate, "accepted": s.accepted, "p99_ns": s.late.P99})
			if more && s.accepted < acceptLeast {
				w.settle(f)
			}
		}
		if res.MaxRate = ramp.Top(); res.MaxRate == 0 {
			return res, errors.New("no rate was taken in")
		}
		w.settle(f)
		res.HeldRate = 0.8 * res.MaxRate
	}
	fmt.Fprintf(progress, "%d cores: %.0f messages/s for %v, with drains and joins\n", cores, res.HeldRate, p.HoldDuration)
	if err := w.hold(f, &res, p.HoldDuration); err != nil {
		return res, err
	}
	return res, nil
}

// watch sees what a relay is ordered, and makes what is waited for.
type watch struct {
	rig           *fakes.Deployment
	binds, drains *meter
	isPulled      func(server string) bool // the relay's; it takes the relay's lock
	mu            sync.Mutex               // taken within the relay's lock: none of the relay's methods is called under it
	joined        map[string]time.Time     // when a proxy's joining was told, by its number
	drained       map[string]time.Time     // when a drain was told, by server
	stop          chan struct{}
	all           sync.WaitGroup
}

// newWatch watches the orders that a rig's relay gets.
func newWatch(rig *fakes.Deployment) *watch {
	w := &watch{rig: rig, binds: newMeter(), drains: newMeter(), isPulled: rig.Relay.Withdrawn, joined: map[string]time.Time{},
		drained: map[string]time.Time{}, stop: make(chan struct{})}
	rig.Relay.Configure(func(r *fakes.Relay) { r.OnCommand = w.ordered })
	return w
}

// ordered takes an order that the relay got. The relay calls it under its lock.
func (w *watch) ordered(at time.Time, kind, about string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	of, m := w.joined, w.binds
	switch kind {
	case "bind":
	case "withdraw":
		of, m = w.drained, w.drains
	default:
		return
	}
	if since, due := of[about]; due {
		m.add(at.Sub(since), 1)
		delete(of, about)
	}
}

func (w *watch) join(n int) {
	ids := make([]int, n)
	for i := range ids {
		ids[i] = i
	}
	w.rig.Relay.ConnectProxies(ids...)
}

func (w *watch) allBound(n int, within time.Duration) error {
	for late := time.Now().Add(within); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		if w.rig.Relay.Counts().AssignedProxies >= n {
			return nil
		}
	}
	return fmt.Errorf("%d of %d proxies bound within %v", w.rig.Relay.Counts().AssignedProxies, n, within)
}

type step struct {
	accepted float64
	late     LatencySummary
}

// step holds a rate and tells which part of what was due was taken in.
func (w *watch) step(f *feed, rate float64, span time.Duration) (step, error) {
	before, err := w.taken()
	if err != nil {
		return step{}, err
	}
	f.measure()
	f.rate.Store(int64(rate))
	began := time.Now()
	time.Sleep(span)
	after, err := w.taken()
	if err != nil {
		return step{}, err
	}
	took := time.Since(began).Seconds()
	return step{float64(after-before) / (rate * took), f.pings.Load().spread()}, nil
}

func (w *watch) taken() (int64, error) {
	c, err := w.rig.Counters()
	return c["reports_in"] + c["usages_in"], err
}

// settle stops the load until all that was sent is taken in, for a while at most.
func (w *watch) settle(f *feed) {
	f.rate.Store(1)
	for range 100 {
		if n, err := w.taken(); err != nil || n >= f.sent.Load() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// hold holds a rate while servers drain and come back, and proxies leave and join.
func (w *watch) hold(f *feed, res *Result, span time.Duration) error {
	before, err := w.taken()
	if err != nil {
		return err
	}
	sent := f.sent.Load()
	cpu, _ := fakes.ResourceUsage(w.rig.Manager)
	f.measure()
	f.rate.Store(int64(res.HeldRate))
	w.all.Go(w.drain)
	w.all.Go(w.rejoin)
	w.all.Go(w.look)
	began := time.Now()
	select {
	case <-time.After(span):
	case <-w.rig.Manager.Done():
		err = errors.New("the manager ended under load; its log says why")
	}
	took := time.Since(began).Seconds()
	close(w.stop)
	w.all.Wait()
	if err != nil {
		return err
	}
	used, memory := fakes.ResourceUsage(w.rig.Manager)
	res.CPU, res.MemoryMB = (used-cpu)/took, memory
	res.AcceptLatency, res.SendDelay = f.pings.Load().spread(), f.late.Load().spread()
	w.settle(f)
	time.Sleep(200 * time.Millisecond) // what is under way ends
	w.rig.Relay.CheckState()
	counters, err := w.rig.Counters()
	if err != nil {
		return err
	}
	res.Sent, res.Accepted = f.sent.Load()-sent, counters["reports_in"]+counters["usages_in"]-before
	res.Counters, res.MergedFraction = counters, float64(counters["samples_folded"])/float64(max(1, counters["reports_in"]+counters["usages_in"]))
	res.AssignLatency, res.WithdrawLatency = w.binds.spread(), w.drains.spread()
	res.Rules, res.Relay, res.BrokenConnections = w.rig.Relay.Rules.Results(), w.rig.Relay.Counts(), f.broken.Load()
	return nil
}

func (w *watch) every(span time.Duration, do func(n int)) {
	tick := time.NewTicker(span)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-tick.C:
			do(n)
		}
	}
}

// drain drains one server after another, for a second each.
func (w *watch) drain() {
	w.every(100*time.Millisecond, func(n int) {
		s := w.rig.Servers[n*7%len(w.rig.Servers)]
		back := w.rig.Servers[(n+len(w.rig.Servers)-10)*7%len(w.rig.Servers)]
		w.expectDrain(s.ID)
		entries := []fakes.Endpoint{s.Entry("draining")}
		if n >= 10 && back != s {
			entries = append(entries, back.Entry("up"))
		}
		w.rig.Discovery.Publish(entries...)
	})
}

// expectDrain notes that a server is about to drain, unless it is withdrawn already.
func (w *watch) expectDrain(server string) {
	if w.isPulled(server) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drained[server] = time.Now()
}

// rejoin lets proxies leave and join again, one after another.
func (w *watch) rejoin() {
	w.every(20*time.Millisecond, func(n int) {
		id := n * 13 % w.rig.Site.Proxies
		w.rig.Relay.DisconnectProxies(id)
		w.mu.Lock()
		w.joined[fmt.Sprint(id)] = time.Now()
		w.mu.Unlock()
		w.rig.Relay.ConnectProxies(id)
	})
}

func (w *watch) look() {
	w.every(100*time.Millisecond, func(int) {
		w.rig.Relay.CheckState()
		w.rig.Relay.Rules.CheckDrains(time.Now(), func(s string) bool { return w.rig.Relay.RequestRate(s) > 0 })
	})
}

// Program is this program, to be started once more as the manager.
func ExecutablePath() (string, error) { return os.Executable() }
