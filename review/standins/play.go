//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Discovery.

func (w *world) entry(k *worker) map[string]any {
	return map[string]any{"instanceId": k.id, "hostPort": k.addr, "zone": k.zone, "machineType": "m2", "cell": 0,
		"lifecycle": k.state, "weight": 1.0, "startedAtMs": k.startedMs}
}

func (w *world) fullList() map[string]any {
	list := []any{}
	for _, id := range w.order {
		if k := w.workers[id]; k.listed && k.state != "removed" {
			list = append(list, w.entry(k))
		}
	}
	return map[string]any{"generation": w.gen, "reset": true, "instances": list}
}

func text(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// publish tells the manager of a change of some workers, as one line of the watch; the caller holds the lock.
func (w *world) publish(changed ...*worker) {
	w.gen++
	entries := []any{}
	for _, k := range changed {
		k.listed = true
		entries = append(entries, w.entry(k))
		w.told(k)
		w.logf("list %d: %s is %s started=%d", w.gen, k.id, k.state, k.startedMs)
	}
	line := text(map[string]any{"generation": w.gen, "reset": false, "instances": entries})
	w.changes = append(w.changes, line)
	for c := range w.watchers {
		select {
		case c <- line:
		default:
		}
	}
}

// told records when the manager was told of the state of a worker. A line counts as told when it is handed to the
// watch's connection, or 6 s later at the latest; here watches are open, so it is at once.
func (w *world) told(k *worker) {
	now := time.Now()
	if k.state == "up" {
		k.toldAt = time.Time{}
		k.startTold = now
	} else if k.toldAt.IsZero() && (k.state == "draining" || !w.s.Dropped) {
		k.toldAt = now
	}
}

func (w *world) serveList(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	if w.discDown {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if r.FormValue("watch") == "" {
		t := text(w.fullList())
		w.mu.Unlock()
		io.WriteString(rw, t+"\n")
		return
	}
	var after int64
	fmt.Sscan(r.FormValue("after"), &after)
	c := make(chan string, 4096)
	var first []string
	switch {
	case after == w.gen:
	case after >= w.firstGen && after < w.gen:
		merged := []any{}
		for _, line := range w.changes[after-w.firstGen:] {
			var l struct{ Instances []any }
			json.Unmarshal([]byte(line), &l)
			merged = append(merged, l.Instances...)
		}
		first = append(first, text(map[string]any{"generation": w.gen, "reset": false, "instances": merged}))
	default:
		first = append(first, text(w.fullList()))
	}
	w.watchers[c] = true
	w.logf("watch opened after=%d", after)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.watchers, c)
		w.mu.Unlock()
	}()
	f := rw.(http.Flusher)
	rw.WriteHeader(200)
	for _, l := range first {
		io.WriteString(rw, l+"\n")
	}
	f.Flush()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		select {
		case l := <-c:
			io.WriteString(rw, l+"\n")
		case <-tick.C:
			io.WriteString(rw, "\n")
		case <-r.Context().Done():
			return
		}
		f.Flush()
	}
}

// Relay.

func (w *world) serveCall(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	form, err2 := url.ParseQuery(string(body))
	list := form.Get("orders")
	if err != nil || err2 != nil || form.Get("Action") != "CommitChanges" || len(list) > 60000 {
		io.WriteString(rw, `<?xml version="1.0"?><Response><error>SYNTAX</error></Response>`)
		return
	}
	w.mu.Lock()
	w.calls++
	n := w.calls
	fault := w.fault(n)
	taken := 0
	all := strings.Split(list, ";")
	if fault != "undone" && fault != "busy" {
		taken = w.orders(all)
	}
	w.logf("call %d %s: taken %d of %d: %s", n, fault, taken, len(all), list)
	w.mu.Unlock()
	switch fault {
	case "undone", "lost":
		breakConn(rw)
	case "mute":
		<-r.Context().Done()
	case "busy":
		io.WriteString(rw, `<?xml version="1.0"?><Response><error>BUSY</error></Response>`)
	case "garbled":
		io.WriteString(rw, `<?xml version="1.0"?><Response><items><item><tak`)
	default:
		fmt.Fprintf(rw, `<?xml version="1.0"?><Response><items><item><taken>%d</taken></item></items></Response>`, taken)
	}
}

