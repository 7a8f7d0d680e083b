package simprotocol

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"tamarindshore/balancer"
)

// cells walks the values of one line; the first thing wrong with them stays in err.
type cells struct {
	parts []string
	at    int
	err   error
}

func (c *cells) fail(name, text, what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %q %s", name, text, what)
	}
}

func (c *cells) text(name string) string {
	if c.at >= len(c.parts) {
		if c.err == nil {
			c.err = fmt.Errorf("too few values: %s is missing", name)
		}
		return ""
	}
	c.at++
	return c.parts[c.at-1]
}

func (c *cells) id(name string) string {
	v := c.text(name)
	if v == "" || v == "-" {
		c.fail(name, v, "is no name")
	}
	return v
}

func (c *cells) whole(name string, least, most int64) int64 {
	v := c.text(name)
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		c.fail(name, v, "is not a whole number")
	} else if n < least || n > most {
		c.fail(name, v, fmt.Sprintf("is not from %d to %d", least, most))
	}
	return n
}

func (c *cells) orWhole(name string, absent int64) int64 {
	if c.at < len(c.parts) && c.parts[c.at] == "-" {
		c.at++
		return absent
	}
	return c.whole(name, 0, math.MaxInt64/1000)
}

func (c *cells) number(name string) float64 {
	v := c.text(name)
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		c.fail(name, v, "is not a number from 0 up")
	}
	return x
}

func (c *cells) truth(name string) bool { return c.whole(name, 0, 1) == 1 }

func (c *cells) span(name string) time.Duration {
	return time.Duration(c.orWhole(name, 0)) * time.Microsecond
}

func (c *cells) oneOf(name string, words ...string) string {
	v := c.text(name)
	if !slices.Contains(words, v) {
		c.fail(name, v, "is not one of "+strings.Join(words, ", "))
	}
	return v
}

// load reads a load report and gives the flows held, or -1 where they are not told.
func (c *cells) load(name string) float64 {
	v, held := c.text(name), -1.0
	if v == "-" || v == "" {
		return held
	}
	for _, pair := range strings.Split(v, ",") {
		key, figure, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(figure, 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			c.fail(name, pair, "is not name:value")
		} else if key == "outstanding" {
			held = max(0, x)
		}
	}
	return held
}

func (c *cells) end() error {
	if c.err == nil && c.at < len(c.parts) {
		return fmt.Errorf("%d values too many", len(c.parts)-c.at)
	}
	return c.err
}

// entry reads one line of a list; a start of 0 or none is long ago.
func entry(line string, born time.Duration) (balancer.Endpoint, error) {
	c := &cells{parts: strings.Split(line, "\t")}
	if c.text("M") != "M" {
		return balancer.Endpoint{}, errors.New("an M line is due")
	}
	e := balancer.Endpoint{}
	c.text("unitGroup")
	e.Zone = balancer.ZoneID(c.id("dc"))
	if started := c.span("lastStartUs"); started > 0 {
		e.Started, e.RecentlyStarted = started-born, true
	}
	e.Server = balancer.ServerID(c.id("worker"))
	if c.at < len(c.parts) && c.parts[c.at] == "-" {
		c.at, e.Weight = c.at+1, 1
	} else {
		e.Weight = c.number("part")
	}
	switch c.oneOf("health", "ready", "draining", "gone") {
	case "draining":
		e.State = balancer.Draining
	case "gone":
		e.State = balancer.Removed
	}
	c.text("shape")
	return e, c.end()
}
