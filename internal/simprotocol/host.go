// Package simprotocol speaks the simulator's lines: it reads events into calls of the
// decision module and writes what the calls return. It decides nothing.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/platformsettings"
)

// hosted is one manager, with what its lines must be checked against.
type hosted struct {
	manager *balancer.Manager
	born    time.Duration // clock at its start
	now     time.Duration
	groups  []string
	failed  bool
}

// Host holds the managers of one process; they share nothing.
type Host struct {
	managers map[int64]*hosted
	out      *bufio.Writer
	lines    int
}

const longestLine = 64 << 20

func newHost(out io.Writer) *Host {
	return &Host{managers: map[int64]*hosted{}, out: bufio.NewWriterSize(out, 1<<16)}
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := newHost(out)
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 1<<16), longestLine)
	next := func() (string, bool) {
		if !lines.Scan() {
			return "", false
		}
		h.lines++
		return strings.TrimSuffix(lines.Text(), "\r"), true
	}
	for {
		line, ok := next()
		if !ok {
			return lines.Err()
		}
		if line == "" {
			continue
		}
		if err := h.batch(line, next); err != nil {
			return fmt.Errorf("line %d: %v", h.lines, err)
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}

func (h *Host) batch(first string, next func() (string, bool)) error {
	c := &cells{parts: strings.Split(first, "\t")}
	if c.text("message") != "BATCH" {
		return fmt.Errorf("BATCH is due, not %q", c.parts[0])
	}
	clock := time.Duration(c.whole("clock", 0, math.MaxInt64/1000)) * time.Microsecond
	if err := c.end(); err != nil {
		return fmt.Errorf("BATCH: %v", err)
	}
	for {
		line, ok := next()
		if !ok {
			return errors.New("the input ended inside a batch")
		}
		if line == "EOF_BATCH" {
			h.out.WriteString("FINISHED\n")
			return nil
		}
		if line == "" {
			continue
		}
		kind, _, _ := strings.Cut(line, "\t")
		if err := h.event(kind, line, clock, next); err != nil {
			return fmt.Errorf("%s: %v", kind, err)
		}
	}
}

// event reads one event and calls the manager that it is for.
func (h *Host) event(kind, line string, clock time.Duration, next func() (string, bool)) error {
	c := &cells{parts: strings.Split(line, "\t"), at: 1}
	if kind == "NEW_INSTANCE" {
		c.parts = strings.SplitN(line, "\t", 4)
	}
	who := c.whole("who", 0, math.MaxInt32)
	if c.err != nil {
		return c.err
	}
	if kind == "NEW_INSTANCE" {
		seed, err := strconv.ParseUint(c.text("salt"), 10, 64)
		if err != nil && c.err == nil {
			return errors.New("salt: not a whole number")
		}
		t, names, err := platformsettings.Parse([]byte(c.text("setup")))
		if c.err != nil {
			return c.err
		} else if err != nil {
			return fmt.Errorf("setup: %v", err)
		}
		h.managers[who] = &hosted{born: clock, groups: names}
		h.call(who, func() balancer.Commands {
			h.managers[who].manager = balancer.New(seed, t)
			return balancer.Commands{}
		})
		return nil
	}
	one := h.managers[who]
	if one == nil {
		return fmt.Errorf("instance %d is not known", who)
	}
	now, call := clock-one.born, func() balancer.Commands { return balancer.Commands{} }
	one.now = now
	m := one.manager
	switch kind {
	case "DOWN":
		if err := c.end(); err != nil {
			return err
		}
		delete(h.managers, who)
		return nil
	case "TOPOLOGY":
		scope := c.oneOf("scope", "Partial", "Complete", "Persisted", "Error")
		c.orWhole("serial", 0)
		count := c.orWhole("records", 0)
		if err := c.end(); err != nil {
			return err
		}
		entries := []balancer.Endpoint{}
		for range count {
			row, ok := next()
			if !ok {
				return errors.New("the input ended inside a list")
			}
			e, err := entry(row, one.born)
			if err != nil {
				return err
			}
			entries = append(entries, e)
		}
		call = func() balancer.Commands {
			if scope == "Error" {
				return m.HandleEndpointListError(now)
			}
			return m.HandleEndpointList(now, scope != "Partial", entries)
		}
	case "REMINDER":
		c.whole("label", 0, math.MaxInt64)
		call = func() balancer.Commands { return m.HandleTimer(now) }
	case "HEALTH_RESULT":
		server := balancer.ServerID(c.id("worker"))
		code := c.oneOf("code", "delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused")
		took := c.span("elapsedUs")
		load := c.load("pressure")
		answer := balancer.HealthCheckTimedOut
		if code == "dial_failed" {
			answer = balancer.HealthCheckUnreachable
		}
		switch code {
		case "delivered":
			answer = balancer.HealthCheckPassed
		case "app_error":
			answer = balancer.HealthCheckInvalid
		case "shed":
			answer = balancer.HealthCheckRejected
		}
		call = func() balancer.Commands { return m.HandleHealthCheck(now, server, answer, took, load) }
	case "DIALLED_IN":
		rate := c.number("part")
		c.truth("flag")
		proxy := balancer.ProxyID(c.whole("sidecar", 0, 65535))
		zone := balancer.ZoneID(c.id("dc"))
		call = func() balancer.Commands { return m.HandleProxyConnected(now, proxy, zone, rate) }
	case "STREAM_DOWN":
		proxy := balancer.ProxyID(c.whole("sidecar", 0, 65535))
		call = func() balancer.Commands { return m.HandleProxyDisconnected(now, proxy) }
	case "OBSERVED":
		r := balancer.LoadReport{Server: balancer.ServerID(c.id("worker"))}
		r.Failed = int(c.whole("failed", 0, math.MaxInt32))
		r.Attempts = int(c.whole("many", 0, math.MaxInt32))
		r.Latency, r.Interval = c.span("elapsedUs"), c.span("spanUs")
		r.Zone, r.InFlight = balancer.ZoneID(c.id("dc")), c.load("pressure")
		call = func() balancer.Commands { return m.HandleLoadReport(now, r) }
	case "OFFERED_LOAD":
		u := balancer.UsageReport{Proxy: balancer.ProxyID(c.whole("sidecar", 0, 65535))}
		u.Class = balancer.ClassID(slices.Index(one.groups, c.oneOf("kind", one.groups...)))
		u.Requests = int(c.whole("many", 0, math.MaxInt32))
		u.Dropped = int(c.whole("failed", 0, math.MaxInt32))
		u.Interval = c.span("spanUs")
		call = func() balancer.Commands { return m.HandleUsageReport(now, u) }
	case "INSTALLED":
		proxy := balancer.ProxyID(c.whole("sidecar", 0, 65535))
		mark := balancer.BarrierID(c.whole("serial", 0, 65535))
		c.span("elapsedUs")
		call = func() balancer.Commands { return m.HandleBarrierAck(now, proxy, mark) }
	case "FROM_PEER":
		c.whole("originPeer", 0, math.MaxInt32)
		c.text("data")
	case "HEAT":
		c.whole("many", 0, math.MaxInt32)
		c.whole("failed", 0, math.MaxInt32)
		c.whole("sheet", 0, 65535)
		c.oneOf("kind", one.groups...)
		c.span("spanUs")
	case "LEASED":
		c.truth("flag")
		c.whole("sheet", 0, 65535)
	case "RECORDED":
		c.id("worker")
		c.number("part")
		c.whole("sheet", 0, 65535)
	default:
		return errors.New("no such message")
	}
	if err := c.end(); err != nil {
		return err
	}
	h.call(who, call)
	return nil
}

// call runs a decision and writes its orders; a panic in it is a fault of that manager alone.
func (h *Host) call(who int64, decide func() balancer.Commands) {
	one := h.managers[who]
	if one.failed {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			one.failed = true
			text := strings.Join(strings.Fields(fmt.Sprint(cause)), " ")
			fmt.Fprintf(h.out, "INTERNAL_ERROR\t%d\t%s\n", who, text)
		}
	}()
	o := decide()
	h.write(who, one, o)
}

