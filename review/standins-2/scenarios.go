package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// dispatch returns a small deployment. Where homeOnly is set, the class job-book keeps to the proxy's zone.
func dispatch(homeOnly bool, east, south, west zone) site {
	east.name, south.name, west.name = "akl-east", "akl-south", "akl-west"
	return site{
		zones: []zone{east, south, west},
		classes: []class{
			{name: "route-quote", share: 0.65, repeat: "idempotent", aim: 2 * time.Second, deadline: 6 * time.Second, worth: 1},
			{name: "rider-update", share: 0.19, repeat: "idempotent", aim: 1200 * time.Millisecond, deadline: 4 * time.Second, worth: 2},
			{name: "job-book", share: 0.16, repeat: "at_most_once", aim: 1200 * time.Millisecond, deadline: 4 * time.Second, worth: 3,
				homeOnly: homeOnly},
		},
	}
}

var scenarios = map[int]scenario{
	4: {
		site: dispatch(false, zone{servers: 6, proxies: 3}, zone{servers: 5, proxies: 3}, zone{servers: 4, proxies: 3}),
		rule: ruleEmpty, play: replacedAndLost,
	},
	5: {
		site: dispatch(true, zone{servers: 5, proxies: 3}, zone{servers: 5, proxies: 3}, zone{servers: 5, proxies: 3}),
		rule: ruleEmpty, play: zoneLostUnderRollback,
	},
	6: {
		site: dispatch(false, zone{servers: 5, proxies: 3}, zone{servers: 5, proxies: 3}, zone{servers: 5, proxies: 3}),
		feed: true, rule: ruleRedial, play: managerVanishes,
	},
}

// listDelay is how long after a new server's start discovery lists it.
const listDelay = 2500 * time.Millisecond

// replacedAndLost has 9 of the 15 servers, those of two zones, replaced by new ones within 7 s. 8 s after their start the third
// zone is lost for 20 s.
func replacedAndLost(w *world, trouble troubles) error {
	time.Sleep(6 * time.Second)
	old := append(w.inZone("akl-south"), w.inZone("akl-west")...)
	lost := w.inZone("akl-east")
	if trouble.first {
		fresh, err := w.replacements(old)
		if err != nil {
			return err
		}
		time.Sleep(listDelay)
		w.change(up, fresh...)
		time.Sleep(time.Second)
		w.change(draining, old...)
		time.Sleep(2 * time.Second)
		w.kill(old...)
		w.change(removed, old...)
		time.Sleep(2500 * time.Millisecond)
	} else {
		time.Sleep(8 * time.Second)
	}
	if trouble.second {
		w.kill(lost...)
		time.Sleep(time.Second)
		w.change(removed, lost...)
	}
	time.Sleep(19 * time.Second)
	return nil
}

// replacements starts a new server in the zone of each given one. Discovery does not list it yet.
func (w *world) replacements(old []string) (fresh []string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relay.mu.Lock()
	defer w.relay.mu.Unlock()
	for _, id := range old {
		s, err := newServer("n-"+id, w.servers[id].endpoint.Zone, 0)
		if err != nil {
			return nil, err
		}
		s.endpoint.StartedAt = time.Now().UnixMilli()
		id = s.endpoint.ID
		w.servers[id] = s
		w.order = append(w.order, id)
		w.relay.listed[id] = true
		fresh = append(fresh, id)
	}
	w.rec.say("started: %v", fresh)
	return fresh, nil
}

