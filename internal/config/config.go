// Package config reads and validates the configuration of a manager: the environment, the platform's JSON file that
// PROXY_CONFIG names, and the operator's settings. No other package of the manager reads the environment.
//
// An error names the invalid key and, where possible, its line in the file. Nothing here is shared between goroutines.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"tamarindshore/balancer"
	"tamarindshore/internal/platformsettings"
)

// Config is the configuration of a manager.
type Config struct {
	Name      string
	Listen    string // address at which collectors and proxies connect
	Discovery string // address of discovery
	Relay     string // address of the relay
	Seed      uint64
	Limits    Limits

	Balancer           balancer.Settings
	ClassNames         []string        // names of Balancer.Classes, in the same order
	ServersReportLoad  bool            // whether answers to health checks include the load
	CachedEndpointList json.RawMessage // last known endpoint list, in discovery's format

	// The fields below come from the operator's settings.

	LogLevel      string
	LogFormat     string
	StatusAddress string // address of the status listener; empty: none
	AdminSocket   string // path of the admin socket, which accepts operators' commands; empty: none
	StorePath     string // path of the store; empty: none
	TablesAddress string // address at which versioned tables are served; empty: they are not served
	KeyFile       string // path of the file with the keys that sign versions
	Spill         int    // number of servers of other zones in the subset; 0: no subset, all servers are used

	coresConfigured bool // whether the file sets limits.cores
}

// Environment variables.
const (
	envConfig    = "PROXY_CONFIG" // path of the platform's file
	envName      = "PROXY_NAME"
	envListen    = "PROXY_LISTEN"
	envDiscovery = "PROXY_DISCOVERY"
)

const problemMissing = "is missing"

// Read reads the environment, through getenv, and the file that PROXY_CONFIG names. An error about a key is or wraps a
// *platformsettings.KeyError.
func Read(getenv func(string) string) (Config, error) { return read(getenv, false) }

// Reread reads the environment and the file again, for a reload. Unlike in Read, discovery's address in the file
// overrides the environment.
func Reread(getenv func(string) string) (Config, error) { return read(getenv, true) }

// read implements Read and Reread; reload is true for Reread.
func read(getenv func(string) string, reload bool) (Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return Config{}, &platformsettings.KeyError{Key: envConfig, Problem: problemMissing}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", envConfig, err)
	}
	config, err := parse(getenv, text, reload)
	if err != nil {
		return Config{}, locate(text, err)
	}
	return config, nil
}

// wireConfig is the JSON file as the platform writes it.
type wireConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal
	Limits    wireLimits      `json:"limits"`
	Store     wireStore       `json:"store"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// wireLimits are the resources that the platform lets the process use; nil stands for a default.
type wireLimits struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *float64 `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// wireStore names the relay's address.
type wireStore struct {
	Address string `json:"address"`
}

// wireReport is the part of the settings object that states how servers report their load.
type wireReport struct {
	Report struct {
		How string `json:"how"`
	} `json:"report"`
}

// reportSilent is the value of report.how if servers don't report their load.
const reportSilent = "silent"

// parse decodes and validates the file. The environment overrides the file, except for discovery's address on a reload.
func parse(getenv func(string) string, text []byte, reload bool) (Config, error) {
	var wire wireConfig
	if err := json.Unmarshal(text, &wire); err != nil {
		var invalidKey *platformsettings.KeyError
		if err = platformsettings.AsKeyError(err); errors.As(err, &invalidKey) {
			return Config{}, err
		}
		return Config{}, fmt.Errorf("%s: %w", envConfig, err)
	}
	var config Config
	if err := config.setAddresses(getenv, wire, reload); err != nil {
		return Config{}, err
	}
	if err := config.setMachine(wire); err != nil {
		return Config{}, err
	}
	if err := config.setSite(wire); err != nil {
		return Config{}, err
	}
	return config, nil
}

// textSetting is a setting with a text value, which comes from the file or from an environment variable.
type textSetting struct {
	key       string  // key in the file
	variable  string  // environment variable; empty: none
	value     string  // value in the file; empty: none
	fileWins  bool    // the file overrides the environment
	isAddress bool    // the value must be host:port
	target    *string // where the value is stored
}

