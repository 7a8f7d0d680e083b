package loadtest

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"tamarindshore/internal/fakes"
)

// Errors of a run.
var (
	ErrNoRateSustained = errors.New("no rate was taken in")
	ErrManagerEnded    = errors.New("the manager ended under load; its log says why")
)

const (
	assignTimeout     = 60 * time.Second
	heldPart          = 0.8 // of the highest rate
	faultStream       = 3   // of the seed's random numbers
	firstFaultyCall   = 3   // calls before it go well, so that the proxies are assigned
	idleRate          = 1   // messages a second while the manager catches up
	maxCatchUpChecks  = 100
	catchUpInterval   = 50 * time.Millisecond
	assignPolling     = 5 * time.Millisecond
	commandsInTransit = 200 * time.Millisecond // until all commands under way have reached the relay
)

// Run loads one manager after another, and writes to progress how it goes on. An error names the number of cores; the
// results before it are returned.
func Run(p Plan, start fakes.StartFunc, progress io.Writer) ([]Result, error) {
	var results []Result
	for _, cores := range p.Cores {
		result, err := runManager(p, cores, start, progress)
		if err != nil {
			return results, fmt.Errorf("%d cores: %w", cores, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// ExecutablePath is that of this program, which is started once more as the manager.
func ExecutablePath() (string, error) { return os.Executable() }

// managerRun is the run of one manager.
type managerRun struct {
	plan       Plan
	deployment *fakes.Deployment
	observer   *observer
	generator  *loadGenerator
	progress   io.Writer
	result     Result
}

// runManager loads one manager in a deployment of its own.
func runManager(p Plan, cores int, start fakes.StartFunc, progress io.Writer) (Result, error) {
	r := &managerRun{plan: p, progress: progress, result: Result{Cores: cores, MachineCores: runtime.NumCPU()}}
	r.report("%d servers, %d proxies, a manager", p.Servers, p.Proxies)
	site := fakes.DefaultSite(p.Servers, p.Proxies)
	options := fakes.ManagerOptions{Cores: cores, MemoryMB: p.MemoryMB, MaxDescriptors: p.MaxSockets, Seed: p.Seed}
	deployment, err := fakes.StartDeployment(site, options, start)
	if err != nil {
		return r.result, err
	}
	defer deployment.Close()
	r.deployment = deployment
	r.observer = newObserver(deployment.Relay)
	if err := r.assignAll(); err != nil {
		return r.result, err
	}
	deployment.Relay.Configure(func(relay *fakes.Relay) { relay.InjectFault = newFaultInjector(p.FaultFraction, p.Seed) })
	r.generator = newLoadGenerator(deployment.ManagerAddress, site, p.CollectorsPerZone)
	defer r.generator.stop()
	r.result.HeldRate = p.Rate
	if p.Rate == 0 {
		if err := r.searchMaxRate(); err != nil {
			return r.result, err
		}
		r.result.HeldRate = heldPart * r.result.MaxRate
	}
	r.report("%.0f messages/s for %v, with drains and joins", r.result.HeldRate, p.HoldDuration)
	err = r.hold()
	return r.result, err
}

// report writes a line of progress.
func (r *managerRun) report(format string, values ...any) {
	fmt.Fprintf(r.progress, "%d cores: %s\n", r.result.Cores, fmt.Sprintf(format, values...))
}

// assignAll connects all proxies and waits until the manager has assigned each a table.
func (r *managerRun) assignAll() error {
	began := time.Now()
	connectAll(r.deployment.Relay, r.plan.Proxies)
	if err := awaitAssigned(r.deployment.Relay, r.plan.Proxies, assignTimeout); err != nil {
		return err
	}
	r.result.AllAssignedAfter = time.Since(began)
	r.report("all bound after %.2fs", r.result.AllAssignedAfter.Seconds())
	return nil
}

func connectAll(relay *fakes.Relay, proxies int) {
	ids := make([]int, proxies)
	for i := range ids {
		ids[i] = i
	}
	relay.ConnectProxies(ids...)
}

// AssignTimeoutError says that not all proxies were assigned in time.
type AssignTimeoutError struct {
	Assigned int
	Proxies  int
	Timeout  time.Duration
}

// Error says how many were assigned, and of how many.
func (e *AssignTimeoutError) Error() string {
	return fmt.Sprintf("%d of %d proxies bound within %v", e.Assigned, e.Proxies, e.Timeout)
}

// awaitAssigned waits until so many proxies are assigned.
func awaitAssigned(relay *fakes.Relay, proxies int, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(assignPolling) {
		if relay.Counts().AssignedProxies >= proxies {
			return nil
		}
	}
	return &AssignTimeoutError{Assigned: relay.Counts().AssignedProxies, Proxies: proxies, Timeout: timeout}
}

// newFaultInjector draws from a seed what goes wrong with a part of the relay's calls.
func newFaultInjector(fraction float64, seed uint64) func(call int) fakes.Fault {
	faults := []fakes.Fault{fakes.AnswerLost, fakes.NotExecuted, fakes.NoAnswer, fakes.AnswerGarbled, fakes.AnswerBusy}
	rng := rand.New(rand.NewPCG(seed, faultStream))
	return func(call int) fakes.Fault {
		if call < firstFaultyCall || rng.Float64() >= fraction {
			return fakes.NoFault
		}
		return faults[rng.IntN(len(faults))]
	}
}

// searchMaxRate searches for the highest rate that the manager sustains.
func (r *managerRun) searchMaxRate() error {
	ramp := NewRamp(r.plan.InitialRate)
	for more := true; more; {
		step, err := r.measureStep(ramp.Rate())
		if err != nil {
			return err
		}
		more = ramp.Step(step.AcceptedFraction, step.AcceptLatency)
		r.report("%8.0f messages/s: %5.1f%% taken in, 99%% within %v", step.Rate, 100*step.AcceptedFraction, step.AcceptLatency)
		r.result.Steps = append(r.result.Steps, step)
		if more && step.AcceptedFraction < minAcceptedFraction {
			r.catchUp()
		}
	}
	r.result.MaxRate = ramp.MaxRate()
	if r.result.MaxRate == 0 {
		return ErrNoRateSustained
	}
	r.catchUp()
	return nil
}

// measureStep holds a rate for one step, and measures which part of what was due is accepted.
func (r *managerRun) measureStep(rate float64) (StepResult, error) {
	before, err := r.accepted()
	if err != nil {
		return StepResult{}, err
	}
	r.generator.resetRecorders()
	r.generator.rate.Store(int64(rate))
	began := time.Now()
	time.Sleep(r.plan.StepDuration)
	after, err := r.accepted()
	if err != nil {
		return StepResult{}, err
	}
	due := rate * time.Since(began).Seconds()
	return StepResult{
		AcceptedFraction: float64(after-before) / due,
		AcceptLatency:    r.generator.acceptLatency.Load().summary().P99,
		Rate:             rate,
	}, nil
}

// accepted is how many messages the manager has accepted so far.
func (r *managerRun) accepted() (int64, error) {
	counters, err := r.deployment.Counters()
	return acceptedMessages(counters), err
}

// acceptedMessages is how many messages a manager accepted, by its counters.
func acceptedMessages(counters map[string]int64) int64 {
	return counters["reports_in"] + counters["usages_in"]
}

// catchUp sends hardly anything until all that was sent is accepted, for a while at most.
func (r *managerRun) catchUp() {
	r.generator.rate.Store(idleRate)
	for range maxCatchUpChecks {
		accepted, err := r.accepted()
		if err != nil || accepted >= r.generator.sent.Load() {
			return
		}
		time.Sleep(catchUpInterval)
	}
}

// hold holds a rate while servers drain and come back, and proxies disconnect and connect.
func (r *managerRun) hold() error {
	acceptedBefore, err := r.accepted()
	if err != nil {
		return err
	}
	sentBefore := r.generator.sent.Load()
	cpuBefore, _ := fakes.ResourceUsage(r.deployment.Manager)
	r.generator.resetRecorders()
	r.generator.rate.Store(int64(r.result.HeldRate))
	churn := startChurn(r.deployment, r.observer)
	began := time.Now()
	err = r.awaitHold()
	took := time.Since(began).Seconds()
	churn.stop()
	if err != nil {
		return err
	}
	cpu, memory := fakes.ResourceUsage(r.deployment.Manager)
	r.result.CPU = (cpu - cpuBefore) / took
	r.result.MemoryMB = memory
	r.result.AcceptLatency = r.generator.acceptLatency.Load().summary()
	r.result.SendDelay = r.generator.sendDelay.Load().summary()
	r.catchUp()
	time.Sleep(commandsInTransit)
	return r.collectResult(sentBefore, acceptedBefore)
}

// awaitHold waits for the plan's duration, or until the manager ends.
func (r *managerRun) awaitHold() error {
	select {
	case <-time.After(r.plan.HoldDuration):
		return nil
	case <-r.deployment.Manager.Done():
		return ErrManagerEnded
	}
}

// collectResult reads counters and verdicts after a rate was held.
func (r *managerRun) collectResult(sentBefore, acceptedBefore int64) error {
	relay := r.deployment.Relay
	relay.CheckState()
	counters, err := r.deployment.Counters()
	if err != nil {
		return err
	}
	accepted := acceptedMessages(counters)
	r.result.Sent = r.generator.sent.Load() - sentBefore
	r.result.Accepted = accepted - acceptedBefore
	r.result.Counters = counters
	r.result.MergedFraction = float64(counters["samples_folded"]) / float64(max(1, accepted))
	r.result.AssignLatency = r.observer.assignLatency.summary()
	r.result.WithdrawLatency = r.observer.withdrawLatency.summary()
	r.result.Rules = relay.Rules.Results()
	r.result.Relay = relay.Counts()
	r.result.BrokenConnections = r.generator.brokenConnections.Load()
	return nil
}
