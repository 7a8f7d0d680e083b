package versions

import (
	"time"

	"tamarindshore/client/tables"
)

// RetrySettings controls how soon a delta is sent again to a replica that does not answer or rejects it.
type RetrySettings struct {
	AckTimeout time.Duration        // time without an answer after which a delta counts as lost
	Backoff    tables.RetrySettings // intervals between attempts
}

// DefaultRetrySettings returns settings for replicas on a private network.
func DefaultRetrySettings() RetrySettings {
	return RetrySettings{
		AckTimeout: 2 * time.Second,
		Backoff:    tables.RetrySettings{InitialInterval: 250 * time.Millisecond, MaxInterval: 30 * time.Second},
	}
}

// Peer decides which delta to send to one replica, and when. It sends the newest version as a delta from the replica's
// own version. If that is no longer kept or the replica needs a snapshot, it sends a snapshot instead. Only one of them is
// in flight at a time. If the replica rejects it or does not answer, the peer retries with growing backoff. It stops
// sending once another manager has taken over the replica. A Peer is not safe for concurrent use.
type Peer struct {
	settings       RetrySettings
	rng            jitter
	replicaVersion tables.VersionRef // version that the replica last reported
	inFlight       *Version          // version awaiting an answer; nil if none
	sentAt         time.Duration
	nextAttemptAt  time.Duration  // earliest time of the next attempt
	failures       int            // failed attempts since the last success
	needsSnapshot  bool           // the replica asked for a snapshot, rejected a delta or did not answer
	superseded     bool           // a manager with a later epoch has taken over the replica
	lastOutcome    tables.Outcome // outcome in the replica's last answer
}

// NewPeer returns a Peer for a replica that runs the given version. Different seeds spread the retries of many peers.
func NewPeer(settings RetrySettings, version tables.VersionRef, seed uint64) *Peer {
	return &Peer{settings: settings, replicaVersion: version, rng: newJitter(seed)}
}

// Version returns the version that the replica last reported.
func (p *Peer) Version() tables.VersionRef { return p.replicaVersion }

// Superseded reports whether another manager, with a later epoch, has taken over the replica.
func (p *Peer) Superseded() bool { return p.superseded }

// FailedAttempts returns the number of failed attempts since the last success, and the outcome of the replica's last
// answer.
func (p *Peer) FailedAttempts() (int, tables.Outcome) { return p.failures, p.lastOutcome }

// NextDelta returns the delta to send now, or nil. wake is the time at which to call it again; 0 means only after a newer
// version or a message from the replica.
func (p *Peer) NextDelta(now time.Duration, view View) (delta *tables.Delta, wake time.Duration) {
	head := view.Head()
	if head == nil || p.superseded || p.replicaVersion == versionRef(head) {
		return nil, 0
	}
	if p.inFlight != nil {
		timeout := p.sentAt + p.settings.AckTimeout
		if now < timeout {
			return nil, timeout
		}
		// The delta or its answer was lost.
		p.recordFailure(now)
		p.needsSnapshot = true
	}
	if now < p.nextAttemptAt {
		return nil, p.nextAttemptAt
	}
	p.inFlight = head
	p.sentAt = now
	return view.deltaFrom(p.replicaVersion, p.needsSnapshot), now + p.settings.AckTimeout
}

// recordFailure abandons the delta in flight and schedules the next attempt.
func (p *Peer) recordFailure(now time.Duration) {
	p.inFlight = nil
	p.nextAttemptAt = now + p.settings.Backoff.Delay(p.failures, p.rng.next())
	p.failures++
}

// HandleAck records that the replica runs a version.
func (p *Peer) HandleAck(version tables.VersionRef) {
	p.replicaVersion = version
	p.lastOutcome = tables.Applied
	if p.inFlight != nil && version.ID == p.inFlight.ID {
		p.inFlight = nil
		p.failures = 0
		p.needsSnapshot = false
		p.nextAttemptAt = 0
	}
}

// HandleRejection records that the replica rejected a delta with the given outcome, and which version it runs.
func (p *Peer) HandleRejection(now time.Duration, outcome tables.Outcome, version tables.VersionRef) {
	p.replicaVersion = version
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
	p.recordFailure(now)
}

// HandleSnapshotRequest records that the replica asked for a snapshot, and abandons the delta in flight.
func (p *Peer) HandleSnapshotRequest(version tables.VersionRef) {
	p.replicaVersion = version
	p.needsSnapshot = true
	p.inFlight = nil
}

// jitter is a linear congruential generator. Its numbers are predictable, which is good enough for spreading retries.
type jitter uint64

// newJitter returns a generator. It scrambles the seed, because the seeds of peers are consecutive numbers.
func newJitter(seed uint64) jitter { return jitter(seed*2862933555777941757 + 3037000493) }

// next returns a number in [0, 1).
func (j *jitter) next() float64 {
	*j = *j*6364136223846793005 + 1442695040888963407
	return float64(*j>>11) / (1 << 53)
}
