package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a deployment on loopback: servers, discovery, a relay with its proxies, collectors and one manager.
type world struct {
	rec       *record
	root      string // of the repository
	dir       string // temporary
	site      site
	servers   map[string]*server
	order     []string
	discovery *discovery
	relay     *relay
	manager   *exec.Cmd
	listen    string
	socket    string // of the manager's admin socket
	feed      string // address of the manager's tables for replicas; empty: none
	exited    chan error
	crashed   chan error // gets the error of a manager that ended though nobody asked for it
	answered  time.Time  // when the manager first answered

	mu       sync.Mutex
	down     bool                 // the manager is ended on purpose
	list     map[string]endpoint  // as told to the manager
	leaving  map[string]time.Time // when it was told that a server drains or is gone
	broken   map[string]int       // by rule
	worst    map[string]float64   // by rule
	reported map[string]bool      // violations that were written already
}

// Names of the rules.
const (
	ruleEmpty = "Nobody left without a server"
	ruleDrain = "Safe drain"
	ruleQueue = "A short queue"

	ruleRedial = "A relay whose stream breaks dials again"
)

func newWorld(rec *record, root string, s site, withFeed bool) (*world, error) {
	w := &world{rec: rec, root: root, site: s, servers: map[string]*server{}, list: map[string]endpoint{},
		leaving: map[string]time.Time{}, broken: map[string]int{}, worst: map[string]float64{}, reported: map[string]bool{}, crashed: make(chan error, 1)}
	var err error
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return w, err
	}
	var endpoints []endpoint
	for i, zone := range s.zones {
		for n := range zone.servers {
			id := fmt.Sprintf("s-%s%d", zone.name, n+1)
			if w.servers[id], err = newServer(id, zone.name, i); err != nil {
				return w, err
			}
			w.order = append(w.order, id)
			endpoints = append(endpoints, w.servers[id].as(up))
			w.list[id] = w.servers[id].as(up)
		}
	}
	if w.relay, err = newRelay(rec, s); err != nil {
		return w, err
	}
	for _, id := range w.order {
		w.relay.listed[id] = true
	}
	if w.discovery, err = newDiscovery(rec, endpoints); err != nil {
		return w, err
	}
	w.discovery.onTold = w.told
	if withFeed {
		free, err := listenOwn(managerNetwork)
		if err != nil {
			return w, err
		}
		w.feed = free.Addr().String()
		free.Close()
	}
	return w, w.startManager()
}

// startManager starts the manager by the deploy file's command and waits until it answers.
func (w *world) startManager() error {
	run, err := runCommand(filepath.Join(w.root, "deploy/balancer.toml"))
	if err != nil {
		return err
	}
	if w.listen == "" {
		free, err := listenOwn(managerNetwork)
		if err != nil {
			return err
		}
		w.listen = free.Addr().String()
		free.Close()
	}
	config := filepath.Join(w.dir, "config.json")
	text := w.site.configuration(w.listen, w.discovery.address, w.relay.address, w.discovery.whole(), "8c1f30d27a5be964")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	w.socket = filepath.Join(w.dir, "admin.sock")
	operator := filepath.Join(w.dir, "operator.sexp")
	operatorSettings := fmt.Sprintf("(tamarindshore (admin (socket %q)))\n", w.socket)
	if w.feed != "" {
		keys := filepath.Join(w.dir, "keys")
		if err := os.WriteFile(keys, []byte(replicaKey+"\n"), 0o600); err != nil {
			return err
		}
		operatorSettings = fmt.Sprintf("(tamarindshore (tables (listen %q) (keys %q)))\n", w.feed, keys)
	}
	if err := os.WriteFile(operator, []byte(operatorSettings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, "manager.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	w.manager = exec.Command("/bin/sh", "-c", run)
	w.manager.Dir = w.root
	w.manager.Stdout = log
	w.manager.Stderr = log
	w.manager.Env = append(os.Environ(), "PROXY_NAME=n1", "PROXY_LISTEN="+w.listen, "PROXY_DISCOVERY="+w.discovery.address,
		"PROXY_CONFIG="+config, "TAMARINDSHORE_SETTINGS="+operator, "TMPDIR="+w.dir)
	if err := w.manager.Start(); err != nil {
		return err
	}
	w.exited = make(chan error, 1)
	go w.awaitManager(w.manager, w.exited)
	w.rec.say("manager started: %s", run)
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if w.ping() {
			w.answered = time.Now()
			w.rec.say("manager answers")
			return nil
		}
	}
	return errors.New("the manager did not answer within 30 s")
}

// First bytes behind 127 of the loopback addresses that a run listens on. Those of managers and of servers differ from each
// other and from 127.0.0.1, from which connections come, so that nobody else takes a port that is free for a while.
const (
	managerNetwork = 64
	serverNetwork  = 128
)

// awaitManager reports the end of a manager.
func (w *world) awaitManager(manager *exec.Cmd, exited chan<- error) {
	err := manager.Wait()
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if !down {
		select {
		case w.crashed <- err:
		default:
		}
	}
	exited <- err
}

// killManager kills the manager: it is gone with all that it has ordered. It returns the proxies, whose streams have broken.
func (w *world) killManager() []*proxy {
	w.mu.Lock()
	w.down = true
	w.mu.Unlock()
	w.manager.Process.Kill()
	err := <-w.exited
	w.exited <- err
	w.rec.say("the manager is killed")
	return w.relay.managerDied()
}

// restartManager starts the manager again; the proxies dial again within 0.3 to 2.1 s.
func (w *world) restartManager(left []*proxy) error {
	if err := w.startManager(); err != nil {
		return err
	}
	w.mu.Lock()
	w.down = false
	w.mu.Unlock()
	for i, p := range left {
		wait := 300*time.Millisecond + time.Duration(i)*1800*time.Millisecond/time.Duration(len(left))
		time.AfterFunc(wait, func() { w.relay.rejoin(p) })
	}
	return nil
}

// listenOwn listens on any free port of a loopback address of this process.
func listenOwn(network int) (net.Listener, error) {
	id := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", network+id>>16&63, id>>8&255, 1+id&127))
	if err != nil {
		return net.Listen("tcp", "127.0.0.1:0")
	}
	return listener, nil
}

// runCommand returns the command `run` of the deploy file.
func runCommand(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		key, value, found := strings.Cut(line, "=")
		if !found || strings.TrimSpace(key) != "run" {
			continue
		}
		value = strings.TrimSpace(value)
		if end := strings.LastIndex(value, `"`); end > 0 && value[0] == '"' {
			return value[1:end], nil
		}
	}
	return "", errors.New("the deploy file has no command run")
}

