package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tamarindshore/internal/platformsettings"
)

const validPlatformFile = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"store":{"address":"127.0.0.3:6400"},
"known":{"generation":41,"reset":true,"instances":[]},"unknown":{"key":1},
"settings":{"zones":["a"],"classes":[{"name":"lookup","aimUs":2000000,"hardLimitUs":6000000,"worth":1}],
"domain":{"egressPerS":8600,"queueCap":8600,"usualHow":1},"report":{"how":"piggyback"},"rules":{"warmAfterUs":16000000}}}`

func emptyEnvironment(string) string { return "" }

func TestParseFillsSettingsAndLimits(t *testing.T) {
	s, err := parse(emptyEnvironment, []byte(validPlatformFile), false)
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "n3" || s.Relay != "127.0.0.3:6400" || s.Seed != 0x8c1f30d27a5be964 || !s.ServersReportLoad {
		t.Errorf("config %+v", s)
	}
	if s.Balancer.QueueCapacity != 8600 || len(s.ClassNames) != 1 || s.ClassNames[0] != "lookup" {
		t.Errorf("balancer settings %+v", s.Balancer)
	}
	l := s.Limits
	if l.Memory != 192<<20 || l.Cores != 1 || l.MaxUnidentifiedConns+l.MaxCollectorConns+l.MaxOpenHealthChecks >= l.Sockets/2 {
		t.Errorf("limits %+v", l)
	}
}

// The connections and line buffers that the limits allow must fit a small machine.
func TestLimitsScaleWithTheMachine(t *testing.T) {
	l := limitsFor(machine{cores: 0.2, memoryMB: 32, sockets: 256})
	if open := l.MaxUnidentifiedConns + l.MaxCollectorConns + l.MaxOpenHealthChecks + 8; open > 128 {
		t.Errorf("%d of 256 file descriptors may be open, want at most 128", open)
	}
	if buffered := int64(l.MaxUnidentifiedConns*l.MaxUnidentifiedLineBytes + l.MaxCollectorConns*l.MaxCollectorLineBytes + 2*l.MaxEndpointListBytes); buffered > l.Memory/8 {
		t.Errorf("line buffers may take %d of %d bytes, want at most an eighth", buffered, l.Memory)
	}
}

func TestEnvironmentOverridesTheFile(t *testing.T) {
	s, err := parse(func(key string) string {
		return map[string]string{"PROXY_LISTEN": "127.0.0.9:1", "PROXY_NAME": "n4"}[key]
	}, []byte(validPlatformFile), false)
	if err != nil || s.Listen != "127.0.0.9:1" || s.Name != "n4" || s.Discovery != "127.0.0.2:8500" {
		t.Errorf("config %+v, error %v", s, err)
	}
}

// A reload must use a new address of discovery in the file, even if the environment had set the address at the start.
func TestReloadTakesDiscoveryAddressFromTheFile(t *testing.T) {
	env := func(key string) string {
		return map[string]string{"PROXY_LISTEN": "127.0.0.9:1", "PROXY_DISCOVERY": "127.0.0.9:2"}[key]
	}
	s, err := parse(env, []byte(validPlatformFile), true)
	if err != nil || s.Discovery != "127.0.0.2:8500" || s.Listen != "127.0.0.9:1" {
		t.Errorf("config %+v, error %v", s, err)
	}
	withoutDiscovery := strings.Replace(validPlatformFile, `"discovery":"127.0.0.2:8500",`, "", 1)
	if s, err = parse(env, []byte(withoutDiscovery), true); err != nil || s.Discovery != "127.0.0.9:2" {
		t.Errorf("config %+v, error %v", s, err)
	}
}

func TestParseNamesTheInvalidKey(t *testing.T) {
	for _, c := range []struct{ valid, invalid, want string }{
		{`"name":"n3",`, ``, "name: is missing"},
		{`"listen":"127.0.0.1:8443"`, `"listen":"127.0.0.1"`, `listen: "127.0.0.1" is not a valid address`},
		{`"listen":"127.0.0.1:8443"`, `"listen":":8443"`, "listen: "},
		{`"discovery":"127.0.0.2:8500"`, `"discovery":"127.0.0.2:99999"`, "discovery: "},
		{`"discovery":"127.0.0.2:8500"`, `"discovery":7`, "discovery: found number, expected string"},
		{`"address":"127.0.0.3:6400"`, `"port":1`, "store.address: is missing"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed: "},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"18c1f30d27a5be9640"`, "seed: "},
		{`"cores":1.0`, `"cores":0`, "limits.cores: 0 is not"},
		{`"cores":1.0`, `"cores":"one"`, "limits.cores: found string, expected float64"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb: 1 is not"},
		{`"sockets":1024`, `"sockets":-1`, "limits.sockets: -1 is not"},
		{`"known":`, `"knew":`, "known: is missing"},
		{`"settings":`, `"terms":`, "settings: is missing"},
		{`"queueCap":8600`, `"queueCap":-8600`, "settings.domain.queueCap: -8600 is not"},
		{`"queueCap":8600`, `"queueCap":"many"`, "settings.domain.queueCap: found string, expected float64"},
		{`"egressPerS":8600,`, ``, "settings.domain.egressPerS: 0 is not"},
		{`"usualHow":1`, `"usualHow":4`, "settings.domain.usualHow: 4 is not"},
		{`"aimUs":2000000`, `"aimUs":0`, "settings.classes[0]: "},
		{`"zones":["a"],`, ``, "settings.zones: is missing"},
		{`"how":"piggyback"`, `"how":1`, "settings.report: "},
		{`"settings":{"zones"`, `"settings":[],"other":{"zones"`, "settings: json: cannot unmarshal array"},
		{`{"name"`, `"name"`, "PROXY_CONFIG: "},
	} {
		text := strings.Replace(validPlatformFile, c.valid, c.invalid, 1)
		if text == validPlatformFile {
			t.Fatalf("%s is not in the text", c.valid)
		}
		_, err := parse(emptyEnvironment, []byte(text), false)
		var keyErr *platformsettings.KeyError
		if syntax := strings.HasPrefix(c.want, "PROXY_CONFIG"); !syntax && !errors.As(err, &keyErr) {
			t.Errorf("%s: error %v names no key", c.invalid, err)
		}
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", c.invalid, err, c.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: the error has more than one line: %v", c.invalid, err)
		}
	}
}