// setAddresses sets the manager's name, the addresses and the seed.
func (c *Config) setAddresses(getenv func(string) string, wire wireConfig, reload bool) (err error) {
	for _, setting := range []textSetting{
		{key: "name", variable: envName, value: wire.Name, target: &c.Name},
		{key: "listen", variable: envListen, value: wire.Listen, isAddress: true, target: &c.Listen},
		{key: "discovery", variable: envDiscovery, value: wire.Discovery, fileWins: reload, isAddress: true, target: &c.Discovery},
		{key: "store.address", value: wire.Store.Address, isAddress: true, target: &c.Relay},
	} {
		if *setting.target, err = setting.resolve(getenv); err != nil {
			return err
		}
	}
	if c.Seed, err = strconv.ParseUint(wire.Seed, 16, 64); err != nil {
		return keyError("seed", "%q is not a hexadecimal number of 1 to 16 digits", wire.Seed)
	}
	return nil
}

// resolve returns the value from the source that takes precedence, and validates it.
func (s textSetting) resolve(getenv func(string) string) (string, error) {
	key := s.key
	value := s.value
	if s.variable != "" && (!s.fileWins || s.value == "") {
		if fromEnvironment := getenv(s.variable); fromEnvironment != "" {
			key = s.variable
			value = fromEnvironment
		}
	}
	if value == "" {
		return "", keyError(key, problemMissing)
	}
	if !s.isAddress {
		return value, nil
	}
	if err := checkAddress(value); err != nil {
		return "", keyError(key, "%q is not a valid address: %v", value, err)
	}
	return value, nil
}

// setMachine sets the limits that fit the resources that the platform lets the process use.
func (c *Config) setMachine(wire wireConfig) error {
	available := machine{cores: 1, memoryMB: 192, sockets: 1024}
	if cores := wire.Limits.Cores; cores != nil {
		available.cores = *cores
		c.coresConfigured = true
	}
	if memory := wire.Limits.MemoryMB; memory != nil {
		available.memoryMB = *memory
	}
	if sockets := wire.Limits.Sockets; sockets != nil {
		available.sockets = *sockets
	}
	switch {
	case available.cores < 0.01 || available.cores > 4096:
		return keyError("limits.cores", "%v is not between 0.01 and 4096", available.cores)
	case available.memoryMB < 32 || available.memoryMB > 1<<30:
		return keyError("limits.memory_mb", "%v is not between 32 and 1073741824", available.memoryMB)
	case available.sockets < 64 || available.sockets > 1<<24:
		return keyError("limits.sockets", "%v is not between 64 and 16777216", available.sockets)
	}
	c.Limits = limitsFor(available)
	return nil
}

// setSite sets the cached endpoint list and the settings of the site.
func (c *Config) setSite(wire wireConfig) error {
	const settingsKey = "settings"
	if len(wire.Known) == 0 {
		return keyError("known", problemMissing)
	}
	if len(wire.Settings) == 0 {
		return keyError(settingsKey, problemMissing)
	}
	c.CachedEndpointList = wire.Known
	settings, err := platformsettings.Parse(wire.Settings)
	var invalidKey *platformsettings.KeyError
	switch {
	case errors.As(err, &invalidKey):
		return invalidKey.WithPrefix(settingsKey)
	case err != nil:
		return keyError(settingsKey, "%v", err)
	}
	if len(settings.Balancer.Zones) == 0 {
		return keyError("settings.zones", problemMissing)
	}
	c.Balancer = settings.Balancer
	c.ClassNames = settings.ClassNames
	var report wireReport
	if err := json.Unmarshal(wire.Settings, &report); err != nil {
		return keyError("settings.report", "%v", err)
	}
	how := report.Report.How
	c.ServersReportLoad = how != "" && how != reportSilent
	return nil
}

// keyError returns an error about a key of the file or about an environment variable.
func keyError(key, format string, values ...any) error {
	return &platformsettings.KeyError{Key: key, Problem: fmt.Sprintf(format, values...)}
}

// checkAddress returns an error unless text is host:port, with a port between 1 and 65535.
func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is not between 1 and 65535", port)
	}
	if host == "" {
		return errors.New("host is missing")
	}
	return nil
}
