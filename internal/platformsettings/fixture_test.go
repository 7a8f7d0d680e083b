package platformsettings

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// fixture returns testdata/settings.json, a settings object with every key that the package reads.
func fixture(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// fixtureSettings returns the settings that version 0.9 read from the fixture.
func fixtureSettings() Settings {
	return Settings{
		ClassNames: []string{"quote", "update", "track", "book"},
		Balancer: balancer.Settings{
			Zones: []balancer.ZoneID{"east", "west", "north"},
			Classes: []balancer.TrafficClass{
				{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1.5,
					Idempotency: balancer.Idempotent, DedupWindow: 5 * time.Second},
				{LatencyObjective: 1200 * time.Millisecond, Deadline: 4 * time.Second, PriorityWeight: 2,
					Idempotency: balancer.IdempotencyKeyed, DedupWindow: 7 * time.Second, ZoneLocal: true},
				{LatencyObjective: 900 * time.Millisecond, Deadline: 3 * time.Second,
					Idempotency: balancer.NonIdempotent, DedupWindow: 8 * time.Second},
				{LatencyObjective: 1100 * time.Millisecond, Deadline: 3500 * time.Millisecond, PriorityWeight: 3,
					Idempotency: balancer.NonIdempotent, ZoneLocal: true},
			},
			PollsEndpoints:     true,
			Managers:           5,
			Proxies:            9,
			Sliced:             true,
			RemovedMayServe:    true,
			HealthChecks:       true,
			WeightsFollowLoad:  true,
			AdmissionUnit:      balancer.AdmitRate,
			DefaultRetryPolicy: balancer.MaxTwoAttempts,
			IdleTimeout:        15 * time.Second,
			ColdCapacity:       0.15,
			WarmUpDuration:     16 * time.Second,
			DrainGrace:         3200 * time.Millisecond,
			QueueCapacity:      8700,
			CommandsPerSecond:  8600.5,
			CommandPrice:       0.02,
			MessageOverhead:    4.5,
			MaxMessages:        20,
			MessageWindow:      10 * time.Second,
		},
	}
}

func TestParseReadsEveryKey(t *testing.T) {
	got, err := Parse(fixture(t))
	if err != nil {
		t.Fatal(err)
	}
	if want := fixtureSettings(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// replaced returns the fixture with another value at a path of keys and list indexes; a nil value removes the key.
func replaced(t *testing.T, path []any, value any) []byte {
	t.Helper()
	var root map[string]any
	if err := json.Unmarshal(fixture(t), &root); err != nil {
		t.Fatal(err)
	}
	var current any = root
	for _, step := range path[:len(path)-1] {
		switch step := step.(type) {
		case string:
			current = current.(map[string]any)[step]
		case int:
			current = current.([]any)[step]
		}
	}
	last := path[len(path)-1].(string)
	parent := current.(map[string]any)
	if _, present := parent[last]; !present {
		t.Fatalf("%v: the fixture has no such key", path)
	}
	if parent[last] = value; value == nil {
		delete(parent, last)
	}
	text, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Each key, by its JSON name, must change its own setting and no other.
func TestEachKeyChangesItsSettingOnly(t *testing.T) {
	site := func(change func(*balancer.Settings)) func(*Settings) {
		return func(s *Settings) { change(&s.Balancer) }
	}
	class := func(index int, change func(*balancer.TrafficClass)) func(*Settings) {
		return func(s *Settings) { change(&s.Balancer.Classes[index]) }
	}
	for _, key := range []struct {
		path   []any
		value  any
		change func(*Settings)
	}{
		{[]any{"zones"}, []string{"hall"}, site(func(s *balancer.Settings) { s.Zones = []balancer.ZoneID{"hall"} })},
		{[]any{"zones"}, nil, site(func(s *balancer.Settings) { s.Zones = nil })},
		{[]any{"classes", 0, "name"}, "read", func(s *Settings) { s.ClassNames[0] = "read" }},
		{[]any{"classes", 1, "aimUs"}, 7, class(1, func(c *balancer.TrafficClass) { c.LatencyObjective = 7 * time.Microsecond })},
		{[]any{"classes", 1, "hardLimitUs"}, 7, class(1, func(c *balancer.TrafficClass) { c.Deadline = 7 * time.Microsecond })},
		{[]any{"classes", 1, "worth"}, 7, class(1, func(c *balancer.TrafficClass) { c.PriorityWeight = 7 })},
		{[]any{"classes", 1, "windowUs"}, 7, class(1, func(c *balancer.TrafficClass) { c.DedupWindow = 7 * time.Microsecond })},
		{[]any{"classes", 1, "repeat"}, "idempotent", class(1, func(c *balancer.TrafficClass) { c.Idempotency = balancer.Idempotent })},
		{[]any{"classes", 0, "repeat"}, "at_most_once", class(0, func(c *balancer.TrafficClass) { c.Idempotency = balancer.NonIdempotent })},
		{[]any{"classes", 1, "group"}, "zone", class(1, func(c *balancer.TrafficClass) { c.Idempotency = balancer.NonIdempotent })},
		{[]any{"classes", 2, "group"}, "all", class(2, func(c *balancer.TrafficClass) { c.Idempotency = balancer.IdempotencyKeyed })},
		{[]any{"membershipMode"}, "push", site(func(s *balancer.Settings) { s.PollsEndpoints = false })},
		{[]any{"weightSource"}, "rough", site(func(s *balancer.Settings) { s.WeightsFollowLoad = false })},
		{[]any{"peersTotal"}, 7, site(func(s *balancer.Settings) { s.Managers = 7 })},
		{[]any{"domain", "admit"}, "share", site(func(s *balancer.Settings) { s.AdmissionUnit = balancer.AdmitShare })},
		{[]any{"domain", "admit"}, "silent", site(func(s *balancer.Settings) { s.AdmissionUnit = balancer.AdmitNone })},
		{[]any{"domain", "ranges"}, 0, site(func(s *balancer.Settings) { s.Sliced = false })},
		{[]any{"domain", "messagesMost"}, 7, site(func(s *balancer.Settings) { s.MaxMessages = 7 })},
		{[]any{"domain", "usualHow"}, 0, site(func(s *balancer.Settings) { s.DefaultRetryPolicy = balancer.NoRetry })},
		{[]any{"domain", "usualHow"}, 1, site(func(s *balancer.Settings) { s.DefaultRetryPolicy = balancer.RetryIfNotExecuted })},
		{[]any{"domain", "usualHow"}, 3, site(func(s *balancer.Settings) { s.DefaultRetryPolicy = balancer.MaxThreeAttempts })},
		{[]any{"domain", "proxies"}, 7, site(func(s *balancer.Settings) { s.Proxies = 7 })},
		{[]any{"domain", "egressPerS"}, 7, site(func(s *balancer.Settings) { s.CommandsPerSecond = 7 })},
		{[]any{"domain", "envelope"}, 7, site(func(s *balancer.Settings) { s.MessageOverhead = 7 })},
		{[]any{"domain", "queueCap"}, 7, site(func(s *balancer.Settings) { s.QueueCapacity = 7 })},
		{[]any{"domain", "lineFee"}, 7, site(func(s *balancer.Settings) { s.CommandPrice = 7 })},
		{[]any{"domain", "reloadSpanUs"}, 7, site(func(s *balancer.Settings) { s.MessageWindow = 7 * time.Microsecond })},
		{[]any{"domain", "homeOnly"}, []bool{false, true}, class(3, func(c *balancer.TrafficClass) { c.ZoneLocal = false })},
		{[]any{"limits", "probing"}, false, site(func(s *balancer.Settings) { s.HealthChecks = false })},
		{[]any{"limits", "connIdleUs"}, 7, site(func(s *balancer.Settings) { s.IdleTimeout = 7 * time.Microsecond })},
		{[]any{"rules", "coldFrom"}, 7, site(func(s *balancer.Settings) { s.ColdCapacity = 7 })},
		{[]any{"rules", "warmAfterUs"}, 7, site(func(s *balancer.Settings) { s.WarmUpDuration = 7 * time.Microsecond })},
		{[]any{"rules", "drainGraceUs"}, 7, site(func(s *balancer.Settings) { s.DrainGrace = 7 * time.Microsecond })},
		{[]any{"rules", "droppedStayOpen"}, false, site(func(s *balancer.Settings) { s.RemovedMayServe = false })},
		{[]any{"report"}, nil, func(*Settings) {}},
	} {
		want := fixtureSettings()
		key.change(&want)
		got, err := Parse(replaced(t, key.path, key.value))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%v = %v: error %v\ngot %+v\nwant %+v", key.path, key.value, err, got, want)
		}
	}
}
