//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

func scenarios() map[string]scenario {
	sub := akl()
	sub.Servers, sub.Capacity, sub.Operator, sub.ProxyZones = 30, 9, "(tamarindshore (subset (spill 4)))", []string{"akl-east"}
	big := akl()
	big.Servers, big.Proxies, big.ProxyRate, big.Capacity, big.Egress, big.QueueCap = 84, 120, 5.4, 14, 6800, 6800
	cores := chc()
	cores.Cores, cores.Operator = 4, `(tamarindshore (cores 4) (read-interval "50ms"))`
	herdAkl, herdWlg, herdChc := akl(), wlg(), chc()
	herdAkl.Proxies, herdAkl.Extra, herdAkl.Total, herdAkl.Managers, herdAkl.ProxyRate = 20, 40, 60, 3, 3.3
	herdWlg.Proxies, herdWlg.Extra, herdWlg.Total, herdWlg.Managers, herdWlg.ProxyRate = 12, 12, 24, 2, 5.5
	herdChc.Proxies, herdChc.Extra, herdChc.Total, herdChc.Managers, herdChc.ProxyRate = 25, 50, 75, 3, 3
	herdWlg2 := wlg()
	herdWlg2.Servers, herdWlg2.Proxies, herdWlg2.Managers, herdWlg2.ProxyRate, herdWlg2.Capacity, herdWlg2.Skew = 24, 30, 2, 8.5, 20, 0.2
	waves := akl()
	waves.Servers, waves.Proxies, waves.ProxyRate, waves.Capacity, waves.Egress, waves.QueueCap, waves.Late = 105, 145, 4.5, 11, 6400, 6400, 500*time.Millisecond
	waves300 := akl()
	waves300.Servers, waves300.Proxies, waves300.ProxyRate, waves300.Capacity, waves300.Egress, waves300.QueueCap, waves300.Late = 12, 300, 4, 200, 8600, 8600, 10*time.Millisecond
	coldAkl, coldWlg := akl(), wlg()
	coldAkl.Servers, coldAkl.Proxies, coldAkl.Capacity = 30, 24, 13.5
	coldWlg.Servers, coldWlg.Proxies, coldWlg.Capacity = 20, 20, 17
	coldOver := coldAkl
	coldOver.Capacity = 8.6
	slowAkl := akl()
	slowAkl.Late = 500 * time.Millisecond
	sapporo := akl()
	sapporo.Zones = []string{"hall-a", "hall-b", "hall-c"}
	sapporo.Servers, sapporo.Proxies, sapporo.Extra, sapporo.Total, sapporo.Managers = 30, 75, 150, 225, 3
	sapporo.ProxyRate, sapporo.Capacity, sapporo.Egress, sapporo.QueueCap, sapporo.MessagesMost, sapporo.Late = 2, 27, 3000, 3000, 20, 200*time.Millisecond
	sapporo.Overload, sapporo.OverloadFor, sapporo.Standing, sapporo.Skew = 4, 3*time.Second, 6, 0.18
	keyed := chc()
	keyed.TablesAddress = freeAddress()
	keyed.Operator = `(tamarindshore (admin (socket "DIR/n1.sock")) (tables (listen "` + keyed.TablesAddress + `") (keys "DIR/keys")))`
	hold := chc()
	hold.Skew, hold.Operator = 0.33, `(tamarindshore (admin (socket "DIR/n1.sock")))`
	stored := chc()
	stored.Operator = `(tamarindshore (admin (socket "DIR/n1.sock")) (store (path "DIR/n1.db")))`
	home := chc()
	home.HomeOnly = []bool{false, true, true}
	skewed := chc()
	skewed.Proxies, skewed.Total, skewed.Managers, skewed.ProxyRate, skewed.Capacity = 25, 75, 3, 4.1, 6.3
	skewed.Skew = 0.33
	even := skewed
	even.Skew = 0
	return map[string]scenario{
		"mix-chc":        {skewed, playMix},
		"mix-akl":        {akl(), playMix},
		"mix-wlg":        {wlg(), playMix},
		"mix-sub":        {sub, playMix},
		"mix-big":        {big, playMix},
		"mix-cores":      {cores, playMix},
		"mix-herd-akl":   {herdAkl, playMix},
		"mix-herd-wlg":   {herdWlg, playMix},
		"mix-herd-chc":   {herdChc, playMix},
		"mix-hold":       {hold, playMix},
		"mix-store":      {stored, playMix},
		"mix-home":       {home, playMix},
		"mix-drop":       {dropped(), playMix},
		"unanswered":     {even, playUnanswered},
		"unanswered-wlg": {herdWlg2, playUnanswered},
		"waves":          {waves, playWaves},
		"waves300":       {waves300, playWaves},
		"cold-akl":       {coldAkl, playCold},
		"cold-wlg":       {coldWlg, playCold},
		"cold-over":      {coldOver, playCold},
		"empty":          {akl(), playEmpty},
		"empty-slow":     {slowAkl, playEmpty},
		"keys":           {keyed, playKeys},
		"release":        {sapporo, playRelease},
		"rollback":       {stored, playRollback},
		"join":           {skewed, playJoin},
		"return":         {chc(), playReturn},
		"lastdrain":      {chc(), playLastDrain},
	}
}

