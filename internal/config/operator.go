package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"tamarindshore/internal/logging"
	"tamarindshore/internal/sexp"
	"tamarindshore/internal/sharding"
)

// Operator is what the operator's own file settles, beside what the platform tells. What is not said has its default,
// under which the manager is as without the file.
type Operator struct {
	File     string // for errors; empty: none was read
	Lanes    int    // cores that take in; 1: one core does all
	LogLevel string
	LogForm  string
	Status   string // address of the status listener; empty: none
	Admin    string // socket in the file system for staff's commands; empty: none
	Tables   string // address at which holders of versioned tables connect; empty: none
	Keys     string // file of the keys that sign versions
	Store    string // file that survives a crash; empty: none
	Spill    int    // servers of other zones than its proxies' that a manager uses; 0: it uses all that are listed
	// ReadInterval is the time between two reads of what collectors and the relay tell; 0: each is made at once.
	ReadInterval time.Duration
	line         map[string]*sexp.Node
}

// Bounds of the interval between reads: more would keep what must be known within a second from the decisions.
const (
	leastReadInterval = time.Millisecond
	mostReadInterval  = 200 * time.Millisecond
)

// mostSpill is the largest number of spill servers that may be stated.
const mostSpill = 1 << 20

// Defaults are the settings without a file.
func Defaults() Operator { return Operator{Lanes: 1, LogLevel: "info", LogForm: logging.Text} }

// ReadOperator reads and checks a whole file. An error names the file, the line and the key.
func ReadOperator(path string) (Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, err
	}
	return ParseOperator(filepath.Base(path), text)
}

// ParseOperator reads settings of the form (tamarindshore (key value) ...).
func ParseOperator(name string, text []byte) (Operator, error) {
	o := Defaults()
	o.File, o.line = name, map[string]*sexp.Node{}
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return o, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "tamarindshore" {
		return o, fmt.Errorf("%s:1: one form (tamarindshore ...) is due", name)
	}
	note := func(key string, read func(n *sexp.Node) error) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error {
			o.line[key] = n
			return read(n)
		}}
	}
	err = sexp.Read(nodes[0], nodes[0].Args(),
		note("cores", func(n *sexp.Node) error { return n.Whole(&o.Lanes, 1, 64) }),
		note("log", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(),
				note("level", func(n *sexp.Node) error { return n.OneOf(&o.LogLevel, logging.Levels...) }),
				note("form", func(n *sexp.Node) error { return n.OneOf(&o.LogForm, logging.Text, logging.JSON) }))
		}),
		note("listen", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(),
				note("status", func(n *sexp.Node) error { return n.Address(&o.Status) }))
		}),
		note("admin", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(), note("socket", func(n *sexp.Node) error { return n.Text(&o.Admin) }))
		}),
		note("tables", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(),
				note("listen", func(n *sexp.Node) error { return n.Address(&o.Tables) }),
				note("keys", func(n *sexp.Node) error { return n.Text(&o.Keys) }))
		}),
		note("store", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(), note("path", func(n *sexp.Node) error { return n.Text(&o.Store) }))
		}),
		note("subset", func(n *sexp.Node) error {
			spill := note("spill", func(n *sexp.Node) error { return n.Whole(&o.Spill, 1, mostSpill) })
			spill.Must = true
			return sexp.Read(n, n.Args(), spill)
		}),
		note("read-interval", func(n *sexp.Node) error { return n.Span(&o.ReadInterval, leastReadInterval, mostReadInterval) }))
	if err != nil {
		return o, err
	}
	for key, path := range map[string]string{"socket": o.Admin, "path": o.Store, "keys": o.Keys} {
		if path != "" && !filepath.IsAbs(path) {
			return o, o.fail(key, "%q is no path from the root", path)
		}
	}
	if o.Tables != "" && o.Keys == "" {
		return o, o.fail("tables", "keys: is missing: versions are signed")
	}
	if o.Status != "" && !loopback(o.Status) {
		return o, o.fail("status", "%s is not on loopback: it tells of the fleet without asking who reads", o.Status)
	}
	return o, nil
}

func loopback(address string) bool {
	return strings.HasPrefix(address, "127.") || strings.HasPrefix(address, "[::1]") || strings.HasPrefix(address, "localhost:")
}

func (o Operator) fail(key, format string, values ...any) error {
	return o.line[key].Fail("%s: %s", key, fmt.Sprintf(format, values...))
}

// With joins the operator's settings to what the platform told. Where both speak of cores, the platform's word is the
// most that may be asked for.
func (s Start) With(o Operator) (Start, error) {
	if s.coresTold && o.Lanes > s.Limits.Cores {
		return s, o.fail("cores", "%d is more than the platform's limits.cores, %d", o.Lanes, s.Limits.Cores)
	}
	s.Limits.Lanes, s.Limits.Keeper = o.Lanes, sharding.Usual(o.Lanes)
	s.Limits.Cores = max(s.Limits.Cores, o.Lanes)
	s.LogLevel, s.LogForm, s.Status, s.Admin, s.Store = o.LogLevel, o.LogForm, o.Status, o.Admin, o.Store
	s.Tables, s.Keys, s.Spill = o.Tables, o.Keys, o.Spill
	s.Limits.ReadInterval = o.ReadInterval
	return s, nil
}
