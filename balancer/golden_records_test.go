package balancer_test

import "regexp"

// recordForms are the texts of log records, by event; what they capture are the figures.
var recordForms = []struct {
	event string
	form  *regexp.Regexp
}{
	{"server_restored", regexp.MustCompile(`^server back: (\S+) answers a probe$`)},
	{"server_ejected", regexp.MustCompile(`^server out: (\S+) silent for (\S+)s and to a probe, (\S+)$`)},
	{"slow_start_paused", regexp.MustCompile(`^cold servers held back under (\S+): (\S+) dropped, (\S+) of (\S+) peers heard$`)},
	{"server_degraded", regexp.MustCompile(`^server weak: (\S+) health (\S+) failed (\S+) of (\S+) latency (\S+)s peers (\S+)s (\S+)$`)},
	{"zone_pair", regexp.MustCompile(`^pair (\S+) to (\S+) closed (\S+) norm (\S+)s$`)},
	{"admission_limit", regexp.MustCompile(`^line of utility at (\S+) of (\S+) flows/s: (\S+) delivered, (\S+) of the budget, (\S+) dropped$`)},
	{"zones_partitioned", regexp.MustCompile(`^zones in (\S+) blocks: (\S+) servers a zone, (\S+) uses of a connection$`)},
}

// figuresOf gives a record's event and its figures; a record of another form is all figure, so that it shows.
func figuresOf(record string) (event string, figures []string) {
	for _, known := range recordForms {
		if found := known.form.FindStringSubmatch(record); found != nil {
			return known.event, found[1:]
		}
	}
	return "unknown", []string{record}
}
