package sharding

import (
	"testing"
	"time"

	"tamarindshore/balancer"
)

// Merged samples keep the summed counts and the rates, and samples with different keys stay separate.
func TestMergeKeepsCountsAndRates(t *testing.T) {
	m := NewMailbox(4)
	usage := UsageSample{balancer.UsageReport{Proxy: 1, Class: 2, Requests: 3, Dropped: 1, Interval: time.Second}}
	report := LoadSample{balancer.LoadReport{
		Server: "s", Zone: "a", Attempts: 10, Failed: 5, Latency: time.Second, Interval: time.Second, InFlight: 7}}
	laterReport := LoadSample{balancer.LoadReport{
		Server: "s", Zone: "a", Attempts: 5, Latency: 2 * time.Second, Interval: time.Second, InFlight: -1}}
	m.Put([]Sample{usage, report, usage, laterReport})
	if !m.HasRoom() || m.Len() != 2 || m.Merged != 2 {
		t.Fatalf("%d samples wait after %d merges, want 2 after 2, and room for more", m.Len(), m.Merged)
	}
	m.Put([]Sample{usage})
	got := m.Take(9, nil)
	if sum := got[0].(UsageSample); sum.Requests != 9 || sum.Dropped != 3 || sum.Interval != 3*time.Second {
		t.Errorf("merged usage %+v, want 9 requests, 3 dropped, an interval of 3s", sum)
	}
	if sum := got[1].(LoadSample); sum.Attempts != 15 || sum.Failed != 5 || sum.Latency != 1500*time.Millisecond || sum.InFlight != 7 {
		t.Errorf("merged report %+v, want 15 attempts, 5 failed, a latency of 1.5s, 7 in flight", sum)
	}
	for i := range 4 {
		m.Put([]Sample{UsageSample{balancer.UsageReport{Proxy: balancer.ProxyID(i)}}})
	}
	if m.HasRoom() || m.Len() != 4 {
		t.Errorf("%d samples with different keys wait, want 4 and no room for more", m.Len())
	}
}
