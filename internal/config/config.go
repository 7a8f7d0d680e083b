// Package config is the one place where a real manager's start is read, checked and given
// defaults: the environment and the JSON file that it names. An error begins with the key that
// is at fault. It must never hold a decision, and nothing reads the environment after it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/platformsettings"
	"tamarindshore/internal/sharding"
)

// Start is all that a manager is told at its start.
type Config struct {
	Name, Listen, Discovery, Relay                                                     string
	Seed                                                                               uint64
	Limits                                                                             Limits
	Balancer                                                                           balancer.Settings
	ClassNames                                                                         []string        // names of the traffic groups in their order
	ServersReportLoad                                                                  bool            // servers tell their load when probed
	CachedEndpointList                                                                 json.RawMessage // the list as last held, in discovery's form
	LogLevel, LogFormat, StatusAddress, AdminSocket, StorePath, TablesAddress, KeyFile string          // by the operator's settings
	Spill                                                                              int             // servers of other zones in a subset; 0: all servers are used
	coresConfigured                                                                    bool
}

// Limits are the sizes, counts and times of the network code.
type Limits struct {
	Cores    int
	Shards   int // cores that take in beside the one that decides; up to 1: none
	Sharding sharding.Settings
	Memory   int64 // bytes
	Sockets  int

	MaxQueuedInputs          int // that wait for the owner of the module
	MaxInputBatch            int // of them, taken at one time
	MaxQueuedCalls           int // orders that wait for the relay unmerged
	MaxCallBytes             int // of orders in a call
	MaxQueuedHealthChecks    int // servers that may all be asked at once: a lost fleet is probed whole
	MaxOpenHealthChecks      int
	MaxUnidentifiedConns     int // connections that have not said whose they are
	MaxCollectorConns        int // collectors
	MaxLineFields            int // of a line
	MaxUnidentifiedLineBytes int
	MaxCollectorLineBytes    int
	MaxWatchEventBytes       int
	MaxEndpointListBytes     int // a whole list in one line
	MaxResponseBytes         int // bytes of an answer of relay or server
	MaxQueuedLogLines        int // lines of the log
	ReadChunkBytes           int // bytes read at one time where several cores take in
	MaxQueuedChunks          int // of them that wait of one connection

	ReadInterval time.Duration // between reads of what collectors and the relay tell; 0: each is made at once

	MaxEmptyMessages     int     // messages one after another that report nothing
	MaxRequestsPerSecond float64 // a second in a report, and held by a server

	IdentifyTimeout, CollectorIdleTimeout           time.Duration // from the start of a connection until it reports; then
	LastSeenPrecision                               time.Duration // how exactly it is known when a connection last spoke
	MaxReportInterval                               time.Duration // of a report
	ProxyWatchIdleTimeout, EndpointWatchIdleTimeout time.Duration // past their signs of life
	StreamOpenTimeout                               time.Duration // until a stream begins
	ProxySnapshotTimeout                            time.Duration // a sign of life later than that ends what stands at the opening
	ConnectTimeout, WriteTimeout                    time.Duration
	RelayTimeout, HealthCheckTimeout                time.Duration
	ProcessStallGrace                               time.Duration // for what came while this process stood still
	MaxReadyDelay                                   time.Duration // after its start a manager is ready also without the relay
	ListenTimeout                                   time.Duration // for an address that is still in use
	ReloadRetries                                   int           // of a faulty file, after a signal,
	ReloadRetryInterval                             time.Duration // and the time between them
	MaxWatchGap                                     time.Duration // until what a stream could not tell is asked for again
	MinBackoff, MaxBackoff                          time.Duration // waits before a new try, by chance between them
	LogInterval                                     time.Duration // of lines of one kind
	LogFlushTimeout                                 time.Duration // for the last lines
}

// A whole list comes in one line. Its bound follows the memory, so that no size of a fleet is refused that the memory
// carries: 24,000 servers take some 4 MB.
const (
	minListLine  = 1 << 20
	listLinePart = 32 // of the memory
)

// LongestList is the bound on a whole list, in bytes, of a manager with so much memory.
func MaxEndpointListBytes(memoryMB float64) int {
	return max(minListLine, int(memoryMB*(1<<20))/listLinePart)
}