func TestReadNeedsAFile(t *testing.T) {
	if _, err := Read(emptyEnvironment); err == nil || err.Error() != "PROXY_CONFIG: is missing" {
		t.Error(err)
	}
	for _, read := range []func(func(string) string) (Config, error){Read, Reread} {
		if _, err := read(func(string) string { return "/nowhere/config.json" }); !errors.Is(err, fs.ErrNotExist) ||
			!strings.HasPrefix(err.Error(), "PROXY_CONFIG: ") {
			t.Errorf("error for a missing file: %v", err)
		}
	}
}

// When all servers of a fleet are lost at once, all of them must be checked, not only the first few hundred.
func TestSmallestMachineSupportsAThousandServers(t *testing.T) {
	l := limitsFor(machine{cores: 0.01, memoryMB: 32, sockets: 64})
	if l.MaxQueuedHealthChecks < 1024 || l.MaxQueuedInputs < 1024 || l.MaxEndpointListBytes < 1024*200 {
		t.Errorf("limits %+v", l)
	}
}

func TestErrorsNameTheLine(t *testing.T) {
	for replacement, want := range map[[2]string]string{
		{`"queueCap":8600`, `"queueCap":-1`}:       "settings.domain.queueCap: -1 is not between 1e-06 and 1e+12 (line 5)",
		{`"aimUs":2000000`, `"aimUs":0`}:           "settings.classes[0]: name, aimUs > 0, hardLimitUs > 0 and worth >= 0 are required (line 4)",
		{`"sockets":1024`, `"sockets":1`}:          "limits.sockets: 1 is not between 64 and 16777216 (line 2)",
		{`"sockets":1024`, `"sockets":"x"`}:        "limits.sockets: found string, expected int (line 2)",
		{`"address":"127.0.0.3:6400"`, `"at":"x"`}: "store.address: is missing (line 2)",
		{`"known"`, `"knew"`}:                      "known: is missing",
		{`"unknown":{"key":1}`, `"unknown":{]`}:    "PROXY_CONFIG: invalid character ']' looking for beginning of object key string (line 3)",
		{`"warmAfterUs":16000000}}}`, ``}:          "PROXY_CONFIG: unexpected end of JSON input (line 5)",
	} {
		text := strings.Replace(validPlatformFile, replacement[0], replacement[1], 1)
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(func(key string) string { return map[string]string{"PROXY_CONFIG": path}[key] })
		if err == nil || err.Error() != want {
			t.Errorf("%s: got error %v, want %s", replacement[1], err, want)
		}
		var located *LocatedError
		if errors.As(err, &located) != strings.Contains(want, "(line ") {
			t.Errorf("%s: error %v must be a LocatedError exactly if a line is expected", replacement[1], err)
		}
	}
}

// A list of 24,000 servers of 200 bytes each must fit a manager with 256 MB; the limit is never below 1 MiB.
func TestMaxEndpointListBytesScalesWithMemory(t *testing.T) {
	if limit := limitsFor(machine{cores: 1, memoryMB: 256, sockets: 1024}).MaxEndpointListBytes; limit < 24000*200 {
		t.Errorf("a list may have %d bytes with 256 MB of memory, want at least %d", limit, 24000*200)
	}
	if limit := limitsFor(machine{cores: 1, memoryMB: 16, sockets: 1024}).MaxEndpointListBytes; limit != minEndpointListBytes {
		t.Errorf("a list may have %d bytes with 16 MB of memory, want %d", limit, minEndpointListBytes)
	}
}

// An error with a line must still unwrap to the error about its key.
func TestLocatedErrorKeepsItsCause(t *testing.T) {
	text := strings.Replace(validPlatformFile, `"sockets":1024`, `"sockets":1`, 1)
	_, err := parse(emptyEnvironment, []byte(text), false)
	var cause *platformsettings.KeyError
	if err = locate([]byte(text), err); !errors.As(err, &cause) || cause.Key != "limits.sockets" {
		t.Errorf("%v does not wrap the error about limits.sockets", err)
	}
}

func TestErrorOfNonObjectFileHasNoLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte("\n[]"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Read(func(key string) string { return map[string]string{envConfig: path}[key] })
	var located *LocatedError
	if err == nil || !strings.HasPrefix(err.Error(), "PROXY_CONFIG: json: cannot unmarshal array") || errors.As(err, &located) {
		t.Errorf("got %v, want an error about the whole file without a line", err)
	}
}