func breakConn(rw http.ResponseWriter) {
	if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (w *world) serveNews(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	if w.newsDown {
		w.mu.Unlock()
		breakConn(rw)
		return
	}
	c := make(chan string, 65536)
	first := ""
	for _, p := range w.proxies {
		if p.joined {
			fresh := 0
			if len(p.bound) == 0 {
				fresh = 1
			}
			first += fmt.Sprintf("event: joined\ndata: id=%d&site=%s&rps=%.1f&new=%d\n\n", p.id, p.zone, w.rate(p), fresh)
		}
	}
	w.news[c] = true
	w.logf("news opened")
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.news, c)
		w.mu.Unlock()
	}()
	rw.Header().Set("Content-Type", "text/event-stream")
	f := rw.(http.Flusher)
	rw.WriteHeader(200)
	io.WriteString(rw, first)
	f.Flush()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case e, open := <-c:
			if !open {
				breakConn(rw)
				return
			}
			io.WriteString(rw, e)
		case <-tick.C:
			io.WriteString(rw, ":\n")
		case <-r.Context().Done():
			return
		}
		f.Flush()
	}
}

// breakNews breaks the news connections; the caller holds the lock.
func (w *world) breakNews() {
	for c := range w.news {
		delete(w.news, c)
		close(c)
	}
	w.logf("news broken by the relay")
}

// Workers.

func (w *world) serveWorker(k *worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		k.probes++
		state, dead, silent := k.state, k.dead, k.silent
		w.mu.Unlock()
		switch {
		case dead:
			breakConn(rw)
		case silent:
			<-r.Context().Done()
		case state == "draining":
			rw.WriteHeader(503)
		case r.URL.Path == "/metrics/load":
			io.WriteString(rw, "TEXT inflight=2, util=0.3")
		}
	})
}

// addWorker starts a worker; the caller holds the lock.
func (w *world) addWorker(zone string, fresh bool) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	k := &worker{id: fmt.Sprintf("s-%08x", w.rng.Uint32()), zone: zone, addr: l.Addr().String(), state: "up"}
	if fresh {
		k.started = time.Now()
		k.startedMs = k.started.UnixMilli()
	}
	w.workers[k.id] = k
	w.order = append(w.order, k.id)
	go http.Serve(l, w.serveWorker(k))
	return k
}

// Traffic.

// runTraffic has each proxy send requests by what it holds, and checks the rules by what is sent.
func (w *world) runTraffic() {
	last := time.Now()
	lastLog := time.Now()
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		dt := now.Sub(last).Seconds()
		last = now
		for _, p := range w.proxies {
			w.checkBare(p, now)
			p.carry += w.rate(p) * dt
			for p.carry >= 1 {
				p.carry--
				w.request(p, now)
			}
		}
		for _, k := range w.workers {
			w.checkCold(k, now)
		}
		if now.Sub(lastLog) >= time.Second {
			lastLog = now
			w.logSends()
		}
		w.mu.Unlock()
	}
}

func (w *world) checkBare(p *proxy, now time.Time) {
	for _, c := range classNames {
		usable := false
		for s, wt := range p.lines(c) {
			if wt > 0 && !p.withdrawn[s] && w.open(p, c, s) {
				usable = true
			}
		}
		since := p.bareSince[c]
		switch {
		case usable || !p.joined || !w.warmListed(p, c, now):
			delete(p.bareSince, c)
		case since.IsZero():
			p.bareSince[c] = now
		default:
			if from := w.since(since); now.Sub(from) > w.s.EmptyFor+slack {
				w.violate("nobody left without a server", fmt.Sprint(p.id), "proxy %d has no line to pick for %s for %.2f s", p.id, c, now.Sub(from).Seconds())
			}
		}
	}
}

