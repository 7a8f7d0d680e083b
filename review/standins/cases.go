//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// playJoin replaces six in ten workers within 7 s, one after the other: each gets a successor with a new id and drains. It
// takes those first that the proxies of the first zone use.
func playJoin(w *world, m *manager, trouble bool) {
	m.sleep(14 * time.Second)
	if trouble {
		old := append([]string(nil), w.order...)
		n := w.s.Servers * 6 / 10
		for i := 0; i < n; i++ {
			w.with(func() { w.replace(w.nextOld(old)) })
			m.sleep(7 * time.Second / time.Duration(n))
		}
	}
	m.sleep(16 * time.Second)
}

// nextOld returns the next worker to replace: one that the first proxy uses, or else any.
func (w *world) nextOld(old []string) *worker {
	used := w.proxies[0].lines(classNames[0])
	var any *worker
	for _, id := range old {
		k := w.workers[id]
		if k.state != "up" {
			continue
		}
		if used[id] > 0 {
			return k
		}
		if any == nil {
			any = k
		}
	}
	return any
}

// playReturn switches half of the workers off (drained, then removed), switches them on again after a while under their
// ids, and drains the others in steps when these are warm.
func playReturn(w *world, m *manager, trouble bool) {
	away := 66.0
	if text := os.Getenv("AWAY"); text != "" {
		fmt.Sscan(text, &away)
	}
	m.sleep(5 * time.Second)
	var half, rest []*worker
	w.with(func() {
		for i, id := range w.order {
			if i < len(w.order)/2 {
				half = append(half, w.workers[id])
			} else {
				rest = append(rest, w.workers[id])
			}
		}
	})
	setAll := func(list []*worker, state string) {
		w.with(func() {
			for _, k := range list {
				k.state = state
				k.dead = state == "removed"
				if state == "up" {
					k.started = time.Now()
					k.startedMs = k.started.UnixMilli()
				}
			}
			w.publish(list...)
		})
	}
	if trouble {
		setAll(half, "draining")
		m.sleep(3 * time.Second)
		setAll(half, "removed")
		m.sleep(time.Duration(away * float64(time.Second)))
		setAll(half, "up")
		w.with(func() {
			for _, k := range half {
				k.sentTotal = 0
			}
		})
		m.sleep(w.s.WarmAfter - 3*time.Second)
	}
	for i := 0; i < 5; i++ {
		setAll(rest[i*len(rest)/5:(i+1)*len(rest)/5], "draining")
		m.sleep(time.Second)
	}
	m.sleep(6 * time.Second)
	w.with(func() {
		total := 0
		for _, k := range half {
			total += k.sentTotal
		}
		w.logf("the first half of the workers got %d requests since it was listed as up", total)
	})
}

// playUnanswered has the relay carry out all calls of 4 s without an answer: the connection breaks. One worker drains at
// the beginning of that time, another half a second after its end.
func playUnanswered(w *world, m *manager, trouble bool) {
	kind := "lost" // carried out; "undone" is not carried out
	if text := os.Getenv("CALLS"); text != "" {
		kind = text
	}
	m.sleep(25 * time.Second)
	drain := func() {
		w.with(func() {
			k := w.nextOld(w.order)
			k.state = "draining"
			w.publish(k)
		})
	}
	w.with(func() {
		if trouble {
			w.logf("the relay does not answer")
			w.fault = func(int) string {
				w.exempt = time.Now().Add(500 * time.Millisecond)
				return kind
			}
		}
	})
	m.sleep(300 * time.Millisecond)
	drain()
	m.sleep(3700 * time.Millisecond)
	w.with(func() {
		w.logf("the relay answers again")
		w.fault = func(int) string { return "" }
	})
	m.sleep(500 * time.Millisecond)
	drain()
	m.sleep(8 * time.Second)
}
