// Package platformsettings turns the settings object of a site into the balancer's settings, for the simulator's adapter
// and for the daemon. wire.go has the names of the object, this file the bounds and the mapping. It decides nothing.
package platformsettings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"tamarindshore/balancer"
)

// Settings are what a site states.
type Settings struct {
	Balancer   balancer.Settings
	ClassNames []string // of Balancer.Classes, in their order
}

// Parse reads and checks the settings object. Keys that it does not know are ignored. An error about a key is a
// *KeyError; a text that is no JSON gives the error of encoding/json.
func Parse(text []byte) (Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(text, &wire); err != nil {
		return Settings{}, WithKey(err)
	}
	if err := checkBounds(&wire); err != nil {
		return Settings{}, err
	}
	settings := Settings{Balancer: siteSettings(&wire)}
	addDomain(&settings.Balancer, &wire.Domain)
	addRules(&settings.Balancer, &wire.Rules)
	if err := addClasses(&settings, &wire); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

const (
	maxProxies      = 65536 // a proxy's number has 16 bits on the wire
	maxClasses      = 63    // a set of classes is a bit mask
	maxMicroseconds = 1e15  // some thirty years
)

// checkBounds looks that numbers are within the bounds that the balancer relies on.
func checkBounds(wire *wireSettings) error {
	for _, number := range []struct {
		key         string
		value       float64
		least, most float64
	}{
		{"domain.egressPerS", wire.Domain.EgressPerS, 1e-6, 1e12},
		{"domain.queueCap", wire.Domain.QueueCap, 1e-6, 1e12},
		{"domain.envelope", wire.Domain.Envelope, 0, 1e9},
		{"domain.proxies", float64(wire.Domain.Proxies), 0, maxProxies},
		{"domain.ranges", float64(wire.Domain.Ranges), 0, maxProxies},
		{"domain.messagesMost", float64(wire.Domain.MessagesMost), 0, 1e9},
		{"domain.reloadSpanUs", float64(wire.Domain.ReloadSpanUs), 0, maxMicroseconds},
		{"domain.lineFee", wire.Domain.LineFee, 0, 1e6},
		{"domain.usualHow", float64(wire.Domain.UsualHow), 0, float64(balancer.MaxThreeAttempts)},
		{"limits.connIdleUs", float64(wire.Limits.ConnIdleUs), 0, maxMicroseconds},
		{"rules.coldFrom", wire.Rules.ColdFrom, 0, 1e6},
		{"rules.warmAfterUs", float64(wire.Rules.WarmAfterUs), 0, maxMicroseconds},
		{"rules.drainGraceUs", float64(wire.Rules.DrainGraceUs), 0, maxMicroseconds},
		{"peersTotal", float64(wire.PeersTotal), 0, maxProxies},
		{"classes", float64(len(wire.Classes)), 1, maxClasses},
	} {
		if number.value < number.least || number.value > number.most || math.IsNaN(number.value) {
			problem := fmt.Sprintf("%v is not from %v to %v", number.value, number.least, number.most)
			return &KeyError{Key: number.key, Problem: problem}
		}
	}
	return nil
}

// siteSettings are the settings that stand at the top of the object, and the limits.
func siteSettings(wire *wireSettings) balancer.Settings {
	settings := balancer.Settings{
		PollsEndpoints:    wire.MembershipMode == membershipPolled,
		WeightsFollowLoad: wire.WeightSource == weightsFollowLoad,
		Managers:          wire.PeersTotal,
		HealthChecks:      wire.Limits.Probing,
		IdleTimeout:       microseconds(wire.Limits.ConnIdleUs),
	}
	for _, zone := range wire.Zones {
		settings.Zones = append(settings.Zones, balancer.ZoneID(zone))
	}
	return settings
}

// addDomain adds what concerns the proxies and the command channel to them.
func addDomain(settings *balancer.Settings, domain *wireDomain) {
	settings.Sliced = domain.Ranges > 0
	settings.Proxies = domain.Proxies
	settings.DefaultRetryPolicy = balancer.RetryPolicy(domain.UsualHow)
	settings.QueueCapacity = domain.QueueCap
	settings.CommandsPerSecond = domain.EgressPerS
	settings.CommandPrice = domain.LineFee
	settings.MessageOverhead = domain.Envelope
	settings.MaxMessages = domain.MessagesMost
	settings.MessageWindow = microseconds(domain.ReloadSpanUs)
	switch domain.Admit {
	case admitShare:
		settings.AdmissionUnit = balancer.AdmitShare
	case admitRate:
		settings.AdmissionUnit = balancer.AdmitRate
	}
}

// addRules adds the figures of the rules that the platform checks.
func addRules(settings *balancer.Settings, rules *wireRules) {
	settings.ColdCapacity = rules.ColdFrom
	settings.WarmUpDuration = microseconds(rules.WarmAfterUs)
	settings.DrainGrace = microseconds(rules.DrainGraceUs)
	settings.RemovedMayServe = rules.DroppedStayOpen
}

// addClasses adds the traffic classes and their names.
func addClasses(settings *Settings, wire *wireSettings) error {
	for i, class := range wire.Classes {
		if class.Name == "" || class.AimUs <= 0 || class.HardLimitUs <= 0 || class.Worth < 0 {
			return &KeyError{
				Key:     fmt.Sprintf("classes[%d]", i),
				Problem: "name, aimUs and hardLimitUs above 0 and worth from 0 are due",
			}
		}
		zoneLocal := i < len(wire.Domain.HomeOnly) && wire.Domain.HomeOnly[i]
		settings.Balancer.Classes = append(settings.Balancer.Classes, balancer.TrafficClass{
			LatencyObjective: microseconds(class.AimUs),
			Deadline:         microseconds(class.HardLimitUs),
			PriorityWeight:   class.Worth,
			Idempotency:      class.idempotency(),
			DedupWindow:      microseconds(class.WindowUs),
			ZoneLocal:        zoneLocal,
		})
		settings.ClassNames = append(settings.ClassNames, class.Name)
	}
	return nil
}

// idempotency tells whether a request may run again. Servers that drop repeats only within a zone or a cell are no
// guarantee, since a repeat may go to any server.
func (class *wireClass) idempotency() balancer.Idempotency {
	switch {
	case class.Repeat == repeatIdempotent:
		return balancer.Idempotent
	case class.Repeat == repeatDeduplicated && class.Group == groupAllServers:
		return balancer.IdempotencyKeyed
	}
	return balancer.NonIdempotent
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