func (w *world) request(p *proxy, now time.Time) {
	x := w.rng.Float64()
	class := classNames[0]
	ci := 0
	for i, s := range classShare {
		if x < s {
			class, ci = classNames[i], i
			break
		}
		x -= s
	}
	p.usage[class]++
	if t, ok := p.bound[class]; ok {
		if l, ok := p.levels[t][class]; ok {
			share := l.amount
			if w.s.Admit == "rate" {
				share = l.amount / (w.rate(p) * classShare[ci])
			}
			if w.rng.Float64() >= share {
				return
			}
		}
	}
	var names []string
	total := 0.0
	l := p.lines(class)
	for s, wt := range l {
		if wt > 0 && !p.withdrawn[s] && w.open(p, class, s) {
			names = append(names, s)
			total += wt
		}
	}
	if len(names) == 0 {
		return
	}
	sort.Strings(names)
	pick := w.rng.Float64() * total
	chosen := names[len(names)-1]
	for _, s := range names {
		if pick < l[s] {
			chosen = s
			break
		}
		pick -= l[s]
	}
	k := w.workers[chosen]
	w.sentSec[chosen]++
	k.sentTotal++
	k.sends = append(k.sends, now)
	if !p.joined {
		return
	}
	if w.heard[p.zone] == nil {
		w.heard[p.zone] = map[string]*tally{}
	}
	t := w.heard[p.zone][chosen]
	if t == nil {
		t = &tally{}
		w.heard[p.zone][chosen] = t
	}
	t.count++
	if k.dead || k.silent {
		t.fail++
	}
	if p.joined && !k.toldAt.IsZero() {
		from := k.toldAt
		if p.joinedAt.After(from) {
			from = p.joinedAt
		}
		from = w.since(from)
		if over := now.Sub(from); over > w.s.Grace+slack {
			k.late++
			k.lateLast = now
			w.violate("drains are kept", k.id, "proxy %d sends %s to %s (%s) %.2f s after the manager was told or the proxy joined; the grace is %.1f s and 0.3 s",
				p.id, class, k.id, k.state, over.Seconds(), w.s.Grace.Seconds())
		}
	}
}

// checkCold compares what a cold worker was sent within the span with what it can do.
func (w *world) checkCold(k *worker, now time.Time) {
	i := 0
	for i < len(k.sends) && now.Sub(k.sends[i]) > w.s.OverloadFor {
		i++
	}
	k.sends = k.sends[i:]
	age := now.Sub(k.started)
	if k.started.IsZero() || age >= w.s.WarmAfter || k.dead || k.startTold.IsZero() {
		return
	}
	from := w.since(k.startTold)
	if now.Sub(from) < w.s.Grace+slack+w.s.OverloadFor {
		return
	}
	able := w.s.Capacity * (w.s.ColdFrom + (1-w.s.ColdFrom)*age.Seconds()/w.s.WarmAfter.Seconds())
	most := w.s.Overload * able * w.s.OverloadFor.Seconds()
	if float64(len(k.sends)) > most*1.1+3 {
		w.violate("no cold worker is pushed over", k.id, "%s, started %.1f s ago, was sent %d requests in %v; %.1f are allowed", k.id, age.Seconds(), len(k.sends), w.s.OverloadFor, most)
	}
}

func (w *world) logSends() {
	var parts []string
	for s, n := range w.sentSec {
		parts = append(parts, fmt.Sprintf("%s=%d", s, n))
	}
	sort.Strings(parts)
	w.logf("requests in 1 s: %s", strings.Join(parts, " "))
	w.sentSec = map[string]int{}
}

// Collectors.

func (w *world) runCollector(zone, manager string) {
	for {
		c, err := net.Dial("tcp", manager)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		fmt.Fprintf(c, "collector site=%s\r\n", zone)
		for {
			time.Sleep(w.s.Period)
			out := w.report(zone)
			if _, err := io.WriteString(c, out); err != nil {
				c.Close()
				break
			}
		}
	}
}

// pendingReports holds, by zone, the reports that are still on their way.
var pendingReports = map[string][]string{}

// report returns the sums of a zone's proxies of some periods ago.
func (w *world) report(zone string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	over := float64(w.s.Period.Milliseconds())
	out := ""
	var ids []string
	for s := range w.heard[zone] {
		ids = append(ids, s)
	}
	sort.Strings(ids)
	for _, s := range ids {
		t := w.heard[zone][s]
		util := ""
		if w.s.Report == "piggyback" {
			util = " util=inflight:2"
		}
		mean := ""
		if t.fail < t.count {
			mean = fmt.Sprintf(" mean=%.1f", w.mean(zone, s))
		}
		out += fmt.Sprintf("heard site=%s target=%s count=%d fail=%d%s over=%.1f%s\r\n", zone, s, t.count, t.fail, mean, over, util)
	}
	w.heard[zone] = map[string]*tally{}
	for _, p := range w.proxies {
		if p.zone != zone || !p.joined {
			continue
		}
		for _, c := range classNames {
			if n := p.usage[c]; n > 0 {
				out += fmt.Sprintf("usage id=%d lane=%s count=%d fail=0 over=%.1f\r\n", p.id, c, n, over)
			}
		}
		p.usage = map[string]int{}
	}
	q := append(pendingReports[zone], out)
	late := int(w.s.HeardLate / w.s.Period)
	if len(q) <= late {
		pendingReports[zone] = q
		return ""
	}
	pendingReports[zone] = q[1:]
	return q[0]
}