// ping reports whether the manager answers a sign of life.
func (w *world) ping() bool {
	conn, err := net.DialTimeout("tcp", w.listen, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	fmt.Fprint(conn, "ping\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == "pong"
}

// close ends the manager and removes the temporary files; the manager's log goes into the record.
func (w *world) close() {
	w.mu.Lock()
	w.down = true
	w.mu.Unlock()
	if w.manager != nil && w.manager.Process != nil {
		w.manager.Process.Signal(syscall.SIGTERM)
		select {
		case <-w.exited:
		case <-time.After(2 * time.Second):
			w.manager.Process.Kill()
			<-w.exited
		}
	}
	if log, err := os.ReadFile(filepath.Join(w.dir, "manager.log")); err == nil {
		for line := range strings.Lines(string(log)) {
			w.rec.write("manager's log: %s", strings.TrimSpace(line))
		}
	}
	os.RemoveAll(w.dir)
}

// told records what discovery has written to the manager.
func (w *world) told(at time.Time, changed []endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range changed {
		w.list[e.ID] = e
		switch _, leaves := w.leaving[e.ID]; {
		case e.Lifecycle == up:
			delete(w.leaving, e.ID)
		case !leaves:
			w.leaving[e.ID] = at
		}
	}
}

// joinProxies joins all proxies. The standing table of each has up to 12 servers of its zone.
func (w *world) joinProxies() {
	id := 0
	for _, zone := range w.site.zones {
		standing := w.inZone(zone.name)
		for range zone.proxies {
			w.relay.join(id, zone.name, standing[:min(12, len(standing))])
			id++
		}
	}
	w.rec.say("%d proxies joined", id)
}

// inZone returns the servers of a zone.
func (w *world) inZone(zone string) (ids []string) {
	for _, id := range w.order {
		if w.servers[id].endpoint.Zone == zone {
			ids = append(ids, id)
		}
	}
	return ids
}

// watch checks the rules 20 times a second until stop is closed.
func (w *world) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.check(time.Now())
		}
	}
}

// check checks what the proxies hold against the rules.
func (w *world) check(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relay.mu.Lock()
	defer w.relay.mu.Unlock()
	begin := w.answered.Add(firstAnswerSlack)
	if now.Before(begin) || w.down {
		return
	}
	for id := range w.site.proxies() {
		p := w.relay.proxies[id]
		if p == nil {
			continue
		}
		for _, c := range w.site.classes {
			w.checkEmpty(now, begin, p, c)
			w.checkDrains(now, begin, p, c)
		}
	}
	w.note(ruleQueue, w.relay.mostQueue, queueCapacity, "", "lines in the channel")
}

// checkEmpty checks for how long a proxy has had no line for a class while the list shows an open server that is warm.
func (w *world) checkEmpty(now, begin time.Time, p *proxy, c class) {
	hasLine, warmListed := false, []string{}
	for id, e := range w.list {
		if p.canSend(c, id, e.Zone) {
			hasLine = true
		}
		isWarm := e.StartedAt == 0 || now.Sub(time.UnixMilli(e.StartedAt)) >= warmAfter
		if e.Lifecycle == up && isWarm && (!c.homeOnly || e.Zone == p.zone) {
			warmListed = append(warmListed, id)
		}
	}
	if hasLine || len(warmListed) == 0 {
		delete(p.emptySince, c.name)
		return
	}
	since, known := p.emptySince[c.name]
	if !known {
		since = now
		if p.joinedAt.After(since) {
			since = p.joinedAt
		}
		if begin.After(since) {
			since = begin
		}
		p.emptySince[c.name] = since
	}
	sort.Strings(warmListed)
	limit := emptyLimit + socketSlack
	w.note(ruleEmpty, now.Sub(since).Seconds(), limit.Seconds(), fmt.Sprintf("proxy %d (%s), class %s", p.id, p.zone, c.name),
		fmt.Sprintf("s without a line; listed up and warm: %s; its lines: %s", strings.Join(warmListed, " "), lines(p, c)))
}

