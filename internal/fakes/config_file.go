package fakes

import (
	"encoding/json"
	"fmt"
)

// The sections of the manager's configuration file. Tags are the platform's names; fields are written in this order.
type (
	configFile struct {
		Discovery string       `json:"discovery"`
		Known     EndpointList `json:"known"`
		Limits    fileLimits   `json:"limits"`
		Listen    string       `json:"listen"`
		Name      string       `json:"name"`
		Seed      string       `json:"seed"`
		Settings  fileSettings `json:"settings"`
		Store     fileStore    `json:"store"`
	}
	fileLimits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}
	fileStore struct {
		Address string `json:"address"`
	}
	fileSettings struct {
		Classes []fileClass    `json:"classes"`
		Domain  fileDomain     `json:"domain"`
		Limits  fileSiteLimits `json:"limits"`
		Report  fileReport     `json:"report"`
		Rules   fileRules      `json:"rules"`
		Zones   []string       `json:"zones"`
	}
	fileClass struct {
		Name        string  `json:"name"`
		AimUs       int64   `json:"aimUs"`
		HardLimitUs int64   `json:"hardLimitUs"`
		Worth       float64 `json:"worth"`
		Repeat      string  `json:"repeat"`
	}
	fileDomain struct {
		Admit        string  `json:"admit"`
		EgressPerS   float64 `json:"egressPerS"`
		Envelope     float64 `json:"envelope"`
		LineFee      float64 `json:"lineFee"`
		MessagesMost int     `json:"messagesMost"`
		Proxies      int     `json:"proxies"`
		QueueCap     float64 `json:"queueCap"`
		ReloadSpanUs int64   `json:"reloadSpanUs"`
		TryAims      float64 `json:"tryAims"`
		UsualHow     int     `json:"usualHow"`
	}
	fileSiteLimits struct {
		ConnIdleUs int64 `json:"connIdleUs"`
		Probing    bool  `json:"probing"`
	}
	fileReport struct {
		How string `json:"how"`
	}
	fileRules struct {
		ColdFrom     float64 `json:"coldFrom"`
		DrainGraceUs int64   `json:"drainGraceUs"`
		EmptyForUs   int64   `json:"emptyForUs"`
		WarmAfterUs  int64   `json:"warmAfterUs"`
	}
)

// ConfigFile returns the contents of the configuration file of a manager of this site.
func (s Site) ConfigFile(config ManagerConfig) []byte {
	options := config.Options
	limits := fileLimits{
		Cores:    float64(options.Cores),
		MemoryMB: options.MemoryMB,
		Sockets:  options.MaxDescriptors,
	}
	text, err := json.MarshalIndent(configFile{
		Discovery: config.DiscoveryAddress,
		Known:     config.Endpoints,
		Limits:    limits,
		Listen:    config.ListenAddress,
		Name:      config.Name,
		Seed:      fmt.Sprintf("%016x", options.Seed),
		Settings:  s.fileSettings(),
		Store:     fileStore{Address: config.RelayAddress},
	}, "", " ")
	if err != nil {
		panic(err) // every field of the file can be encoded as JSON
	}
	return text
}

// fileSettings converts the site to the settings section of the configuration file.
func (s Site) fileSettings() fileSettings {
	var classes []fileClass
	for _, class := range s.TrafficClasses {
		classes = append(classes, fileClass{
			Name:        class.Name,
			AimUs:       class.LatencyObjective.Microseconds(),
			HardLimitUs: class.Deadline.Microseconds(),
			Worth:       class.PriorityWeight,
			Repeat:      class.Idempotency,
		})
	}
	return fileSettings{
		Classes: classes,
		Domain: fileDomain{
			Admit:        "share",
			EgressPerS:   s.CommandsPerSecond,
			Envelope:     s.MessageOverhead,
			LineFee:      0.02,
			MessagesMost: s.MaxMessages,
			Proxies:      s.Proxies,
			QueueCap:     s.QueueCapacity,
			ReloadSpanUs: s.MessageWindow.Microseconds(),
			TryAims:      0.8,
			UsualHow:     1,
		},
		Limits: fileSiteLimits{ConnIdleUs: 15_000_000, Probing: true},
		Report: fileReport{How: "piggyback"},
		Rules: fileRules{
			ColdFrom:     s.ColdCapacity,
			DrainGraceUs: s.DrainGracePeriod.Microseconds(),
			EmptyForUs:   s.EmptyTableLimit.Microseconds(),
			WarmAfterUs:  s.WarmUpDuration.Microseconds(),
		},
		Zones: s.Zones,
	}
}