// zoneLostUnderRollback has all servers of a zone lost for 12 s while an operator's rollback is in force.
func zoneLostUnderRollback(w *world, trouble troubles) error {
	time.Sleep(8 * time.Second)
	log, err := w.operate("log")
	if err != nil {
		return err
	}
	version, _, _ := strings.Cut(log, " ")
	if _, err := w.operate("rollback", "--to", version, "--id", "INCIDENT-1", "--for", "1h"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	lost := w.inZone("akl-east")
	if trouble.first {
		w.kill(lost...)
		time.Sleep(time.Second)
		w.change(removed, lost...)
	}
	time.Sleep(11 * time.Second)
	if trouble.first {
		if err := w.start(lost...); err != nil {
			return err
		}
		time.Sleep(time.Second)
		w.change(up, lost...)
	}
	time.Sleep(30 * time.Second)
	_, err = w.operate("log")
	return err
}

// redialLimit is the time within which a relay joins again: it notices a broken stream after 3 s at most, and dials again
// within 2.1 s of that.
const redialLimit = 5100 * time.Millisecond

// managerVanishes has the manager's machine vanish and come back 5 s later, while a replica follows its tables. The second
// disruption alone kills the manager in a way that the replica sees: its connection is reset.
func managerVanishes(w *world, trouble troubles) error {
	path, err := newLink(w.feed)
	if err != nil {
		return err
	}
	first, err := w.startReplica("first", path.address)
	if err != nil {
		return err
	}
	defer first.stop()
	time.Sleep(10 * time.Second)
	if trouble.first {
		w.rec.say("the manager's machine vanishes: open connections stay open and silent")
		path.vanish()
	}
	if trouble.second {
		left := w.killManager()
		time.Sleep(5 * time.Second)
		if err := w.restartManager(left); err != nil {
			return err
		}
	}
	path.back()
	back := time.Now()
	time.Sleep(4 * time.Second)
	second, err := w.startReplica("second", path.address)
	if err != nil {
		return err
	}
	defer second.stop()
	time.Sleep(6 * time.Second)
	const drained = "s-akl-east1"
	w.change(draining, drained)
	told := time.Now()
	const limit = drainGrace + socketSlack
	time.Sleep(limit + 100*time.Millisecond) // the replica's lines are read a little later than they are printed
	before := [2]int{first.count("picks " + drained), second.count("picks " + drained)}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if trouble.first && first.count("dials") == 1 { // not since the start of the run
			w.noteLocked(ruleRedial, time.Since(back).Seconds(), redialLimit.Seconds(), "first replica", "s after the manager is back, not dialled again")
		}
		if late := first.count("picks "+drained) - before[0]; late > 0 {
			w.noteLocked(ruleDrain, time.Since(told).Seconds(), limit.Seconds(), "first replica, server "+drained, "s after the manager was told, picked again")
		}
	}
	w.rec.say("picks of %s later than the grace after its drain: first replica %d, second replica %d", drained,
		first.count("picks "+drained)-before[0], second.count("picks "+drained)-before[1])
	w.rec.say("versions applied: first replica %d, second replica %d", first.count("applies"), second.count("applies"))
	if second.count("picks "+drained) > before[1] || second.count("applies") == 0 {
		return errors.New("the second replica doesn't follow the manager either")
	}
	return nil
}

// replica is a process that follows the manager's tables.
type replica struct {
	command *exec.Cmd

	mu    sync.Mutex
	lines []string
}

// startReplica starts a process that follows the tables at an address, and records what it prints.
func (w *world) startReplica(name, address string) (*replica, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &replica{command: exec.Command(program, "-replica", address)}
	output, err := r.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	w.rec.say("%s replica started", name)
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			w.rec.write("%s replica %s", name, lines.Text())
			r.mu.Lock()
			r.lines = append(r.lines, lines.Text())
			r.mu.Unlock()
		}
	}()
	return r, nil
}

// count returns how many lines with a prefix the replica has printed.
func (r *replica) count(prefix string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		if strings.HasPrefix(line, prefix) {
			n++
		}
	}
	return n
}

func (r *replica) stop() {
	r.command.Process.Kill()
	r.command.Wait()
}

// noteLocked is note for callers that don't hold the lock.
func (w *world) noteLocked(rule string, value, limit float64, subject, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(rule, value, limit, subject, text)
}

// operate gives an operator's command to the manager, by the project's own program.
func (w *world) operate(words ...string) (string, error) {
	command := exec.Command(filepath.Join(w.root, "bin/tamarindshore"), append([]string{"tables", words[0], "--socket", w.socket}, words[1:]...)...)
	output, err := command.CombinedOutput()
	w.rec.say("operator: tables %s: %s", strings.Join(words, " "), strings.TrimSpace(string(output)))
	if err != nil {
		return "", fmt.Errorf("tables %s: %w", words[0], err)
	}
	return string(output), nil
}

// kill ends the processes of servers.
func (w *world) kill(ids ...string) {
	for _, id := range ids {
		w.servers[id].kill()
	}
	w.rec.say("died: %v", ids)
}

// start starts servers again; they are cold.
func (w *world) start(ids ...string) error {
	for _, id := range ids {
		if err := w.servers[id].start(); err != nil {
			return err
		}
	}
	w.rec.say("started: %v", ids)
	return nil
}

// change publishes a lifecycle of servers.
func (w *world) change(lifecycle string, ids ...string) {
	var changed []endpoint
	for _, id := range ids {
		changed = append(changed, w.servers[id].as(lifecycle))
	}
	w.discovery.publish(changed...)
	w.rec.say("discovery publishes %s: %v", lifecycle, ids)
}
