package config

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/sharding"
)

// fixtureConfig returns the configuration that version 0.9 read from testdata/platform.json, which has every key of the
// platform's file.
func fixtureConfig() Config {
	return Config{
		Name:               "n3",
		Listen:             "127.0.0.1:8443",
		Discovery:          "127.0.0.2:8500",
		Relay:              "127.0.0.3:6400",
		Seed:               0x8c1f30d27a5be964,
		Limits:             fixtureLimits(),
		ClassNames:         []string{"quote", "book"},
		ServersReportLoad:  true,
		CachedEndpointList: json.RawMessage(`{"generation":41,"reset":true,"instances":[]}`),
		coresConfigured:    true,
		Balancer: balancer.Settings{
			Zones: []balancer.ZoneID{"east", "west"},
			Classes: []balancer.TrafficClass{
				{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1.5,
					Idempotency: balancer.Idempotent, DedupWindow: 5 * time.Second},
				{LatencyObjective: 1100 * time.Millisecond, Deadline: 3500 * time.Millisecond, PriorityWeight: 3, ZoneLocal: true},
			},
			Managers:           5,
			Proxies:            9,
			RemovedMayServe:    true,
			HealthChecks:       true,
			AdmissionUnit:      balancer.AdmitShare,
			DefaultRetryPolicy: balancer.RetryIfNotExecuted,
			IdleTimeout:        15 * time.Second,
			ColdCapacity:       0.15,
			WarmUpDuration:     16 * time.Second,
			DrainGrace:         3200 * time.Millisecond,
			QueueCapacity:      8700,
			CommandsPerSecond:  8600,
			CommandPrice:       0.02,
			MessageOverhead:    4,
			MaxMessages:        20,
			MessageWindow:      10 * time.Second,
		},
	}
}

// fixtureLimits returns the limits of fixtureConfig.
func fixtureLimits() Limits {
	return Limits{
		Cores:                    6,
		Memory:                   256 << 20,
		Sockets:                  2048,
		MaxQueuedInputs:          4096,
		MaxInputBatch:            512,
		MaxQueuedCalls:           8,
		MaxCallBytes:             60000,
		MaxQueuedHealthChecks:    4096,
		MaxOpenHealthChecks:      64,
		MaxUnidentifiedConns:     256,
		MaxCollectorConns:        32,
		MaxLineFields:            64,
		MaxUnidentifiedLineBytes: 4096,
		MaxCollectorLineBytes:    524288,
		MaxWatchEventBytes:       65536,
		MaxEndpointListBytes:     8388608,
		MaxResponseBytes:         65536,
		MaxQueuedLogLines:        1024,
		ReadChunkBytes:           16384,
		MaxQueuedChunks:          4,
		MaxMessagesWithoutReport: 64,
		MaxRequestsPerSecond:     10000,
		IdentifyTimeout:          1500 * time.Millisecond,
		CollectorIdleTimeout:     20 * time.Second,
		LastSeenPrecision:        50 * time.Millisecond,
		MaxReportInterval:        time.Minute,
		ProxyWatchIdleTimeout:    1500 * time.Millisecond,
		EndpointWatchIdleTimeout: 2600 * time.Millisecond,
		StreamOpenTimeout:        700 * time.Millisecond,
		ProxySnapshotTimeout:     300 * time.Millisecond,
		ConnectTimeout:           300 * time.Millisecond,
		WriteTimeout:             300 * time.Millisecond,
		RelayTimeout:             60 * time.Millisecond,
		HealthCheckTimeout:       600 * time.Millisecond,
		ProcessStallGrace:        20 * time.Millisecond,
		MaxReadyDelay:            5 * time.Second,
		ListenTimeout:            2 * time.Second,
		ReloadRetries:            5,
		ReloadRetryInterval:      200 * time.Millisecond,
		MaxWatchGap:              time.Second,
		MinBackoff:               50 * time.Millisecond,
		MaxBackoff:               200 * time.Millisecond,
		LogInterval:              time.Second,
		LogFlushTimeout:          200 * time.Millisecond,
	}
}

// fixtureOperatorSettings returns the settings that version 0.9 read from testdata/operator.sexp, which has every key of
// the operator's file.
func fixtureOperatorSettings() OperatorSettings {
	return OperatorSettings{
		File:          "operator.sexp",
		Shards:        3,
		LogLevel:      "debug",
		LogFormat:     "json",
		StatusAddress: "127.0.0.1:9801",
		AdminSocket:   "/run/tamarindshore/admin.sock",
		TablesAddress: "10.0.0.1:9802",
		KeyFile:       "/etc/tamarindshore/keys",
		StorePath:     "/var/lib/tamarindshore/state.db",
		Spill:         100,
		ReadInterval:  20 * time.Millisecond,
	}
}

// platformEnvironment is an environment with only PROXY_CONFIG, which names the fixture.
func platformEnvironment(key string) string {
	return map[string]string{"PROXY_CONFIG": "testdata/platform.json"}[key]
}

func TestReadPlatformFixture(t *testing.T) {
	got, err := Read(platformEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	if want := fixtureConfig(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

func TestReadOperatorFixture(t *testing.T) {
	got, err := ReadOperatorSettings("testdata/operator.sexp")
	if err != nil {
		t.Fatal(err)
	}
	got.form = nil
	if want := fixtureOperatorSettings(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

func TestWithOperatorAppliesEachSetting(t *testing.T) {
	config, err := Read(platformEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	operator, err := ReadOperatorSettings("testdata/operator.sexp")
	if err != nil {
		t.Fatal(err)
	}
	got, err := config.WithOperator(operator)
	if err != nil {
		t.Fatal(err)
	}
	want := fixtureConfig()
	want.LogLevel = "debug"
	want.LogFormat = "json"
	want.StatusAddress = "127.0.0.1:9801"
	want.AdminSocket = "/run/tamarindshore/admin.sock"
	want.TablesAddress = "10.0.0.1:9802"
	want.KeyFile = "/etc/tamarindshore/keys"
	want.StorePath = "/var/lib/tamarindshore/state.db"
	want.Spill = 100
	want.Limits.Shards = 3
	want.Limits.ReadInterval = 20 * time.Millisecond
	want.Limits.Sharding = sharding.Settings{
		Shards:             3,
		CheckInterval:      50 * time.Millisecond,
		RebalanceInterval:  time.Second,
		StallTimeout:       500 * time.Millisecond,
		DrainTimeout:       200 * time.Millisecond,
		MoveCooldown:       10 * time.Second,
		MoveWindow:         10 * time.Second,
		MaxMoves:           4,
		MaxFailures:        3,
		FailureWindow:      time.Minute,
		QuarantineDuration: time.Minute,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// Each environment variable must be read by its fixed name and override the file.
func TestEnvironmentVariableNames(t *testing.T) {
	env := map[string]string{
		"PROXY_CONFIG":    "testdata/platform.json",
		"PROXY_NAME":      "n4",
		"PROXY_LISTEN":    "127.0.0.9:1",
		"PROXY_DISCOVERY": "127.0.0.9:2",
	}
	got, err := Read(func(key string) string { return env[key] })
	want := fixtureConfig()
	want.Name = "n4"
	want.Listen = "127.0.0.9:1"
	want.Discovery = "127.0.0.9:2"
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("error %v: got %+v\nwant %+v", err, got, want)
	}
}