func limits(cores, memoryMB float64, sockets int) Limits {
	return Limits{
		Cores: max(1, int(cores+0.5)), Memory: int64(memoryMB * (1 << 20)), Sockets: sockets,
		MaxQueuedInputs: 4096, MaxInputBatch: 512, MaxQueuedCalls: 8, MaxCallBytes: 60000, MaxQueuedHealthChecks: 4096,
		MaxOpenHealthChecks: min(64, sockets/8), MaxUnidentifiedConns: min(256, sockets/4), MaxCollectorConns: min(32, sockets/16),
		MaxLineFields: 64, MaxUnidentifiedLineBytes: 4 << 10, MaxCollectorLineBytes: min(1<<20, int(memoryMB*(1<<20))/512), MaxWatchEventBytes: 64 << 10,
		MaxEndpointListBytes: MaxEndpointListBytes(memoryMB), MaxResponseBytes: 64 << 10,
		MaxEmptyMessages: 64, MaxRequestsPerSecond: 10000, IdentifyTimeout: 1500 * time.Millisecond, CollectorIdleTimeout: 20 * time.Second, LastSeenPrecision: 50 * time.Millisecond, MaxReportInterval: time.Minute,
		ProxyWatchIdleTimeout: 1500 * time.Millisecond, EndpointWatchIdleTimeout: 2600 * time.Millisecond, ProxySnapshotTimeout: 300 * time.Millisecond,
		StreamOpenTimeout: 700 * time.Millisecond,
		ConnectTimeout:    300 * time.Millisecond, WriteTimeout: 300 * time.Millisecond,
		RelayTimeout: 60 * time.Millisecond, HealthCheckTimeout: 600 * time.Millisecond, ProcessStallGrace: 20 * time.Millisecond,
		MaxReadyDelay: 5 * time.Second, ListenTimeout: 2 * time.Second, ReloadRetries: 5, ReloadRetryInterval: 200 * time.Millisecond,
		MaxWatchGap: time.Second, MinBackoff: 50 * time.Millisecond, MaxBackoff: 200 * time.Millisecond, LogInterval: time.Second,
		MaxQueuedLogLines: 1024, ReadChunkBytes: 16 << 10, MaxQueuedChunks: 4, LogFlushTimeout: 200 * time.Millisecond,
	}
}

// Read takes the environment (through get) and the file that PROXY_CONFIG names.
func Read(get func(string) string) (Config, error) { return read(get, false) }

// Reread takes the file again: where it names discovery's address, that wins over the environment, which was
// told at the start.
func Reread(get func(string) string) (Config, error) { return read(get, true) }

func read(get func(string) string, again bool) (Config, error) {
	path := get("PROXY_CONFIG")
	if path == "" {
		return Config{}, errors.New("PROXY_CONFIG: is missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("PROXY_CONFIG: %v", err)
	}
	s, err := parse(get, text, again)
	if err != nil {
		return Config{}, located(text, err)
	}
	return s, nil
}

// parse checks what is told; the environment wins over the file, but for discovery's address in a file that is
// taken again.
func parse(get func(string) string, text []byte, again bool) (s Config, err error) {
	var in struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    *float64
			MemoryMB *float64 `json:"memory_mb"`
			Sockets  *int
		}
		Store           struct{ Address string }
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		if faulty := platformsettings.WithKey(err); faulty != err {
			return s, faulty
		}
		return s, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	for _, one := range []struct {
		key, variable, told string
		to                  *string
		address             bool
	}{
		{"name", "PROXY_NAME", in.Name, &s.Name, false},
		{"listen", "PROXY_LISTEN", in.Listen, &s.Listen, true},
		{"discovery", "PROXY_DISCOVERY", in.Discovery, &s.Discovery, true},
		{"store.address", "", in.Store.Address, &s.Relay, true},
	} {
		key := one.key
		*one.to = one.told
		keep := again && one.to == &s.Discovery && one.told != ""
		if v := get(one.variable); !keep && one.variable != "" && v != "" {
			key, *one.to = one.variable, v
		}
		if *one.to == "" {
			return s, fmt.Errorf("%s: is missing", key)
		}
		if one.address {
			if err := address(*one.to); err != nil {
				return s, fmt.Errorf("%s: %q is no address: %v", key, *one.to, err)
			}
		}
	}
	if s.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		return s, fmt.Errorf("seed: %q is not up to 16 hex digits", in.Seed)
	}
	cores, memory, sockets := 1.0, 192.0, 1024
	if v := in.Limits.Cores; v != nil {
		cores, s.coresConfigured = *v, true
	}
	if v := in.Limits.MemoryMB; v != nil {
		memory = *v
	}
	if v := in.Limits.Sockets; v != nil {
		sockets = *v
	}
	switch {
	case cores < 0.01 || cores > 4096:
		return s, fmt.Errorf("limits.cores: %v is not from 0.01 to 4096", cores)
	case memory < 32 || memory > 1<<30:
		return s, fmt.Errorf("limits.memory_mb: %v is not from 32 up", memory)
	case sockets < 64 || sockets > 1<<24:
		return s, fmt.Errorf("limits.sockets: %v is not from 64 up", sockets)
	}
	s.Limits = limits(cores, memory, sockets)
	if s.CachedEndpointList = in.Known; len(in.Known) == 0 {
		return s, errors.New("known: is missing")
	}
	if len(in.Settings) == 0 {
		return s, errors.New("settings: is missing")
	}
	if s.Balancer, s.ClassNames, err = platformsettings.Parse(in.Settings); err != nil {
		return s, fmt.Errorf("settings.%v", err)
	}
	if len(s.Balancer.Zones) == 0 {
		return s, errors.New("settings.zones: is missing")
	}
	var report struct{ Report struct{ How string } }
	if err := json.Unmarshal(in.Settings, &report); err != nil {
		return s, fmt.Errorf("settings.report: %v", err)
	}
	s.ServersReportLoad = report.Report.How != "" && report.Report.How != "silent"
	return s, nil
}

func address(text string) error {
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