func (h *Host) write(who int64, one *hosted, o balancer.Commands) {
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	for _, s := range o.Withdraw {
		fmt.Fprintf(h.out, "PULL\t%d\t%s\t1\n", who, s)
	}
	for _, l := range o.Weights {
		fmt.Fprintf(h.out, "SET_WEIGHT\t%d\t%s\t%s\t%d\n", who, number(l.Weight), l.Server, l.Table)
	}
	for _, l := range o.AdmissionLevels {
		fmt.Fprintf(h.out, "RATION\t%d\t%d\t%d\t%s\t%d\n", who, l.Table, l.Classes, number(l.Amount), l.Retry)
	}
	for _, s := range o.Restore {
		fmt.Fprintf(h.out, "PULL\t%d\t%s\t0\n", who, s)
	}
	for _, b := range o.Assign {
		fmt.Fprintf(h.out, "SUBSCRIBE_TO\t%d\t%d\t%d\t%d\n", who, b.Classes, b.Proxy, b.Table)
	}
	if o.Barrier > 0 {
		one.manager.HandleCommandsSent(one.now, o.Barrier) // a reply takes effect at once
		fmt.Fprintf(h.out, "CHECKPOINT\t%d\t%d\t0\n", who, o.Barrier)
	}
	for _, s := range o.HealthCheck {
		fmt.Fprintf(h.out, "PING\t%d\t%s\n", who, s)
	}
	if o.Subscribe {
		fmt.Fprintf(h.out, "LISTEN\t%d\t1\n", who)
	}
	if o.NextTimer > 0 {
		at := (o.NextTimer + one.born + time.Microsecond - 1) / time.Microsecond
		fmt.Fprintf(h.out, "SLEEP\t%d\t1\t%d\n", who, int64(at))
	}
	for _, n := range o.LogRecords {
		fmt.Fprintf(h.out, "JOURNAL_LINE\t%d\t%s\n", who, n)
	}
}
