package balancer_test

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/blake3"

	"tamarindshore/balancer"
	"tamarindshore/internal/fleetmodel"
)

// shapes are the kinds of day on which the orders must stay the same, to the byte.
var shapes = []fleetmodel.Shape{
	{Name: "calm", Zones: 3, Servers: 30, Proxies: 40, Rate: 6, Capacity: 12},
	{Name: "drains", Zones: 3, Servers: 24, Proxies: 60, Rate: 3, Capacity: 12, Draining: 0.5, Churn: 200 * time.Millisecond},
	{Name: "overload", Zones: 3, Servers: 18, Proxies: 40, Rate: 4, Capacity: 10, Slow: 0.3, Surge: 2.5},
	{Name: "rates", Zones: 2, Servers: 16, Proxies: 24, Rate: 6, Capacity: 10, Slow: 0.2, Surge: 2, Rates: true, GoneStays: true, Draining: 0.2},
	{Name: "blocks", Zones: 3, Servers: 120, Proxies: 240, Rate: 2, Capacity: 6, Draining: 0.2, Slow: 0.1, Churn: 50 * time.Millisecond},
	{Name: "tight", Zones: 4, Servers: 40, Proxies: 400, Rate: 1, Capacity: 12, Draining: 0.4, Churn: 20 * time.Millisecond, Messages: 12},
}

// The digests were taken before the module's conditions were made to follow change instead of size.
func TestOrdersStayTheSame(t *testing.T) {
	known := map[string]string{}
	file, err := os.Open("testdata/golden.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for in := bufio.NewScanner(file); in.Scan(); {
		name, digest, _ := strings.Cut(in.Text(), " ")
		known[name] = digest
	}
	for _, s := range shapes {
		for seed := range uint64(3) {
			name := fmt.Sprintf("%s/%d", s.Name, seed)
			t.Run(name, func(t *testing.T) {
				if got := digest(s, seed); got != known[name] {
					t.Errorf("%s %s, not %s", name, got, known[name])
				}
			})
		}
	}
}

// asBefore prints orders in the form of when the digests were taken: a place had no groups, and has none where no group
// keeps to its zone.
func asBefore(o balancer.Commands) any {
	type place struct {
		Proxy balancer.ProxyID
		Table balancer.TableID
	}
	var bind []place
	for _, b := range o.Assign {
		if b.Classes != 0 {
			return o
		}
		bind = append(bind, place{b.Proxy, b.Table})
	}
	return struct {
		Withdraw []balancer.ServerID
		Lines    []balancer.EndpointWeight
		Levels   []balancer.AdmissionLevel
		Readmit  []balancer.ServerID
		Bind     []place
		Mark     balancer.BarrierID
		Probe    []balancer.ServerID
		Listen   bool
		Wake     time.Duration
		Notes    []string
	}{o.Withdraw, o.Weights, o.AdmissionLevels, o.Restore, bind, o.Barrier, o.HealthCheck, o.Subscribe, o.NextTimer, o.LogRecords}
}

func digest(s fleetmodel.Shape, seed uint64) string {
	f, sum, orders := fleetmodel.New(s, seed), blake3.New(), 0
	f.Seen = func(now time.Duration, o balancer.Commands) {
		fmt.Fprintf(sum, "%d %v\n", now, asBefore(o))
		orders += o.Count()
	}
	f.Open()
	for n := range 40 {
		f.Second(n, 40)
	}
	return fmt.Sprintf("%d %s", orders, hex.EncodeToString(sum.Sum(nil)[:16]))
}

// BenchmarkSecond is a second of inputs: a report for each server and zone, a usage for each proxy and group.
func BenchmarkSecond(b *testing.B) {
	for _, size := range [][2]int{{400, 30}, {1000, 500}, {4000, 500}, {4000, 2000}, {20000, 5000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			s := fleetmodel.Shape{Zones: 4, Proxies: size[0], Servers: size[1], Rate: 2, Capacity: 4 * float64(size[0]) / float64(size[1])}
			f := fleetmodel.New(s, 1)
			f.Open()
			for n := range 3 {
				f.Second(n, 100)
			}
			inputs, spent := f.Inputs, f.Spent
			for b.Loop() {
				f.Second(50, 100)
			}
			per := float64(f.Spent-spent) / float64(b.N)
			b.ReportMetric(per/1e6, "module-ms/s")
			b.ReportMetric(per/(float64(f.Inputs-inputs)/float64(b.N)), "ns/input")
		})
	}
}

// BenchmarkJoins is the first list and all proxies, one after another.
func BenchmarkJoins(b *testing.B) {
	for _, size := range [][2]int{{400, 30}, {4000, 2000}, {20000, 5000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				f := fleetmodel.New(fleetmodel.Shape{Zones: 4, Proxies: size[0], Servers: size[1], Rate: 2, Capacity: 100}, 1)
				f.Open()
				b.ReportMetric(float64(f.Spent)/1e6, "module-ms")
			}
		})
	}
}
