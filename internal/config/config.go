// Package config reads and validates the configuration of a manager: the environment, the JSON file that it names, and
// the operator's settings. No other package of the manager reads the environment.
//
// An error names the invalid key, and its line in the file. Nothing here is shared between goroutines.
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
	Listen    string // address for collectors and proxies
	Discovery string // address
	Relay     string // address
	Seed      uint64
	Limits    Limits

	Balancer           balancer.Settings
	ClassNames         []string        // of the traffic classes, in their order
	ServersReportLoad  bool            // in the answer to a health check
	CachedEndpointList json.RawMessage // the last list that was known, in discovery's format

	// From the operator's settings.

	LogLevel      string
	LogFormat     string
	StatusAddress string // empty: no status listener
	AdminSocket   string // path; empty: none
	StorePath     string // empty: none
	TablesAddress string // empty: tables are not served
	KeyFile       string // keys that sign versions
	Spill         int    // servers of other zones in a subset; 0: all servers are used

	coresConfigured bool // the file has limits.cores
}

// Variables of the environment.
const (
	variableConfig    = "PROXY_CONFIG" // path of the file
	variableName      = "PROXY_NAME"
	variableListen    = "PROXY_LISTEN"
	variableDiscovery = "PROXY_DISCOVERY"
)

const missing = "is missing"

// Read reads the environment (through get) and the file that PROXY_CONFIG names. An error about a key is a
// *platformsettings.KeyError.
func Read(get func(string) string) (Config, error) { return read(get, false) }

// Reread reads the file again, for a reload. Unlike at the start, discovery's address in the file overrides the
// environment.
func Reread(get func(string) string) (Config, error) { return read(get, true) }

// read reads the file; reload says whether this is a reload.
func read(get func(string) string, reload bool) (Config, error) {
	path := get(variableConfig)
	if path == "" {
		return Config{}, &platformsettings.KeyError{Key: variableConfig, Problem: missing}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", variableConfig, err)
	}
	config, err := parse(get, text, reload)
	if err != nil {
		return Config{}, locate(text, err)
	}
	return config, nil
}

// wireConfig is the file as the platform writes it.
type wireConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hex
	Limits    wireLimits      `json:"limits"`
	Store     wireStore       `json:"store"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type wireLimits struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *float64 `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

type wireStore struct {
	Address string `json:"address"`
}

// wireReport is the part of the settings that says how servers report their load.
type wireReport struct {
	Report struct {
		How string `json:"how"`
	} `json:"report"`
}

// reportSilent is the value of report.how where servers do not report their load.
const reportSilent = "silent"

// parse decodes and validates the file. The environment overrides the file, except for discovery's address at a reload.
func parse(get func(string) string, text []byte, reload bool) (Config, error) {
	var wire wireConfig
	if err := json.Unmarshal(text, &wire); err != nil {
		var fault *platformsettings.KeyError
		if err = platformsettings.WithKey(err); errors.As(err, &fault) {
			return Config{}, err
		}
		return Config{}, fmt.Errorf("%s: %w", variableConfig, err)
	}
	var config Config
	if err := config.setAddresses(get, wire, reload); err != nil {
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

// textSetting is a text from the file or, for some, from the environment.
type textSetting struct {
	key       string // in the file
	variable  string // in the environment; empty: none
	value     string // in the file
	fileWins  bool
	isAddress bool
	to        *string
}

// setAddresses sets the manager's name and the addresses, and the seed.
func (c *Config) setAddresses(get func(string) string, wire wireConfig, reload bool) (err error) {
	for _, setting := range []textSetting{
		{key: "name", variable: variableName, value: wire.Name, to: &c.Name},
		{key: "listen", variable: variableListen, value: wire.Listen, isAddress: true, to: &c.Listen},
		{key: "discovery", variable: variableDiscovery, value: wire.Discovery, fileWins: reload, isAddress: true, to: &c.Discovery},
		{key: "store.address", value: wire.Store.Address, isAddress: true, to: &c.Relay},
	} {
		if *setting.to, err = setting.resolve(get); err != nil {
			return err
		}
	}
	if c.Seed, err = strconv.ParseUint(wire.Seed, 16, 64); err != nil {
		return keyError("seed", "%q is not up to 16 hex digits", wire.Seed)
	}
	return nil
}

// resolve is the value from the source that takes precedence.
func (s textSetting) resolve(get func(string) string) (string, error) {
	key := s.key
	value := s.value
	if s.variable != "" && (!s.fileWins || s.value == "") {
		if fromEnvironment := get(s.variable); fromEnvironment != "" {
			key = s.variable
			value = fromEnvironment
		}
	}
	if value == "" {
		return "", keyError(key, missing)
	}
	if !s.isAddress {
		return value, nil
	}
	if err := checkAddress(value); err != nil {
		return "", keyError(key, "%q is no address: %v", value, err)
	}
	return value, nil
}

// setMachine sets the limits by what the platform lets the process use.
func (c *Config) setMachine(wire wireConfig) error {
	m := machine{cores: 1, memoryMB: 192, sockets: 1024}
	if cores := wire.Limits.Cores; cores != nil {
		m.cores = *cores
		c.coresConfigured = true
	}
	if memory := wire.Limits.MemoryMB; memory != nil {
		m.memoryMB = *memory
	}
	if sockets := wire.Limits.Sockets; sockets != nil {
		m.sockets = *sockets
	}
	switch {
	case m.cores < 0.01 || m.cores > 4096:
		return keyError("limits.cores", "%v is not from 0.01 to 4096", m.cores)
	case m.memoryMB < 32 || m.memoryMB > 1<<30:
		return keyError("limits.memory_mb", "%v is not from 32 up", m.memoryMB)
	case m.sockets < 64 || m.sockets > 1<<24:
		return keyError("limits.sockets", "%v is not from 64 up", m.sockets)
	}
	c.Limits = limitsFor(m)
	return nil
}

// setSite sets the cached endpoint list and the site's settings.
func (c *Config) setSite(wire wireConfig) error {
	const settingsKey = "settings"
	if len(wire.Known) == 0 {
		return keyError("known", missing)
	}
	if len(wire.Settings) == 0 {
		return keyError(settingsKey, missing)
	}
	c.CachedEndpointList = wire.Known
	settings, err := platformsettings.Parse(wire.Settings)
	var fault *platformsettings.KeyError
	switch {
	case errors.As(err, &fault):
		return fault.Within(settingsKey)
	case err != nil:
		return keyError(settingsKey, "%v", err)
	}
	if len(settings.Balancer.Zones) == 0 {
		return keyError("settings.zones", missing)
	}
	c.Balancer = settings.Balancer
	c.ClassNames = settings.ClassNames
	var load wireReport
	if err := json.Unmarshal(wire.Settings, &load); err != nil {
		return keyError("settings.report", "%v", err)
	}
	how := load.Report.How
	c.ServersReportLoad = how != "" && how != reportSilent
	return nil
}

// keyError is an error about a key of the file.
func keyError(key, format string, values ...any) error {
	return &platformsettings.KeyError{Key: key, Problem: fmt.Sprintf(format, values...)}
}

// checkAddress returns an error unless a text is host:port.
func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is not from 1 to 65535", port)
	}
	if host == "" {
		return errors.New("no host is named")
	}
	return nil
}