// lines describes what a proxy holds for a class.
func lines(p *proxy, c class) string {
	var all []string
	for server, weight := range p.holds[c.name] {
		text := fmt.Sprintf("%s=%g", server, weight)
		if p.withdrawn[server] {
			text += "(withdrawn)"
		}
		all = append(all, text)
	}
	slices.Sort(all)
	if len(all) == 0 {
		return "none"
	}
	return strings.Join(all, " ")
}

// checkDrains checks for how long a proxy may still send to servers that drain or are gone.
func (w *world) checkDrains(now, begin time.Time, p *proxy, c class) {
	for server, since := range w.leaving {
		if !p.canSend(c, server, w.list[server].Zone) {
			continue
		}
		for _, later := range []time.Time{p.joinedAt, begin} {
			if later.After(since) {
				since = later
			}
		}
		limit := drainGrace + socketSlack
		w.note(ruleDrain, now.Sub(since).Seconds(), limit.Seconds(), fmt.Sprintf("proxy %d (%s), class %s, server %s", p.id, p.zone, c.name, server),
			"s after it was told")
	}
}

// note records a value of a rule. A value over the limit breaks the rule; the first one of each subject is written.
func (w *world) note(rule string, value, limit float64, subject, text string) {
	w.worst[rule] = max(w.worst[rule], value)
	if value <= limit {
		return
	}
	w.broken[rule]++
	if key := rule + subject; !w.reported[key] {
		w.reported[key] = true
		w.rec.say("BROKEN %q: %s: %.2f (limit %.2f) %s", rule, subject, value, limit, text)
	}
}

// report passes the collectors' sums to the manager once a second until stop is closed: what the proxies of each zone met
// in the second before, by the lines that they hold.
func (w *world) report(zone string, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(52, uint64(len(zone)+int(zone[0]))))
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var late [][]string // the sums arrive a second late
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		late = append(late, w.sums(zone, random))
		if len(late) < 2 {
			continue
		}
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", w.listen, 300*time.Millisecond)
			if err != nil {
				late = late[1:]
				continue
			}
			conn = dialed
			fmt.Fprintf(conn, "collector site=%s\r\n", zone)
		}
		text := strings.Join(late[0], "")
		late = late[1:]
		conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := conn.Write([]byte(text)); err != nil {
			conn.Close()
			conn = nil
		}
	}
}

// sums returns the reports of a second. Requests are spread over the lines by weight; those to a server that does not work
// fail.
func (w *world) sums(zone string, random *rand.Rand) (reports []string) {
	w.relay.mu.Lock()
	defer w.relay.mu.Unlock()
	tries := map[string]float64{}
	refused := map[string]int{}
	for id := range w.site.proxies() {
		p := w.relay.proxies[id]
		if p == nil || p.zone != zone {
			continue
		}
		for _, c := range w.site.classes {
			total := 0.0
			for server, weight := range p.holds[c.name] {
				if p.canSend(c, server, w.servers[server].endpoint.Zone) {
					total += weight
				}
			}
			count := requestsPerProxy * c.share
			if total == 0 {
				refused[c.name] += round(count, random)
			}
			for server, weight := range p.holds[c.name] {
				if p.canSend(c, server, w.servers[server].endpoint.Zone) {
					tries[server] += count * weight / total
				}
			}
			reports = append(reports, fmt.Sprintf("usage id=%d lane=%s count=%d fail=0 over=1000.0\r\n", id, c.name, round(count, random)))
		}
	}
	ran := ""
	for _, server := range w.order {
		count := round(tries[server], random)
		if count == 0 {
			continue
		}
		s := w.servers[server]
		outcome := ""
		if !s.works() {
			outcome = " failed"
		}
		ran += fmt.Sprintf(" %s: %d%s,", server, count, outcome)
		load := tries[server] * 0.3 * float64(len(w.site.zones))
		s.setLoad(load)
		if s.works() {
			reports = append(reports, fmt.Sprintf("heard site=%s target=%s count=%d fail=0 mean=%.1f over=1000.0 util=inflight:%.0f\r\n",
				zone, server, count, 300+20*random.Float64(), load))
		} else {
			reports = append(reports, fmt.Sprintf("heard site=%s target=%s count=%d fail=%d mean=0.0 over=1000.0\r\n", zone, server, count, count))
		}
	}
	w.rec.write("requests of %s in a second:%s refused for want of a line: %v", zone, ran, refused)
	return reports
}

// round rounds up or down by chance, so that the mean stays.
func round(x float64, random *rand.Rand) int { return int(x + random.Float64()) }
