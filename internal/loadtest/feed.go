package loadtest

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarindshore/internal/fakes"
)

// meter is a histogram that several may write.
type meter struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newMeter() *meter { return &meter{h: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)} }

func (m *meter) add(d time.Duration, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.h.RecordValues(max(1, min(d, time.Minute).Microseconds()), int64(n))
}

// Spread is what a meter saw.
type LatencySummary struct {
	Count int64         `json:"n"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"most_ns"`
}

func (m *meter) spread() LatencySummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := func(q float64) time.Duration { return time.Duration(m.h.ValueAtQuantile(q)) * time.Microsecond }
	if m.h.TotalCount() == 0 {
		return LatencySummary{}
	}
	return LatencySummary{m.h.TotalCount(), at(50), at(99), at(99.9), time.Duration(m.h.Max()) * time.Microsecond}
}

// voice is one collector's connection: it says its messages over and over, each at its time.
type voice struct {
	zone string
	text []byte // of one round, and where each message ends in it
	ends []int
	next int
}

// voices shares all that a second's sums hold among collectors: a report for each server and zone, and a usage for
// each proxy and group.
func voices(s fakes.Site, perZone int) (all []*voice) {
	for z, zone := range s.Zones {
		for v := range perZone {
			one := &voice{zone: zone}
			put := func(format string, values ...any) {
				one.text = fmt.Appendf(one.text, format+"\r\n", values...)
				one.ends = append(one.ends, len(one.text))
			}
			tries := s.RequestRate * float64(s.Proxies) / float64(s.Servers*len(s.Zones))
			for n := range s.Servers {
				if n%perZone == v {
					put("heard site=%s target=%s count=%d fail=0 mean=%.1f over=1000.0 util=inflight:%d", zone, fakes.ServerID(n),
						max(1, int(tries)), 100+float64(n%7), 1+n%3)
				}
			}
			for p := range s.Proxies {
				if p%len(s.Zones) != z || p/len(s.Zones)%perZone != v {
					continue
				}
				for _, g := range s.TrafficClasses {
					put("usage id=%d lane=%s count=%d fail=0 over=1000.0", p, g.Name, max(1, int(s.RequestRate*g.TrafficShare+0.5)))
				}
			}
			all = append(all, one)
		}
	}
	return all
}

// take gives the bytes of the next n messages, up to the end of the round, and how many they are.
func (v *voice) take(n int) ([]byte, int) {
	from := 0
	if v.next > 0 {
		from = v.ends[v.next-1]
	}
	n = min(n, len(v.ends)-v.next)
	text := v.text[from:v.ends[v.next+n-1]]
	v.next = (v.next + n) % len(v.ends)
	return text, n
}

// feed is the load on one manager. Its rate can change while it goes on.
type feed struct {
	address string
	voices  []*voice
	rate    atomic.Int64 // messages a second, of all
	sent    atomic.Int64
	broken  atomic.Int64 // connections that ended
	late    atomic.Pointer[meter]
	pings   atomic.Pointer[meter]
	stop    chan struct{}
	all     sync.WaitGroup
}

func newFeed(address string, s fakes.Site, perZone int) *feed {
	f := &feed{address: address, voices: voices(s, perZone), stop: make(chan struct{})}
	f.measure()
	for i, v := range f.voices {
		f.all.Go(func() { f.speak(v, i) })
	}
	return f
}

// measure begins new meters.
func (f *feed) measure() {
	f.late.Store(newMeter())
	f.pings.Store(newMeter())
}

func (f *feed) end() {
	close(f.stop)
	f.all.Wait()
}

const (
	beat      = 2 * time.Millisecond
	pingEvery = 20 * time.Millisecond
)

// speak keeps one collector's connection until the end.
func (f *feed) speak(v *voice, i int) {
	for {
		if err := f.connection(v, i); err == nil {
			return
		}
		f.broken.Add(1)
		select {
		case <-f.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (f *feed) connection(v *voice, i int) error {
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "collector site=%s\r\n", v.zone); err != nil {
		return err
	}
	asked := make(chan time.Time, 4096) // when pings were due
	go func() {
		in := bufio.NewReader(c)
		for {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			select {
			case at := <-asked:
				f.pings.Load().add(time.Since(at), 1)
			default:
			}
		}
	}()
	tick := time.NewTicker(beat)
	defer tick.Stop()
	schedule, began, rate, pinged := Schedule{}, time.Now(), int64(-1), time.Duration(i)*time.Millisecond
	for {
		select {
		case <-f.stop:
			return nil
		case <-tick.C:
		}
		if now := f.rate.Load(); now != rate {
			rate, began = now, time.Now()
			schedule, pinged = Schedule{Rate: float64(now) / float64(len(f.voices))}, 0
		}
		since := time.Since(began)
		n, last := schedule.Due(since)
		for n > 0 {
			text, took := v.take(n)
			c.SetWriteDeadline(time.Now().Add(10 * time.Second))
			if _, err := c.Write(text); err != nil {
				return err
			}
			n -= took
			f.sent.Add(int64(took))
			f.late.Load().add(time.Since(began)-last, took)
		}
		if since-pinged >= pingEvery {
			due := began.Add(pinged + pingEvery)
			pinged = since
			select {
			case asked <- due:
				if _, err := c.Write([]byte("ping\r\n")); err != nil {
					return err
				}
			default: // as many are under way as it can remember
			}
		}
	}
}
