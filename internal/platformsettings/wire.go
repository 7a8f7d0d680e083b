package platformsettings

// wireSettings is the settings object as a site writes it. All JSON names are declared in this file; keys that are
// not declared are ignored. Fields whose names end in Us are times in microseconds.
type wireSettings struct {
	Zones          []string    `json:"zones"`
	Classes        []wireClass `json:"classes"`
	MembershipMode string      `json:"membershipMode"`
	WeightSource   string      `json:"weightSource"`
	PeersTotal     int         `json:"peersTotal"`
	Domain         wireDomain  `json:"domain"`
	Limits         wireLimits  `json:"limits"`
	Rules          wireRules   `json:"rules"`
}

type wireClass struct {
	Name        string  `json:"name"`
	Repeat      string  `json:"repeat"`
	Group       string  `json:"group"`
	AimUs       int64   `json:"aimUs"`
	HardLimitUs int64   `json:"hardLimitUs"`
	WindowUs    int64   `json:"windowUs"`
	Worth       float64 `json:"worth"`
}

type wireDomain struct {
	Admit        string  `json:"admit"`
	Ranges       int     `json:"ranges"`
	MessagesMost int     `json:"messagesMost"`
	UsualHow     int     `json:"usualHow"`
	Proxies      int     `json:"proxies"`
	EgressPerS   float64 `json:"egressPerS"`
	Envelope     float64 `json:"envelope"`
	QueueCap     float64 `json:"queueCap"`
	LineFee      float64 `json:"lineFee"`
	ReloadSpanUs int64   `json:"reloadSpanUs"`
	HomeOnly     []bool  `json:"homeOnly"` // by index of the class
}

type wireLimits struct {
	Probing    bool  `json:"probing"`
	ConnIdleUs int64 `json:"connIdleUs"`
}

type wireRules struct {
	ColdFrom        float64 `json:"coldFrom"`
	WarmAfterUs     int64   `json:"warmAfterUs"`
	DrainGraceUs    int64   `json:"drainGraceUs"`
	DroppedStayOpen bool    `json:"droppedStayOpen"`
}

// Values of text keys. Any other value means the same as an absent key.
const (
	membershipPolled   = "ask"  // membershipMode
	weightsFollowLoad  = "live" // weightSource
	admitShare         = "share"
	admitRate          = "rate"
	repeatIdempotent   = "idempotent"
	repeatDeduplicated = "deduplicated"
	groupAllServers    = "all"
)
