package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
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
		site: dispatch(false, zone{servers: 4, proxies: 2}, zone{servers: 7, proxies: 5}, zone{servers: 7, proxies: 5}),
		rule: ruleEmpty, play: switchedOff,
	},
	6: {
		site: dispatch(true, zone{servers: 5, proxies: 3}, zone{servers: 5, proxies: 3}, zone{servers: 5, proxies: 3}),
		rule: ruleEmpty, play: zoneLostUnderRollback,
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

// switchedOff has three servers of a zone switched off for over a minute and on again. Once they are warm, the fourth server
// of the zone dies.
func switchedOff(w *world, trouble troubles) error {
	time.Sleep(6 * time.Second)
	extra := []string{"s-akl-east1", "s-akl-east2", "s-akl-east3"}
	if trouble.first {
		w.change(draining, extra...)
		time.Sleep(3 * time.Second)
		w.kill(extra...)
		w.change(removed, extra...)
	}
	time.Sleep(64 * time.Second)
	if trouble.first {
		if err := w.start(extra...); err != nil {
			return err
		}
		time.Sleep(time.Second)
		w.change(up, extra...)
	}
	time.Sleep(18 * time.Second)
	if trouble.second {
		w.kill("s-akl-east4")
	}
	time.Sleep(time.Second)
	if trouble.second {
		w.change(removed, "s-akl-east4")
	}
	time.Sleep(7 * time.Second)
	return nil
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
