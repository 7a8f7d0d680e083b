// Package platformsettings turns the settings object of a site into the module's terms. The simulator's
// adapter and the real manager both use it. It checks and names faulty keys; it decides nothing.
package platformsettings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
	"unicode"

	"tamarindshore/balancer"
)

// Read checks the settings and gives the terms and the names of the traffic groups in their order.
// Keys that it does not know are ignored; an error begins with the key that is at fault.
func Parse(text []byte) (balancer.Settings, []string, error) {
	var in struct {
		Zones   []string
		Classes []struct {
			Name, Repeat, Group          string
			AimUs, HardLimitUs, WindowUs int64
			Worth                        float64
		}
		MembershipMode, WeightSource string
		PeersTotal                   int
		Domain                       struct {
			Admit                          string
			Ranges, MessagesMost, UsualHow int
			Proxies                        int
			EgressPerS, Envelope, QueueCap float64
			LineFee                        float64
			ReloadSpanUs                   int64
			HomeOnly                       []bool
		}
		Limits struct {
			Probing    bool
			ConnIdleUs int64
		}
		Rules struct {
			ColdFrom        float64
			WarmAfterUs     int64
			DrainGraceUs    int64
			DroppedStayOpen bool
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return balancer.Settings{}, nil, WithKey(err)
	}
	checks := []struct {
		key         string
		value       float64
		least, most float64
	}{
		{"domain.egressPerS", in.Domain.EgressPerS, 1e-6, 1e12},
		{"domain.queueCap", in.Domain.QueueCap, 1e-6, 1e12},
		{"domain.envelope", in.Domain.Envelope, 0, 1e9},
		{"domain.proxies", float64(in.Domain.Proxies), 0, 65536},
		{"domain.ranges", float64(in.Domain.Ranges), 0, 65536},
		{"domain.messagesMost", float64(in.Domain.MessagesMost), 0, 1e9},
		{"domain.reloadSpanUs", float64(in.Domain.ReloadSpanUs), 0, 1e15},
		{"domain.lineFee", in.Domain.LineFee, 0, 1e6},
		{"domain.usualHow", float64(in.Domain.UsualHow), 0, 3},
		{"limits.connIdleUs", float64(in.Limits.ConnIdleUs), 0, 1e15},
		{"rules.coldFrom", in.Rules.ColdFrom, 0, 1e6},
		{"rules.warmAfterUs", float64(in.Rules.WarmAfterUs), 0, 1e15},
		{"rules.drainGraceUs", float64(in.Rules.DrainGraceUs), 0, 1e15},
		{"peersTotal", float64(in.PeersTotal), 0, 65536},
		{"classes", float64(len(in.Classes)), 1, 63},
	}
	for _, c := range checks {
		if c.value < c.least || c.value > c.most || math.IsNaN(c.value) {
			return balancer.Settings{}, nil, fmt.Errorf("%s: %v is not from %v to %v", c.key, c.value, c.least, c.most)
		}
	}
	span := func(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
	t := balancer.Settings{
		Sliced: in.Domain.Ranges > 0, PollsEndpoints: in.MembershipMode == "ask", HealthChecks: in.Limits.Probing,
		DefaultRetryPolicy: balancer.RetryPolicy(in.Domain.UsualHow), Proxies: in.Domain.Proxies, Managers: in.PeersTotal,
		IdleTimeout:  span(in.Limits.ConnIdleUs),
		ColdCapacity: in.Rules.ColdFrom, WarmUpDuration: span(in.Rules.WarmAfterUs), DrainGrace: span(in.Rules.DrainGraceUs),
		RemovedMayServe: in.Rules.DroppedStayOpen, QueueCapacity: in.Domain.QueueCap,
		CommandsPerSecond: in.Domain.EgressPerS, WeightsFollowLoad: in.WeightSource == "live", CommandPrice: in.Domain.LineFee,
		MessageOverhead: in.Domain.Envelope, MaxMessages: in.Domain.MessagesMost, MessageWindow: span(in.Domain.ReloadSpanUs),
	}
	switch in.Domain.Admit {
	case "share":
		t.AdmissionUnit = balancer.AdmitShare
	case "rate":
		t.AdmissionUnit = balancer.AdmitRate
	}
	for _, z := range in.Zones {
		t.Zones = append(t.Zones, balancer.ZoneID(z))
	}
	var names []string
	for i, g := range in.Classes {
		if g.Name == "" || g.AimUs <= 0 || g.HardLimitUs <= 0 || g.Worth < 0 {
			return t, nil, fmt.Errorf("classes[%d]: name, aimUs and hardLimitUs above 0 and worth from 0 are due", i)
		}
		group := balancer.TrafficClass{LatencyObjective: span(g.AimUs), Deadline: span(g.HardLimitUs),
			PriorityWeight: g.Worth, DedupWindow: span(g.WindowUs), ZoneLocal: i < len(in.Domain.HomeOnly) && in.Domain.HomeOnly[i]}
		switch {
		case g.Repeat == "idempotent":
			group.Idempotency = balancer.Idempotent
		case g.Repeat == "deduplicated" && g.Group == "all":
			group.Idempotency = balancer.IdempotencyKeyed
		}
		t.Classes, names = append(t.Classes, group), append(names, g.Name)
	}
	return t, names, nil
}

// Faulty names the key at which a JSON value of another type stands; other errors stay as they are.
func WithKey(err error) error {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) || wrong.Field == "" {
		return err
	}
	parts := strings.Split(wrong.Field, ".")
	for i, p := range parts {
		parts[i] = string(unicode.ToLower(rune(p[0]))) + p[1:]
	}
	return fmt.Errorf("%s: a %s stands where %s is due", strings.Join(parts, "."), wrong.Value, wrong.Type)
}
