// Package platformsettings parses and validates a site's settings object and converts it to the balancer's settings, for
// the simulator's adapter and for the daemon. wire.go declares the JSON names, this file the bounds and the conversion.
package platformsettings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"tamarindshore/balancer"
)

// Settings are the settings of a site.
type Settings struct {
	Balancer   balancer.Settings
	ClassNames []string // names of Balancer.Classes, in the same order
}

// Parse parses and validates the settings object. Unknown keys are ignored. An error about a key is a *KeyError; for
// invalid JSON it is the error of encoding/json.
func Parse(text []byte) (Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(text, &wire); err != nil {
		return Settings{}, AsKeyError(err)
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
	maxProxies      = 65536 // a proxy number has 16 bits on the wire
	maxClasses      = 63    // a set of classes is a bit mask
	maxMicroseconds = 1e15  // about 32 years
)

// checkBounds returns an error if a number is outside the bounds that the balancer relies on.
func checkBounds(wire *wireSettings) error {
	for _, number := range []struct {
		key              string
		value            float64
		minimum, maximum float64
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
		if number.value < number.minimum || number.value > number.maximum || math.IsNaN(number.value) {
			problem := fmt.Sprintf("%v is not between %v and %v", number.value, number.minimum, number.maximum)
			return &KeyError{Key: number.key, Problem: problem}
		}
	}
	return nil
}

// siteSettings converts the top-level keys of the object and the limits.
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

// addDomain adds the settings of the proxies and of their command channel.
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

// addRules adds the parameters of the rules that the platform checks.
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
				Problem: "name, aimUs > 0, hardLimitUs > 0 and worth >= 0 are required",
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

// idempotency returns whether a request of the class may be executed again. Servers that deduplicate requests only within
// a zone or a cell don't make a class idempotent, since a retry may go to any server.
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
