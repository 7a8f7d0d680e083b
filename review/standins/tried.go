//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// What was tried beside the cases.

// playLastDrain drains all workers while the stream of one proxy is broken for 10 s; then the proxy joins again.
func playLastDrain(w *world, m *manager, trouble bool) {
	m.sleep(6 * time.Second)
	if trouble {
		w.with(func() { w.leave(w.proxies[0]) })
	}
	m.sleep(4 * time.Second)
	w.with(func() {
		var all []*worker
		for _, id := range w.order {
			k := w.workers[id]
			k.state = "draining"
			all = append(all, k)
		}
		w.publish(all...)
	})
	m.sleep(6 * time.Second)
	if trouble {
		w.with(func() { w.join(w.proxies[0]) })
	}
	m.sleep(10 * time.Second)
}

// playRollback rolls the tables back, kills the manager when the command has been answered, and repeats the command with
// the same key after the restart.
func playRollback(w *world, m *manager, trouble bool) {
	m.sleep(8 * time.Second)
	version := ""
	for _, l := range strings.Split(m.tables("log"), "\n") {
		if f := strings.Fields(l); len(f) > 3 && strings.Contains(f[0], ".") {
			version = f[0]
		}
	}
	first := m.tables("rollback", "--to", version, "--id", "INCIDENT-1", "--for", "1h")
	if trouble {
		m.end(syscall.SIGKILL)
		var list map[string]any
		w.with(func() {
			w.logf("manager killed")
			list = w.fullList()
			w.resetManagerState()
			w.ready = time.Time{}
			for _, p := range w.proxies {
				w.leave(p)
			}
		})
		m.sleep(time.Second)
		m.start(list)
		if !m.awaitReady(10 * time.Second) {
			fail("the manager is not ready after its restart")
		}
		w.with(func() {
			for _, p := range w.proxies {
				w.join(p)
			}
		})
		m.sleep(5 * time.Second)
	}
	second := m.tables("rollback", "--to", version, "--id", "INCIDENT-1", "--for", "1h")
	w.with(func() {
		if strings.Contains(first, "completed under key") && strings.Contains(second, "completed under key") {
			w.violate("no effect twice", "", "the rollback was carried out twice under one key")
		}
	})
	m.sleep(2 * time.Second)
}

// playWaves breaks the streams of all proxies at once, five times; each time they dial again within 0.32 to 0.5 s.
func playWaves(w *world, m *manager, trouble bool) {
	m.sleep(8 * time.Second)
	gap := 400 * time.Millisecond
	if text := os.Getenv("GAP_MS"); text != "" {
		var ms int
		fmt.Sscan(text, &ms)
		gap = time.Duration(ms) * time.Millisecond
	}
	if trouble {
		for i := 0; i < 5; i++ {
			w.with(func() {
				for _, p := range w.proxies {
					w.leave(p)
				}
			})
			m.sleep(gap)
			w.with(func() {
				for _, p := range w.proxies {
					w.join(p)
				}
			})
			m.sleep(gap)
		}
	}
	m.sleep(10 * time.Second)
}

// playCold replaces six in ten workers within 7 s and drains half of the others right after.
func playCold(w *world, m *manager, trouble bool) {
	m.sleep(12 * time.Second)
	if trouble {
		old := append([]string(nil), w.order...)
		n := len(old) * 6 / 10
		for i := 0; i < n; i++ {
			w.with(func() { w.replace(w.workers[old[i]]) })
			m.sleep(7 * time.Second / time.Duration(n))
		}
		for i := n; i < n+len(old)/5; i++ {
			w.with(func() {
				w.workers[old[i]].state = "draining"
				w.publish(w.workers[old[i]])
			})
		}
	}
	m.sleep(20 * time.Second)
}

// playEmpty has discovery send a complete list without a worker, and 8 s later the true one again.
func playEmpty(w *world, m *manager, trouble bool) {
	m.sleep(8 * time.Second)
	if trouble {
		send := func(list map[string]any) {
			w.gen++
			list["generation"] = w.gen
			line := text(list)
			w.changes = append(w.changes, line)
			for c := range w.watchers {
				c <- line
			}
		}
		w.with(func() {
			w.logf("an empty list")
			for _, k := range w.workers {
				k.listed = false
			}
			send(w.fullList())
		})
		m.sleep(8 * time.Second)
		w.with(func() {
			w.logf("the true list")
			for _, k := range w.workers {
				k.listed = true
			}
			send(w.fullList())
		})
	}
	m.sleep(10 * time.Second)
}

// playRelease replaces half of the workers in steps while the proxies of two other managers come, over a channel that may
// be slower (SLOW).
func playRelease(w *world, m *manager, trouble bool) {
	slow := 1.0
	if text := os.Getenv("SLOW"); text != "" {
		fmt.Sscan(text, &slow)
	}
	m.sleep(14 * time.Second)
	w.with(func() {
		if trouble {
			w.speed = 1 / slow
			w.s.Grace = time.Duration(float64(w.s.Grace) * slow)
			w.s.EmptyFor = time.Duration(float64(w.s.EmptyFor) * slow)
		}
		for _, p := range w.proxies[w.s.Proxies:] {
			p := p
			d := time.Duration((0.9 + 3.4*w.rng.Float64()) * float64(time.Second))
			time.AfterFunc(d, func() { w.with(func() { w.join(p) }) })
		}
	})
	old := append([]string(nil), w.order...)
	for i := 0; i < len(old)/2; i++ {
		if trouble {
			w.with(func() { w.replace(w.workers[old[i]]) })
		}
		m.sleep(500 * time.Millisecond)
	}
	m.sleep(12 * time.Second)
}

// playKeys turns the key of the versioned tables over as the operators' page says, under a hold: all replicas get both
// keys, the new one is put first in the manager's file, SIGHUP; then a replica with the new key alone starts.
func playKeys(w *world, m *manager, trouble bool) {
	oldKey, newKey := strings.Repeat("0a", 32), strings.Repeat("0b", 32)
	write := func(name, text string) string {
		path := filepath.Join(m.dir, name)
		os.WriteFile(path, []byte(text), 0o600)
		return path
	}
	replica := func(keys string, d time.Duration) string {
		cmd := exec.Command(filepath.Join(m.root, "review/bin/relay"), w.s.TablesAddress, keys, "0")
		out := &strings.Builder{}
		cmd.Stdout, cmd.Stderr = out, out
		cmd.Start()
		time.Sleep(d)
		cmd.Process.Kill()
		cmd.Wait()
		w.with(func() { w.logf("replica with %s: %s", filepath.Base(keys), out.String()) })
		return out.String()
	}
	m.sleep(8 * time.Second)
	m.tables("hold", "--id", "k1", "--for", "10m")
	replica(write("replica-old", oldKey+"\n"), 2*time.Second)
	if trouble {
		write("keys", newKey+"\n"+oldKey+"\n")
		m.cmd.Process.Signal(syscall.SIGHUP)
		m.sleep(time.Second)
	} else {
		write("replica-new", oldKey+"\n")
	}
	if trouble {
		write("replica-new", newKey+"\n")
	}
	if got := replica(filepath.Join(m.dir, "replica-new"), 30*time.Second); !strings.Contains(got, "version") || strings.Contains(got, "rejected") {
		w.with(func() { w.violate("a replica gets the tables", "", "%s", got) })
	}
}