// The manager.

type manager struct {
	w                       *world
	root                    string
	dir                     string
	listen                  string
	disc                    string
	relay                   string
	extra                   []string
	cmd                     *exec.Cmd
	done                    chan struct{}
	starts                  int
	ended                   bool // ended by the script
	logFile                 *os.File
	discServer, relayServer *http.Server
}

// freeAddress returns an address for the manager, on a loopback address that other processes do not use.
func freeAddress() string {
	id := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+id>>16&63, id>>8&255, 1+id&127))
	if err != nil {
		fail("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// writeConfig writes the configuration file; the caller holds the lock.
func (m *manager) writeConfig(known any) {
	s := m.w.s
	us := func(d time.Duration) int64 { return d.Microseconds() }
	classes := []any{
		map[string]any{"name": "route-plan", "aimUs": 1500000, "hardLimitUs": 5000000, "worth": 1, "repeat": "idempotent", "group": "all", "windowUs": 5000000, "lateShare": 0.1},
		map[string]any{"name": "price-quote", "aimUs": 600000, "hardLimitUs": 2000000, "worth": 1, "repeat": "idempotent", "group": "all", "windowUs": 5000000, "lateShare": 0.1},
		map[string]any{"name": "job-booking", "aimUs": 800000, "hardLimitUs": 2500000, "worth": 5, "repeat": "at_most_once", "group": "all", "windowUs": 5000000, "lateShare": 0.2},
	}
	rules := map[string]any{"askEveryUs": 10000000, "coldFrom": s.ColdFrom, "drainGraceUs": us(s.Grace), "overloadFactor": s.Overload,
		"overloadForUs": us(s.OverloadFor), "warmAfterUs": us(s.WarmAfter)}
	if s.Dropped {
		rules["droppedStayOpen"] = true
	}
	settings := map[string]any{
		"classes": classes, "zones": s.Zones, "zone": s.Zones[0], "me": 0, "peersTotal": max(1, s.Managers), "membershipMode": s.Mode, "weightSource": "rough",
		"family": "control", "worthBy": "request", "stepUs": 2000, "report": map[string]any{"how": s.Report, "fields": []string{"outstanding"}},
		"limits": map[string]any{"connIdleUs": 15000000, "connectTimeoutUs": 300000, "cpuUsPerS": 400000, "maxStreams": 32, "peerMessages": false, "probing": true},
		"rules":  rules,
		"domain": map[string]any{"admit": s.Admit, "byZone": false, "egressPerS": s.Egress, "emptyForUs": us(s.EmptyFor), "envelope": s.Envelope,
			"homeOnly": s.homeOnly(), "initialSet": s.Standing, "lineFee": 0.04, "messagesMost": s.MessagesMost, "movePrice": 0.01,
			"oneOwner": false, "outlierAfter": 0, "periodUs": us(s.Period), "pick": "weighted", "propagationUs": us(s.Late), "proxies": max(s.Proxies, s.Total),
			"queueCap": s.QueueCap, "ranges": 0, "reloadSpanUs": us(s.ReloadSpan), "reportsPerS": 200, "socketsMin": 194, "tryAims": 1,
			"usualHow": s.UsualHow, "warmKeys": false, "worstTransitUs": us(2 * s.Late), "writeClasses": []bool{false, false, true}, "writeLifeUs": 2520000},
	}
	m.starts++
	file := map[string]any{"name": "n1", "listen": m.listen, "discovery": m.disc, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", m.starts),
		"limits": map[string]any{"cores": max(1, s.Cores), "memory_mb": 192, "sockets": 1024}, "store": map[string]any{"address": m.relay},
		"known": known, "settings": settings}
	path := filepath.Join(m.dir, "config.json")
	if err := os.WriteFile(path+".new", []byte(text(file)), 0o644); err != nil {
		fail("%v", err)
	}
	os.Rename(path+".new", path)
}

// runLine returns the value of run in the deploy file.
func runLine(root string) string {
	f, err := os.Open(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		fail("%v", err)
	}
	defer f.Close()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if rest, ok := strings.CutPrefix(sc.Text(), "run = \""); ok {
			return rest[:strings.Index(rest, "\"")]
		}
	}
	fail("no run line in the deploy file")
	return ""
}

func (m *manager) start(known any) {
	m.writeConfig(known)
	if m.w.s.TablesAddress != "" && m.starts == 1 {
		os.WriteFile(filepath.Join(m.dir, "keys"), []byte(strings.Repeat("0a", 32)+"\n"), 0o600)
	}
	m.cmd = exec.Command("/bin/sh", "-c", runLine(m.root))
	m.cmd.Dir = m.root
	m.cmd.Env = append(os.Environ(), "PROXY_NAME=n1", "PROXY_LISTEN="+m.listen, "PROXY_DISCOVERY="+m.disc, "PROXY_CONFIG="+filepath.Join(m.dir, "config.json"),
		"TMPDIR="+m.dir)
	if m.w.s.Operator != "" {
		settings := filepath.Join(m.dir, "operator.sexp")
		os.WriteFile(settings, []byte(strings.ReplaceAll(m.w.s.Operator, "DIR", m.dir)), 0o644)
		m.cmd.Env = append(m.cmd.Env, "TAMARINDSHORE_SETTINGS="+settings)
	}
	m.cmd.Env = append(m.cmd.Env, m.extra...)
	m.cmd.Stdout = m.logFile
	m.cmd.Stderr = m.logFile
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		fail("start the manager: %v", err)
	}
	m.w.logf("manager started, pid %d", m.cmd.Process.Pid)
	m.ended = false
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		cmd.Wait()
		close(done)
	}(m.cmd, m.done)
}

