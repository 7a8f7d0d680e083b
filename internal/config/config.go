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
type Start struct {
	Name, Listen, Discovery, Relay                        string
	Seed                                                  uint64
	Limits                                                Limits
	Terms                                                 balancer.Settings
	Groups                                                []string        // names of the traffic groups in their order
	Loads                                                 bool            // servers tell their load when probed
	Known                                                 json.RawMessage // the list as last held, in discovery's form
	LogLevel, LogForm, Status, Admin, Store, Tables, Keys string          // by the operator's settings
	Spill                                                 int             // servers of other zones in a subset; 0: all servers are used
	coresTold                                             bool
}

// Limits are the sizes, counts and times of the network code.
type Limits struct {
	Cores   int
	Lanes   int // cores that take in beside the one that decides; up to 1: none
	Keeper  sharding.Terms
	Memory  int64 // bytes
	Sockets int

	Inputs      int // that wait for the owner of the module
	Together    int // of them, taken at one time
	CallsWait   int // orders that wait for the relay unmerged
	CallBytes   int // of orders in a call
	ProbesWait  int // servers that may all be asked at once: a lost fleet is probed whole
	ProbesOpen  int
	Unnamed     int // connections that have not said whose they are
	Named       int // collectors
	Words       int // of a line
	LineUnnamed int
	LineNamed   int
	LineNews    int
	LineList    int // a whole list in one line
	Answer      int // bytes of an answer of relay or server
	LogWaits    int // lines of the log
	Piece       int // bytes read at one time where several cores take in
	Pieces      int // of them that wait of one connection

	ReadInterval time.Duration // between reads of what collectors and the relay tell; 0: each is made at once

	IdleMost  int     // messages one after another that report nothing
	FlowsMost float64 // a second in a report, and held by a server

	Stranger, SilentNamed     time.Duration // from the start of a connection until it reports; then
	Spoke                     time.Duration // how exactly it is known when a connection last spoke
	SpanMost                  time.Duration // of a report
	SilentNews, SilentWatch   time.Duration // past their signs of life
	Opening                   time.Duration // until a stream begins
	NewsOpening               time.Duration // a sign of life later than that ends what stands at the opening
	Connect, Write            time.Duration
	RelayAnswer, ProbeAnswer  time.Duration
	Look                      time.Duration // for what came while this process stood still
	ReadyMost                 time.Duration // after its start a manager is ready also without the relay
	ListenMost                time.Duration // for an address that is still in use
	Rereads                   int           // of a faulty file, after a signal,
	RereadEvery               time.Duration // and the time between them
	GapMost                   time.Duration // until what a stream could not tell is asked for again
	BackoffLeast, BackoffMost time.Duration // waits before a new try, by chance between them
	LogEvery                  time.Duration // of lines of one kind
	LogEnd                    time.Duration // for the last lines
}

// A whole list comes in one line. Its bound follows the memory, so that no size of a fleet is refused that the memory
// carries: 24,000 servers take some 4 MB.
const (
	minListLine  = 1 << 20
	listLinePart = 32 // of the memory
)

// LongestList is the bound on a whole list, in bytes, of a manager with so much memory.
func LongestList(memoryMB float64) int { return max(minListLine, int(memoryMB*(1<<20))/listLinePart) }

func limits(cores, memoryMB float64, sockets int) Limits {
	return Limits{
		Cores: max(1, int(cores+0.5)), Memory: int64(memoryMB * (1 << 20)), Sockets: sockets,
		Inputs: 4096, Together: 512, CallsWait: 8, CallBytes: 60000, ProbesWait: 4096,
		ProbesOpen: min(64, sockets/8), Unnamed: min(256, sockets/4), Named: min(32, sockets/16),
		Words: 64, LineUnnamed: 4 << 10, LineNamed: min(1<<20, int(memoryMB*(1<<20))/512), LineNews: 64 << 10,
		LineList: LongestList(memoryMB), Answer: 64 << 10,
		IdleMost: 64, FlowsMost: 10000, Stranger: 1500 * time.Millisecond, SilentNamed: 20 * time.Second, Spoke: 50 * time.Millisecond, SpanMost: time.Minute,
		SilentNews: 1500 * time.Millisecond, SilentWatch: 2600 * time.Millisecond, NewsOpening: 300 * time.Millisecond,
		Opening: 700 * time.Millisecond,
		Connect: 300 * time.Millisecond, Write: 300 * time.Millisecond,
		RelayAnswer: 60 * time.Millisecond, ProbeAnswer: 600 * time.Millisecond, Look: 20 * time.Millisecond,
		ReadyMost: 5 * time.Second, ListenMost: 2 * time.Second, Rereads: 5, RereadEvery: 200 * time.Millisecond,
		GapMost: time.Second, BackoffLeast: 50 * time.Millisecond, BackoffMost: 200 * time.Millisecond, LogEvery: time.Second,
		LogWaits: 1024, Piece: 16 << 10, Pieces: 4, LogEnd: 200 * time.Millisecond,
	}
}

// Read takes the environment (through get) and the file that PROXY_CONFIG names.
func Read(get func(string) string) (Start, error) { return read(get, false) }

// Reread takes the file again: where it names discovery's address, that wins over the environment, which was
// told at the start.
func Reread(get func(string) string) (Start, error) { return read(get, true) }

func read(get func(string) string, again bool) (Start, error) {
	path := get("PROXY_CONFIG")
	if path == "" {
		return Start{}, errors.New("PROXY_CONFIG: is missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Start{}, fmt.Errorf("PROXY_CONFIG: %v", err)
	}
	s, err := parse(get, text, again)
	if err != nil {
		return Start{}, located(text, err)
	}
	return s, nil
}

// parse checks what is told; the environment wins over the file, but for discovery's address in a file that is
// taken again.
func parse(get func(string) string, text []byte, again bool) (s Start, err error) {
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
		if faulty := platformsettings.Faulty(err); faulty != err {
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
		cores, s.coresTold = *v, true
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
	if s.Known = in.Known; len(in.Known) == 0 {
		return s, errors.New("known: is missing")
	}
	if len(in.Settings) == 0 {
		return s, errors.New("settings: is missing")
	}
	if s.Terms, s.Groups, err = platformsettings.Read(in.Settings); err != nil {
		return s, fmt.Errorf("settings.%v", err)
	}
	if len(s.Terms.Zones) == 0 {
		return s, errors.New("settings.zones: is missing")
	}
	var report struct{ Report struct{ How string } }
	if err := json.Unmarshal(in.Settings, &report); err != nil {
		return s, fmt.Errorf("settings.report: %v", err)
	}
	s.Loads = report.Report.How != "" && report.Report.How != "silent"
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
