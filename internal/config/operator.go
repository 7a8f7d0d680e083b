package config

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"tamarindshore/internal/logging"
	"tamarindshore/internal/sexp"
	"tamarindshore/internal/sharding"
)

// OperatorSettings are the settings of the operator's file, which complement the platform's configuration. A setting that
// the file omits has its default, the same as without a file.
type OperatorSettings struct {
	File          string        // name of the file, for errors; empty: no file was read
	Shards        int           // cores that read connections; 1: one core does everything
	LogLevel      string        // one of logging.Levels
	LogFormat     string        // logging.Text or logging.JSON
	StatusAddress string        // address of the status listener; empty: none
	AdminSocket   string        // path of the admin socket, which accepts operators' commands; empty: none
	TablesAddress string        // address at which replicas of versioned tables connect; empty: none
	KeyFile       string        // path of the file with the keys that sign versions
	StorePath     string        // path of the store, which survives a crash; empty: none
	Spill         int           // number of servers of other zones in the subset; 0: no subset, all servers are used
	ReadInterval  time.Duration // between two reads from collectors and from the relay; 0: data is read as it arrives

	form *sexp.Node // the parsed file, for positions in errors; nil: no file was read
}

// Bounds of the settings.
const (
	maxShards = 64
	maxSpill  = 1 << 20

	// A longer read interval would delay inputs that a decision needs within a second.
	minReadInterval = time.Millisecond
	maxReadInterval = 200 * time.Millisecond
)

// Keys of the operator's file.
const (
	operatorForm    = "tamarindshore"
	keyCores        = "cores"
	keyLog          = "log"
	keyLogLevel     = "level"
	keyLogFormat    = "form"
	keyListen       = "listen" // also a key of the section keyTables
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

// DefaultOperatorSettings returns the settings that apply without a file.
func DefaultOperatorSettings() OperatorSettings {
	return OperatorSettings{Shards: 1, LogLevel: "info", LogFormat: logging.Text}
}

// ReadOperatorSettings reads and validates the operator's file. An error about its content names the file, the line and
// the key.
func ReadOperatorSettings(path string) (OperatorSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return OperatorSettings{}, err
	}
	return ParseOperatorSettings(filepath.Base(path), text)
}

// ParseOperatorSettings parses and validates settings of the form (tamarindshore (key value) ...). An error is a
// *sexp.Error.
func ParseOperatorSettings(name string, text []byte) (OperatorSettings, error) {
	settings := DefaultOperatorSettings()
	settings.File = name
	form, err := sexp.ReadForm(name, text, operatorForm, settings.keys()...)
	if err != nil {
		return settings, err
	}
	settings.form = form
	return settings, settings.check()
}

// keys returns the keys of the file, in the order in which an error lists them.
func (o *OperatorSettings) keys() []sexp.Key {
	return []sexp.Key{
		sexp.IntKey(keyCores, &o.Shards, 1, maxShards),
		sexp.Section(keyLog,
			sexp.ChoiceKey(keyLogLevel, &o.LogLevel, logging.Levels...),
			sexp.ChoiceKey(keyLogFormat, &o.LogFormat, logging.Text, logging.JSON)),
		sexp.Section(keyListen, sexp.HostPortKey(keyStatus, &o.StatusAddress)),
		sexp.Section(keyAdmin, sexp.TextKey(keyAdminSocket, &o.AdminSocket)),
		sexp.Section(keyTables,
			sexp.HostPortKey(keyListen, &o.TablesAddress),
			sexp.TextKey(keyTablesKeys, &o.KeyFile)),
		sexp.Section(keyStore, sexp.TextKey(keyStorePath, &o.StorePath)),
		sexp.Section(keySubset, sexp.Required(sexp.IntKey(keySubsetSpill, &o.Spill, 1, maxSpill))...),
		sexp.DurationKey(keyReadInterval, &o.ReadInterval, minReadInterval, maxReadInterval),
	}
}

// check validates paths, the status address, and keys that depend on each other.
func (o *OperatorSettings) check() error {
	for _, file := range []struct{ section, key, path string }{
		{keyAdmin, keyAdminSocket, o.AdminSocket},
		{keyStore, keyStorePath, o.StorePath},
		{keyTables, keyTablesKeys, o.KeyFile},
	} {
		if file.path != "" && !filepath.IsAbs(file.path) {
			node := o.form.Child(file.section).Child(file.key)
			return node.Errorf("%s: %q is not an absolute path", file.key, file.path)
		}
	}
	if o.TablesAddress != "" && o.KeyFile == "" {
		return o.form.Child(keyTables).Errorf("%s: %s: is missing; it is required to sign versions", keyTables, keyTablesKeys)
	}
	if o.StatusAddress != "" && !isLoopback(o.StatusAddress) {
		node := o.form.Child(keyListen).Child(keyStatus)
		return node.Errorf("%s: %s is not a loopback address; the status listener exposes the fleet without authentication",
			keyStatus, o.StatusAddress)
	}
	return nil
}

// isLoopback reports whether an address belongs to the loopback interface.
func isLoopback(address string) bool {
	for _, prefix := range []string{"127.", "[::1]", "localhost:"} {
		if strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}

// WithOperator returns the configuration with the operator's settings applied. If the platform limits the cores, a higher
// number in the operator's settings is an error.
func (c Config) WithOperator(o OperatorSettings) (Config, error) {
	if c.coresConfigured && o.Shards > c.Limits.Cores {
		return c, o.form.Child(keyCores).Errorf("%s: %d is more than limits.cores of the platform's file, %d", keyCores, o.Shards, c.Limits.Cores)
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