// awaitReady waits until the manager answers ping.
func (m *manager) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		c, err := net.DialTimeout("tcp", m.listen, 200*time.Millisecond)
		if err == nil {
			c.SetDeadline(time.Now().Add(500 * time.Millisecond))
			io.WriteString(c, "ping\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if strings.TrimSpace(line) == "pong" {
				m.w.mu.Lock()
				m.w.ready = time.Now()
				m.w.logf("manager is ready")
				m.w.mu.Unlock()
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// end ends the manager with a signal and waits.
func (m *manager) end(sig syscall.Signal) {
	m.ended = true
	m.cmd.Process.Signal(sig)
	select {
	case <-m.done:
	case <-time.After(2 * time.Second):
		m.cmd.Process.Kill()
		<-m.done
	}
}

func (m *manager) crashed() bool {
	select {
	case <-m.done:
		return !m.ended
	default:
		return false
	}
}

func (s site) homeOnly() []bool {
	if len(s.HomeOnly) > 0 {
		return s.HomeOnly
	}
	return []bool{false, false, false}
}

// reload moves discovery and the relay to new addresses, writes them into the file and sends SIGHUP.
func (m *manager) reload(known any) {
	oldDisc, oldRelay := m.discServer, m.relayServer
	m.disc, m.discServer = serve(http.HandlerFunc(m.w.serveList))
	m.relay, m.relayServer = serve(m.w.relayHandler())
	m.writeConfig(known)
	m.cmd.Process.Signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, func() {
		oldDisc.Close()
		oldRelay.Close()
	})
}

// mean returns the mean time in milliseconds of tries from a zone at a worker: a little more from farther zones.
func (w *world) mean(zone, server string) float64 {
	from, to := 0, 0
	for i, z := range w.s.Zones {
		if z == zone {
			from = i
		}
		if z == w.workers[server].zone {
			to = i
		}
	}
	return 180 + 8*float64(max(from-to, to-from)) + 4*w.rng.Float64()
}

// tables runs a command of the operators on the admin socket and returns what it printed.
func (m *manager) tables(args ...string) string {
	cmd := exec.Command(filepath.Join(m.root, "bin/tamarindshore"), append([]string{"tables", "--socket", filepath.Join(m.dir, "n1.sock")}, args...)...)
	out, err := cmd.CombinedOutput()
	m.w.with(func() { m.w.logf("tables %v: %s (%v)", args, strings.TrimSpace(string(out)), err) })
	return string(out)
}
