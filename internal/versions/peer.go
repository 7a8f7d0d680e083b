package versions

import (
	"time"

	"tamarindshore/client/tables"
)

// RetrySettings say how often something is sent to a replica that does not answer or rejects it.
type RetrySettings struct {
	AckTimeout time.Duration // from a delta sent until it counts as lost
	Backoff    tables.RetrySettings
}

// DefaultRetrySettings are for replicas on a network of one's own.
func DefaultRetrySettings() RetrySettings {
	return RetrySettings{
		AckTimeout: 2 * time.Second,
		Backoff:    tables.RetrySettings{InitialInterval: 250 * time.Millisecond, MaxInterval: 30 * time.Second},
	}
}

// Peer decides what one replica is sent: the newest version, as a delta where the replica's version is kept, else as a
// snapshot; one at a time; again with growing backoff where the replica rejects it or does not answer; nothing any more
// once another manager has taken over. It is not safe for use by several goroutines.
type Peer struct {
	settings      RetrySettings
	rng           jitter
	version       tables.VersionRef // that the replica last said it runs
	inFlight      *Version          // nil: none
	sentAt        time.Duration
	notBefore     time.Duration // of the next attempt
	failures      int           // since the last success
	needsSnapshot bool          // it asked for one, or rejected a delta
	superseded    bool
	lastOutcome   tables.Outcome
}

// NewPeer returns a peer for a replica that runs a version. The seed spreads the attempts of many peers.
func NewPeer(settings RetrySettings, version tables.VersionRef, seed uint64) *Peer {
	return &Peer{settings: settings, version: version, rng: newJitter(seed)}
}

// Version returns the version that the replica last said it runs.
func (p *Peer) Version() tables.VersionRef { return p.version }

// Superseded tells that another manager, with a later epoch, has taken over the replica.
func (p *Peer) Superseded() bool { return p.superseded }

// FailedAttempts returns how many attempts failed since the last success, and what the replica answered last.
func (p *Peer) FailedAttempts() (int, tables.Outcome) { return p.failures, p.lastOutcome }

// NextDelta returns what to send now. Otherwise wake is when to ask again; 0: once there is a newer version or an answer.
func (p *Peer) NextDelta(now time.Duration, view View) (delta *tables.Delta, wake time.Duration) {
	head := view.Head()
	if head == nil || p.superseded || p.version == refOf(head) {
		return nil, 0
	}
	if p.inFlight != nil {
		timeout := p.sentAt + p.settings.AckTimeout
		if now < timeout {
			return nil, timeout
		}
		// The delta or its answer was lost.
		p.fail(now)
		p.needsSnapshot = true
	}
	if now < p.notBefore {
		return nil, p.notBefore
	}
	p.inFlight = head
	p.sentAt = now
	return view.deltaFrom(p.version, p.needsSnapshot), now + p.settings.AckTimeout
}

// fail gives up what is in flight and sets the time of the next attempt.
func (p *Peer) fail(now time.Duration) {
	p.inFlight = nil
	p.notBefore = now + p.settings.Backoff.Delay(p.failures, p.rng.next())
	p.failures++
}

// HandleAck tells that the replica runs a version.
func (p *Peer) HandleAck(version tables.VersionRef) {
	p.version = version
	p.lastOutcome = tables.Applied
	if p.inFlight != nil && version.ID == p.inFlight.ID {
		p.inFlight = nil
		p.failures = 0
		p.needsSnapshot = false
		p.notBefore = 0
	}
}

// HandleRejection tells that the replica rejected what it was sent, and which version it runs.
func (p *Peer) HandleRejection(now time.Duration, outcome tables.Outcome, version tables.VersionRef) {
	p.version = version
	p.lastOutcome = outcome
	switch outcome {
	case tables.AlreadyApplied:
		p.inFlight = nil
		return
	case tables.OlderEpoch:
		p.superseded = true
	case tables.Gap, tables.UnknownBase, tables.WrongDigest, tables.Conflict:
		p.needsSnapshot = true
	}
	p.fail(now)
}

// HandleSnapshotRequest tells that the replica wants a snapshot. What is in flight is given up.
func (p *Peer) HandleSnapshotRequest(version tables.VersionRef) {
	p.version = version
	p.needsSnapshot = true
	p.inFlight = nil
}

// jitter is a linear congruential generator: as cheap as it is predictable, which is enough to spread attempts.
type jitter uint64

// newJitter scatters a seed: those of peers follow each other.
func newJitter(seed uint64) jitter { return jitter(seed*2862933555777941757 + 3037000493) }

// next returns a number from 0 up to 1.
func (j *jitter) next() float64 {
	*j = *j*6364136223846793005 + 1442695040888963407
	return float64(*j>>11) / (1 << 53)
}
