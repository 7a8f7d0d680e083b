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

// Errors that end a load test.
var (
	ErrNoRateSustained = errors.New("the manager sustained none of the tested rates")
	ErrManagerEnded    = errors.New("the manager exited under load; see its log")
)

const (
	assignTimeout      = 60 * time.Second
	heldRateFraction   = 0.8 // fraction of the maximum rate that is held
	faultStream        = 3   // random number stream of the fault injector
	firstFaultyCall    = 3   // earlier calls succeed, so that the proxies are assigned
	idleRate           = 1   // messages per second while the manager catches up
	maxCatchUpChecks   = 100
	catchUpInterval    = 50 * time.Millisecond
	assignPollInterval = 5 * time.Millisecond
	commandTransitTime = 200 * time.Millisecond // how long until the relay has received all commands in transit
)

// Run tests one manager after another and writes progress messages. After an error, which states the manager's number of
// cores, it also returns the results of the managers before it.
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

// ExecutablePath returns the path of this program, which is also started as the manager.
func ExecutablePath() (string, error) { return os.Executable() }

// managerRun is the load test of one manager.
type managerRun struct {
	plan       Plan
	deployment *fakes.Deployment
	observer   *observer
	generator  *loadGenerator
	progress   io.Writer
	result     Result
}

// runManager tests one manager in a new deployment.
func runManager(p Plan, cores int, start fakes.StartFunc, progress io.Writer) (Result, error) {
	r := &managerRun{plan: p, progress: progress, result: Result{Cores: cores, MachineCores: runtime.NumCPU()}}
	r.reportProgress("starting a manager with %d servers and %d proxies", p.Servers, p.Proxies)
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
		r.result.HeldRate = heldRateFraction * r.result.MaxRate
	}
	r.reportProgress("holding %.0f messages/s for %v while servers drain and proxies reconnect", r.result.HeldRate, p.HoldDuration)
	err = r.hold()
	return r.result, err
}

// reportProgress writes a line of progress, which starts with the number of cores.
func (r *managerRun) reportProgress(format string, values ...any) {
	fmt.Fprintf(r.progress, "%d cores: %s\n", r.result.Cores, fmt.Sprintf(format, values...))
}

// assignAll connects all proxies and waits until each is assigned to a table.
func (r *managerRun) assignAll() error {
	startTime := time.Now()
	connectAll(r.deployment.Relay, r.plan.Proxies)
	if err := awaitAssigned(r.deployment.Relay, r.plan.Proxies, assignTimeout); err != nil {
		return err
	}
	r.result.AllAssignedAfter = time.Since(startTime)
	r.reportProgress("all proxies assigned after %.2fs", r.result.AllAssignedAfter.Seconds())
	return nil
}

// connectAll connects the proxies with the IDs from 0 to proxies-1.
func connectAll(relay *fakes.Relay, proxies int) {
	ids := make([]int, proxies)
	for i := range ids {
		ids[i] = i
	}
	relay.ConnectProxies(ids...)
}

// AssignTimeoutError is returned if not all proxies were assigned in time.
type AssignTimeoutError struct {
	Assigned int
	Proxies  int
	Timeout  time.Duration
}

// Error states how many of the proxies were assigned in time.
func (e *AssignTimeoutError) Error() string {
	return fmt.Sprintf("%d of %d proxies assigned within %v", e.Assigned, e.Proxies, e.Timeout)
}

// awaitAssigned waits until a number of proxies are assigned, or returns an AssignTimeoutError.
func awaitAssigned(relay *fakes.Relay, proxies int, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(assignPollInterval) {
		if relay.Counts().AssignedProxies >= proxies {
			return nil
		}
	}
	return &AssignTimeoutError{Assigned: relay.Counts().AssignedProxies, Proxies: proxies, Timeout: timeout}
}

// newFaultInjector returns a function that chooses the fault of a call to the relay. A fraction of the calls fail.
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

// searchMaxRate searches for the maximum rate that the manager sustains.
func (r *managerRun) searchMaxRate() error {
	ramp := NewRamp(r.plan.InitialRate)
	for more := true; more; {
		step, err := r.measureStep(ramp.Rate())
		if err != nil {
			return err
		}
		more = ramp.RecordStep(step.AcceptedFraction, step.AcceptLatency)
		r.reportProgress("%8.0f messages/s: %5.1f%% accepted, 99th percentile of latency %v",
			step.Rate, 100*step.AcceptedFraction, step.AcceptLatency)
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

// measureStep holds a rate for one step and measures the accepted fraction of the due messages and their latency.
func (r *managerRun) measureStep(rate float64) (StepResult, error) {
	before, err := r.countAccepted()
	if err != nil {
		return StepResult{}, err
	}
	r.generator.resetRecorders()
	r.generator.rate.Store(int64(rate))
	startTime := time.Now()
	time.Sleep(r.plan.StepDuration)
	after, err := r.countAccepted()
	if err != nil {
		return StepResult{}, err
	}
	expected := rate * time.Since(startTime).Seconds()
	return StepResult{
		AcceptedFraction: float64(after-before) / expected,
		AcceptLatency:    r.generator.acceptLatency.Load().summary().P99,
		Rate:             rate,
	}, nil
}

// countAccepted returns the number of messages that the manager has accepted so far.
func (r *managerRun) countAccepted() (int64, error) {
	counters, err := r.deployment.Counters()
	return acceptedMessages(counters), err
}

// acceptedMessages returns the number of accepted messages according to a manager's counters.
func acceptedMessages(counters map[string]int64) int64 {
	return counters["reports_in"] + counters["usages_in"]
}

// catchUp lowers the rate to idleRate and waits until all sent messages are accepted. It gives up after
// maxCatchUpChecks checks or an error.
func (r *managerRun) catchUp() {
	r.generator.rate.Store(idleRate)
	for range maxCatchUpChecks {
		accepted, err := r.countAccepted()
		if err != nil || accepted >= r.generator.sent.Load() {
			return
		}
		time.Sleep(catchUpInterval)
	}
}

// hold holds the rate while servers drain and return and proxies reconnect, and stores the result.
func (r *managerRun) hold() error {
	acceptedBefore, err := r.countAccepted()
	if err != nil {
		return err
	}
	sentBefore := r.generator.sent.Load()
	cpuBefore, _ := fakes.ResourceUsage(r.deployment.Manager)
	r.generator.resetRecorders()
	r.generator.rate.Store(int64(r.result.HeldRate))
	churn := startChurn(r.deployment, r.observer)
	startTime := time.Now()
	err = r.awaitHold()
	elapsed := time.Since(startTime).Seconds()
	churn.stop()
	if err != nil {
		return err
	}
	cpu, memory := fakes.ResourceUsage(r.deployment.Manager)
	r.result.CPU = (cpu - cpuBefore) / elapsed
	r.result.MemoryMB = memory
	r.result.AcceptLatency = r.generator.acceptLatency.Load().summary()
	r.result.SendDelay = r.generator.sendDelay.Load().summary()
	r.catchUp()
	time.Sleep(commandTransitTime)
	return r.collectResult(sentBefore, acceptedBefore)
}

// awaitHold waits for the plan's HoldDuration. It returns ErrManagerEnded if the manager ends earlier.
func (r *managerRun) awaitHold() error {
	select {
	case <-time.After(r.plan.HoldDuration):
		return nil
	case <-r.deployment.Manager.Done():
		return ErrManagerEnded
	}
}

// collectResult stores the counters, latencies and rule results after the rate was held.
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
