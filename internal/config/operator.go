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
type OperatorSettings struct {
	File          string // for errors; empty: none was read
	Shards        int    // cores that take in; 1: one core does all
	LogLevel      string
	LogFormat     string
	StatusAddress string // address of the status listener; empty: none
	AdminSocket   string // socket in the file system for staff's commands; empty: none
	TablesAddress string // address at which holders of versioned tables connect; empty: none
	KeyFile       string // file of the keys that sign versions
	StorePath     string // file that survives a crash; empty: none
	Spill         int    // servers of other zones than its proxies' that a manager uses; 0: it uses all that are listed
	// ReadInterval is the time between two reads of what collectors and the relay tell; 0: each is made at once.
	ReadInterval time.Duration
	nodes        map[string]*sexp.Node
}

// Bounds of the interval between reads: more would keep what must be known within a second from the decisions.
const (
	leastReadInterval = time.Millisecond
	mostReadInterval  = 200 * time.Millisecond
)

// mostSpill is the largest number of spill servers that may be stated.
const mostSpill = 1 << 20

// Defaults are the settings without a file.
func DefaultOperatorSettings() OperatorSettings {
	return OperatorSettings{Shards: 1, LogLevel: "info", LogFormat: logging.Text}
}

// ReadOperator reads and checks a whole file. An error names the file, the line and the key.
func ReadOperatorSettings(path string) (OperatorSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return OperatorSettings{}, err
	}
	return ParseOperatorSettings(filepath.Base(path), text)
}

// ParseOperator reads settings of the form (tamarindshore (key value) ...).
func ParseOperatorSettings(name string, text []byte) (OperatorSettings, error) {
	o := DefaultOperatorSettings()
	o.File, o.nodes = name, map[string]*sexp.Node{}
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return o, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "tamarindshore" {
		return o, fmt.Errorf("%s:1: one form (tamarindshore ...) is due", name)
	}
	note := func(key string, read func(n *sexp.Node) error) sexp.Key {
		return sexp.Key{Name: key, Read: func(n *sexp.Node) error {
			o.nodes[key] = n
			return read(n)
		}}
	}
	err = sexp.Read(nodes[0], nodes[0].Args(),
		note("cores", func(n *sexp.Node) error { return n.Int(&o.Shards, 1, 64) }),
		note("log", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(),
				note("level", func(n *sexp.Node) error { return n.OneOf(&o.LogLevel, logging.Levels...) }),
				note("form", func(n *sexp.Node) error { return n.OneOf(&o.LogFormat, logging.Text, logging.JSON) }))
		}),
		note("listen", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(),
				note("status", func(n *sexp.Node) error { return n.HostPort(&o.StatusAddress) }))
		}),
		note("admin", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(), note("socket", func(n *sexp.Node) error { return n.Text(&o.AdminSocket) }))
		}),
		note("tables", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(),
				note("listen", func(n *sexp.Node) error { return n.HostPort(&o.TablesAddress) }),
				note("keys", func(n *sexp.Node) error { return n.Text(&o.KeyFile) }))
		}),
		note("store", func(n *sexp.Node) error {
			return sexp.Read(n, n.Args(), note("path", func(n *sexp.Node) error { return n.Text(&o.StorePath) }))
		}),
		note("subset", func(n *sexp.Node) error {
			spill := note("spill", func(n *sexp.Node) error { return n.Int(&o.Spill, 1, mostSpill) })
			spill.Required = true
			return sexp.Read(n, n.Args(), spill)
		}),
		note("read-interval", func(n *sexp.Node) error { return n.Duration(&o.ReadInterval, leastReadInterval, mostReadInterval) }))
	if err != nil {
		return o, err
	}
	for key, path := range map[string]string{"socket": o.AdminSocket, "path": o.StorePath, "keys": o.KeyFile} {
		if path != "" && !filepath.IsAbs(path) {
			return o, o.fail(key, "%q is no path from the root", path)
		}
	}
	if o.TablesAddress != "" && o.KeyFile == "" {
		return o, o.fail("tables", "keys: is missing: versions are signed")
	}
	if o.StatusAddress != "" && !loopback(o.StatusAddress) {
		return o, o.fail("status", "%s is not on loopback: it tells of the fleet without asking who reads", o.StatusAddress)
	}
	return o, nil
}

func loopback(address string) bool {
	return strings.HasPrefix(address, "127.") || strings.HasPrefix(address, "[::1]") || strings.HasPrefix(address, "localhost:")
}

func (o OperatorSettings) fail(key, format string, values ...any) error {
	return o.nodes[key].Errorf("%s: %s", key, fmt.Sprintf(format, values...))
}

// With joins the operator's settings to what the platform told. Where both speak of cores, the platform's word is the
// most that may be asked for.
func (s Config) WithOperator(o OperatorSettings) (Config, error) {
	if s.coresConfigured && o.Shards > s.Limits.Cores {
		return s, o.fail("cores", "%d is more than the platform's limits.cores, %d", o.Shards, s.Limits.Cores)
	}
	s.Limits.Shards, s.Limits.Sharding = o.Shards, sharding.DefaultSettings(o.Shards)
	s.Limits.Cores = max(s.Limits.Cores, o.Shards)
	s.LogLevel, s.LogFormat, s.StatusAddress, s.AdminSocket, s.StorePath = o.LogLevel, o.LogFormat, o.StatusAddress, o.AdminSocket, o.StorePath
	s.TablesAddress, s.KeyFile, s.Spill = o.TablesAddress, o.KeyFile, o.Spill
	s.Limits.ReadInterval = o.ReadInterval
	return s, nil
}
