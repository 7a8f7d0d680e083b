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

// OperatorSettings are what the operator's own file states beside what the platform tells. What is not stated has its
// default, under which the manager is as without the file.
type OperatorSettings struct {
	File          string        // for errors; empty: none was read
	Shards        int           // cores that read connections; 1: one core does all
	LogLevel      string        // one of logging.Levels
	LogFormat     string        // logging.Text or logging.JSON
	StatusAddress string        // of the status listener; empty: none
	AdminSocket   string        // path of the socket for administrators' commands; empty: none
	TablesAddress string        // at which holders of versioned tables connect; empty: none
	KeyFile       string        // keys that sign versions
	StorePath     string        // file that survives a crash; empty: none
	Spill         int           // servers of other zones than its proxies' that a manager uses; 0: all that are listed
	ReadInterval  time.Duration // between two reads of what collectors and the relay send; 0: each is read at once

	nodes map[string]*sexp.Node // by key: where each setting stands, for errors
}

// Bounds of the settings.
const (
	maxShards = 64
	maxSpill  = 1 << 20

	// A longer interval would keep what must be known within a second from the decisions.
	minReadInterval = time.Millisecond
	maxReadInterval = 200 * time.Millisecond
)

// Names of the settings' keys.
const (
	operatorForm    = "tamarindshore"
	keyCores        = "cores"
	keyLog          = "log"
	keyLogLevel     = "level"
	keyLogFormat    = "form"
	keyListen       = "listen" // also within keyTables
	keyStatus       = "status"
	keyAdmin        = "admin"
	keyAdminSocket  = "socket"
	keyTables       = "tables"
	keyTablesKeys   = "keys"
	keyStore        = "store"
	keyStorePath    = "path"
	keySubset       = "subset"
	keySubsetSpill  = "spill"
	keyReadInterval = "read-interval"
)

// DefaultOperatorSettings are the settings without a file.
func DefaultOperatorSettings() OperatorSettings {
	return OperatorSettings{Shards: 1, LogLevel: "info", LogFormat: logging.Text}
}

// ReadOperatorSettings reads and checks a whole file. An error names the file, the line and the key.
func ReadOperatorSettings(path string) (OperatorSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return OperatorSettings{}, err
	}
	return ParseOperatorSettings(filepath.Base(path), text)
}

// ParseOperatorSettings reads settings of the form (tamarindshore (key value) ...). An error is a *sexp.Error.
func ParseOperatorSettings(name string, text []byte) (OperatorSettings, error) {
	settings := DefaultOperatorSettings()
	settings.File = name
	settings.nodes = map[string]*sexp.Node{}
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return settings, err
	}
	if len(nodes) != 1 || nodes[0].Head() != operatorForm {
		return settings, &sexp.Error{File: name, Line: 1, Problem: "one form (tamarindshore ...) is due"}
	}
	if err := sexp.Read(nodes[0], nodes[0].Args(), settings.keys()...); err != nil {
		return settings, err
	}
	return settings, settings.check()
}

// keys read the settings, in the order in which an error lists them.
func (o *OperatorSettings) keys() []sexp.Key {
	spill := o.key(keySubsetSpill, func(n *sexp.Node) error { return n.Int(&o.Spill, 1, maxSpill) })
	spill.Required = true
	return []sexp.Key{
		o.key(keyCores, func(n *sexp.Node) error { return n.Int(&o.Shards, 1, maxShards) }),
		o.group(keyLog,
			o.key(keyLogLevel, func(n *sexp.Node) error { return n.OneOf(&o.LogLevel, logging.Levels...) }),
			o.key(keyLogFormat, func(n *sexp.Node) error { return n.OneOf(&o.LogFormat, logging.Text, logging.JSON) })),
		o.group(keyListen,
			o.key(keyStatus, func(n *sexp.Node) error { return n.HostPort(&o.StatusAddress) })),
		o.group(keyAdmin,
			o.key(keyAdminSocket, func(n *sexp.Node) error { return n.Text(&o.AdminSocket) })),
		o.group(keyTables,
			o.key(keyListen, func(n *sexp.Node) error { return n.HostPort(&o.TablesAddress) }),
			o.key(keyTablesKeys, func(n *sexp.Node) error { return n.Text(&o.KeyFile) })),
		o.group(keyStore,
			o.key(keyStorePath, func(n *sexp.Node) error { return n.Text(&o.StorePath) })),
		o.group(keySubset, spill),
		o.key(keyReadInterval, func(n *sexp.Node) error {
			return n.Duration(&o.ReadInterval, minReadInterval, maxReadInterval)
		}),
	}
}

// key reads one setting and remembers where it stands.
func (o *OperatorSettings) key(name string, read func(n *sexp.Node) error) sexp.Key {
	return sexp.Key{Name: name, Read: func(n *sexp.Node) error {
		o.nodes[name] = n
		return read(n)
	}}
}

// group reads a list of settings of its own.
func (o *OperatorSettings) group(name string, keys ...sexp.Key) sexp.Key {
	return o.key(name, func(n *sexp.Node) error { return sexp.Read(n, n.Args(), keys...) })
}

// check looks at what one key alone can't tell.
func (o *OperatorSettings) check() error {
	for _, file := range []struct{ key, path string }{
		{keyAdminSocket, o.AdminSocket},
		{keyStorePath, o.StorePath},
		{keyTablesKeys, o.KeyFile},
	} {
		if file.path != "" && !filepath.IsAbs(file.path) {
			return o.errorf(file.key, "%q is no path from the root", file.path)
		}
	}
	if o.TablesAddress != "" && o.KeyFile == "" {
		return o.errorf(keyTables, "keys: is missing: versions are signed")
	}
	if o.StatusAddress != "" && !isLoopback(o.StatusAddress) {
		return o.errorf(keyStatus, "%s is not on loopback: it tells of the fleet without asking who reads", o.StatusAddress)
	}
	return nil
}

func isLoopback(address string) bool {
	for _, prefix := range []string{"127.", "[::1]", "localhost:"} {
		if strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}

// errorf is an error at a setting that was read.
func (o *OperatorSettings) errorf(key, format string, values ...any) error {
	return o.nodes[key].Errorf("%s: %s", key, fmt.Sprintf(format, values...))
}

// WithOperator joins the operator's settings to what the platform told. Where both speak of cores, the platform's word
// is the most that may be asked for.
func (c Config) WithOperator(o OperatorSettings) (Config, error) {
	if c.coresConfigured && o.Shards > c.Limits.Cores {
		return c, o.errorf(keyCores, "%d is more than the platform's limits.cores, %d", o.Shards, c.Limits.Cores)
	}
	c.Limits.Shards = o.Shards
	c.Limits.Sharding = sharding.DefaultSettings(o.Shards)
	c.Limits.Cores = max(c.Limits.Cores, o.Shards)
	c.Limits.ReadInterval = o.ReadInterval
	c.LogLevel = o.LogLevel
	c.LogFormat = o.LogFormat
	c.StatusAddress = o.StatusAddress
	c.AdminSocket = o.AdminSocket
	c.StorePath = o.StorePath
	c.TablesAddress = o.TablesAddress
	c.KeyFile = o.KeyFile
	c.Spill = o.Spill
	return c, nil
}
