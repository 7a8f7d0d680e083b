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

// OperatorSettings are the settings of the operator's file, beside the platform's configuration. A setting that the file
// omits has its default, as if there were no file.
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

	form *sexp.Node // where the settings stand, for errors; nil: no file was read
}

// Bounds of the settings.
const (
	maxShards = 64
	maxSpill  = 1 << 20

	// A longer interval would delay the inputs that a decision needs within a second.
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
	form, err := sexp.ReadForm(name, text, operatorForm, settings.keys()...)
	if err != nil {
		return settings, err
	}
	settings.form = form
	return settings, settings.check()
}

// keys read the settings, in the order in which an error lists them.
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

// check validates the paths and addresses, and the keys that depend on one another.
func (o *OperatorSettings) check() error {
	for _, file := range []struct{ section, key, path string }{
		{keyAdmin, keyAdminSocket, o.AdminSocket},
		{keyStore, keyStorePath, o.StorePath},
		{keyTables, keyTablesKeys, o.KeyFile},
	} {
		if file.path != "" && !filepath.IsAbs(file.path) {
			node := o.form.Child(file.section).Child(file.key)
			return node.Errorf("%s: %q is no path from the root", file.key, file.path)
		}
	}
	if o.TablesAddress != "" && o.KeyFile == "" {
		return o.form.Child(keyTables).Errorf("%s: %s: is missing: versions are signed", keyTables, keyTablesKeys)
	}
	if o.StatusAddress != "" && !isLoopback(o.StatusAddress) {
		node := o.form.Child(keyListen).Child(keyStatus)
		return node.Errorf("%s: %s is not on loopback: it tells of the fleet without asking who reads", keyStatus, o.StatusAddress)
	}
	return nil
}

// isLoopback reports whether an address is on this machine's loopback interface.
func isLoopback(address string) bool {
	for _, prefix := range []string{"127.", "[::1]", "localhost:"} {
		if strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}

// WithOperator is the configuration with the operator's settings. Where the platform limits the cores, asking for more is
// an error.
func (c Config) WithOperator(o OperatorSettings) (Config, error) {
	if c.coresConfigured && o.Shards > c.Limits.Cores {
		return c, o.form.Child(keyCores).Errorf("%s: %d is more than the platform's limits.cores, %d", keyCores, o.Shards, c.Limits.Cores)
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