// replace starts a new worker in the zone of another and drains that one.
func (w *world) replace(k *worker) {
	fresh := w.addWorker(k.zone, true)
	k.state = "draining"
	w.publish(fresh)
	w.publish(k)
}

func (w *world) with(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// playMix plays a few disruptions of the pages at once, chosen by the seed in SEED.
func playMix(w *world, m *manager, trouble bool) {
	seed := time.Now().UnixNano()
	if text := os.Getenv("SEED"); text != "" {
		fmt.Sscan(text, &seed)
	}
	rng := rand.New(rand.NewSource(seed))
	span := func(lo, hi float64) time.Duration {
		return time.Duration((lo + rng.Float64()*(hi-lo)) * float64(time.Second))
	}
	later := func(d time.Duration, f func()) { time.AfterFunc(d, func() { w.with(f) }) }
	m.sleep(12 * time.Second)
	killed, herded := false, false
	kinds := []func(){
		func() { // crash
			var hit []*worker
			for _, k := range w.workers {
				if k.state == "up" && !k.dead && rng.Float64() < 0.22 {
					hit = append(hit, k)
				}
			}
			w.logf("TROUBLE crash of %d", len(hit))
			for _, k := range hit {
				k := k
				k.dead = true
				down := span(5.9, 20)
				later(span(0.5, 4.8), func() {
					if k.dead && k.state == "up" {
						k.state = "removed"
						w.publish(k)
					}
				})
				later(down, func() {
					k.dead = false
					k.started = time.Now()
					k.startedMs = k.started.UnixMilli()
				})
				later(down+span(0.5, 2), func() { k.state = "up"; w.publish(k) })
			}
		},
		func() { // fast restart
			w.logf("TROUBLE restart unnoticed")
			for _, k := range w.workers {
				if k.state == "up" && !k.dead && rng.Float64() < 0.2 {
					k := k
					k.started = time.Now()
					k.startedMs = k.started.UnixMilli()
					k.startTold = time.Time{}
					later(span(0.5, 2.5), func() { w.publish(k) })
				}
			}
		},
		func() { // zone loss
			z := w.s.Zones[rng.Intn(len(w.s.Zones))]
			w.logf("TROUBLE zone %s lost", z)
			down := span(8, 20)
			for _, k := range w.workers {
				k := k
				if k.zone != z || k.state != "up" || k.dead {
					continue
				}
				k.dead = true
				later(span(0.9, 3.7), func() {
					if k.dead {
						k.state = "removed"
						w.publish(k)
					}
				})
				later(down, func() {
					k.dead = false
					k.started = time.Now()
					k.startedMs = k.started.UnixMilli()
				})
				later(down+span(0.5, 2), func() { k.state = "up"; w.publish(k) })
			}
		},
		func() { // half replaced in steps
			w.logf("TROUBLE half replaced in steps")
			var up []*worker
			for _, id := range w.order {
				if k := w.workers[id]; k.state == "up" && !k.dead {
					up = append(up, k)
				}
			}
			rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
			for i := 0; i < len(up)/2; i += 3 {
				batch := up[i:min(i+3, len(up)/2)]
				later(time.Duration(i/3)*2*time.Second, func() {
					for _, k := range batch {
						if k.state == "up" {
							w.replace(k)
						}
					}
				})
				later(time.Duration(i/3)*2*time.Second+8*time.Second, func() {
					for _, k := range batch {
						if k.state == "draining" {
							k.state = "removed"
							k.dead = true
							w.publish(k)
						}
					}
				})
			}
		},
		func() { // six in ten replaced within 7 s
			w.logf("TROUBLE six in ten replaced")
			var up []*worker
			for _, id := range w.order {
				if k := w.workers[id]; k.state == "up" && !k.dead {
					up = append(up, k)
				}
			}
			rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
			n := len(up) * 6 / 10
			for i := 0; i < n; i++ {
				k := up[i]
				later(time.Duration(i)*7*time.Second/time.Duration(n), func() {
					if k.state == "up" {
						w.replace(k)
					}
				})
			}
		},
		func() { // herd
			if w.s.Extra == 0 || herded {
				return
			}
			herded = true
			w.logf("TROUBLE the proxies of other managers come")
			for _, p := range w.proxies[w.s.Proxies:] {
				p := p
				later(span(0.1, 2.1), func() { w.join(p) })
			}
		},
		func() { // streams break and return
			w.logf("TROUBLE streams break")
			for i := 0; i < 30; i++ {
				p := w.proxies[rng.Intn(len(w.proxies))]
				d := span(0, 15)
				later(d, func() { w.leave(p) })
				later(d+span(0.3, 2.1), func() { w.join(p) })
			}
		},
		func() { // proxies restart
			w.logf("TROUBLE proxies restart")
			for i := range w.proxies {
				i := i
				if rng.Float64() < 0.7 {
					d := span(0, 15)
					later(d, func() { w.leave(w.proxies[i]) })
					later(d+span(0.3, 1.5), func() {
						old := w.proxies[i]
						if old.joined {
							return
						}
						fresh := w.newProxy(i)
						*old = *fresh
						w.join(old)
					})
				}
			}
		},
		func() { // answers lost
			w.logf("TROUBLE answers lost")
			r2 := rand.New(rand.NewSource(seed + 1))
			w.fault = func(int) string {
				if r2.Float64() < 0.4 {
					w.exempt = time.Now().Add(500 * time.Millisecond)
					return []string{"lost", "undone", "mute", "garbled"}[r2.Intn(4)]
				}
				return ""
			}
			later(span(8, 15), func() { w.fault = func(int) string { return "" } })
		},
		func() { // news broken
			w.logf("TROUBLE news broken")
			for i := 0; i < 3; i++ {
				later(span(0, 15), func() { w.exempt = time.Now().Add(4 * time.Second); w.breakNews() })
			}
		},
		func() { // reload
			if killed {
				return
			}
			killed = true
			w.logf("TROUBLE reload")
			w.exempt = time.Now().Add(4 * time.Second)
			m.reload(w.fullList())
			later(span(0.05, 3), func() { w.exempt = time.Now().Add(4 * time.Second); m.reload(w.fullList()) })
		},
		func() { // stalls
			w.logf("TROUBLE stalls of the manager")
			for i := 0; i < 4; i++ {
				d := time.Duration(i)*4*time.Second + span(0, 1)
				stop := span(1.5, 2)
				later(d, func() { m.cmd.Process.Signal(syscall.SIGSTOP); w.exempt = time.Now().Add(stop + time.Second) })
				later(d+stop, func() { m.cmd.Process.Signal(syscall.SIGCONT) })
			}
		},
		func() { // hold or rollback
			if w.s.Operator == "" || !strings.Contains(w.s.Operator, "admin") {
				return
			}
			w.logf("TROUBLE hold or rollback")
			wait, hold, key, pick := span(0, 8), rng.Intn(3) == 0, fmt.Sprint("k", rng.Int()), rng.Int()
			go func() {
				time.Sleep(wait)
				if hold {
					m.tables("hold", "--id", key, "--for", "30s")
					return
				}
				var ids []string
				for _, l := range strings.Split(m.tables("log"), "\n") {
					if f := strings.Fields(l); len(f) > 3 && strings.Contains(f[0], ".") {
						ids = append(ids, f[0])
					}
				}
				if len(ids) > 0 {
					m.tables("rollback", "--to", ids[pick%len(ids)], "--id", key, "--for", "30s")
				}
			}()
		},
		func() { // bad clients
			w.logf("TROUBLE bad clients")
			texts := []string{"", "ping\r\n", "GET / HTTP/1.1\r\n\r\n", "collector site=nowhere\r\n", "collector site=" + w.s.Zones[0] + "\r\nheard site=", "heard site=a target=b\r\n",
				strings.Repeat("x", 300000), "collector site=" + w.s.Zones[0] + "\r\n" + strings.Repeat("ping\r\n", 100), "\x00\xff\r\n", "collector site=" + w.s.Zones[0] + "\r\nusage id=99999999 lane=zz count=-1 fail=x over=nan\r\n"}
			go func() {
				for i := 0; i < 400; i++ {
					if c, err := net.Dial("tcp", m.listen); err == nil {
						go io.WriteString(c, texts[i%len(texts)])
						time.AfterFunc(8*time.Second, func() { c.Close() })
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
		},
		func() { // wrong list
			if !w.s.Dropped {
				return
			}
			w.logf("TROUBLE wrong list")
			var hit []*worker
			for _, k := range w.workers {
				if k.state == "up" && !k.dead && rng.Float64() < 0.88 {
					k.state = "removed"
					hit = append(hit, k)
				}
			}
			w.publish(hit...)
			later(span(8, 25), func() {
				for _, k := range hit {
					if k.state == "removed" {
						k.state = "up"
					}
				}
				w.publish(hit...)
			})
		},
		func() { // manager killed
			if killed {
				return
			}
			killed = true
			w.logf("TROUBLE manager killed")
			go func() {
				var list map[string]any
				w.with(func() {
					list = w.fullList()
					if rng.Intn(2) == 0 {
						list = w.firstList
					}
				})
				sig := syscall.SIGKILL
				if rng.Intn(2) == 0 {
					sig = syscall.SIGTERM
				}
				m.end(sig)
				w.with(func() {
					w.logf("manager ended")
					w.resetManagerState()
					w.ready = time.Time{}
					for _, p := range w.proxies {
						w.leave(p)
					}
				})
				time.Sleep(span(0.5, 4))
				m.start(list)
				if !m.awaitReady(10 * time.Second) {
					w.with(func() { w.violate("no crash", "", "the manager is not ready within 10 s") })
				}
				w.with(func() {
					for _, p := range w.proxies {
						p := p
						later(span(0, 2), func() { w.join(p) })
					}
				})
			}()
		},
	}
	n := 4
	for i := 0; i < n; i++ {
		k := rng.Intn(len(kinds))
		if i == 1 && w.s.Extra > 0 {
			k = 5
		}
		if i == 0 && strings.Contains(w.s.Operator, "admin") {
			k = len(kinds) - 4
		}
		w.with(kinds[k])
		m.sleep(span(0.2, 6))
	}
	m.sleep(35 * time.Second)
}
